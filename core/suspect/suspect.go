// Package suspect keeps the rare request that crashes every upstream it runs
// on from taking one upstream after the other, as its caller sends it again.
//
// The requests in flight on an upstream when it crashes become suspects. A
// suspect may run once more, alone on an upstream: if that one crashes too,
// nothing else can be the cause, and the request is quarantined. If it ends
// well, it is cleared. The loss of a whole host is no crash: an agent that is
// still there must report that its upstream went, so innocent work of a lost
// host is never suspected.
//
// # Usage
//
//	reg := suspect.New()
//	switch ve := reg.Verdict(fp, now); ve.State { … }
//	reg.Crashed(fp, solo, now)   // the upstream went with it in flight
//	reg.Cleared(fp)              // it ended well
package suspect

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"skylarkstand/core"
)

// Fingerprint stands for requests of the same workspace, model and body.
type Fingerprint uint64

// Of returns the fingerprint of an attempt. The version does not count: a body
// that crashes one version mostly crashes the next.
func Of(at *core.Attempt) Fingerprint {
	var dig xxhash.Digest
	dig.Reset()
	for _, part := range []string{string(at.Workspace), string(at.Target.Model), string(at.Service), string(at.Operation)} {
		_, _ = dig.WriteString(part)
		_, _ = dig.WriteString("\x00")
	}
	_, _ = dig.Write(at.Body)
	return Fingerprint(dig.Sum64())
}

// State is what is thought of a request.
type State int

// The states, in the order in which a record may only grow.
const (
	// Free: nothing is known against it.
	Free State = iota
	// Suspected: it was in flight at one crash, and runs alone.
	Suspected
	// Quarantined: an upstream crashed while it ran alone. It does not run.
	Quarantined
)

// Record is what entries tell each other. Until is when it is forgotten.
type Record struct {
	Fingerprint Fingerprint
	State       State
	Until       time.Time
}

const (
	// suspectedFor is how long a suspect runs alone. A caller that sends a
	// request again does so within minutes.
	suspectedFor = 10 * time.Minute
	// quarantinedFor bounds the harm to a caller whose body would run after a
	// repair of the engine; it is what the caller is told to wait.
	quarantinedFor = time.Hour
	// maxRecords bounds memory. An upstream's crash makes as many suspects as
	// it had slots, and a few crashes a minute are the most that a fleet sees;
	// at 40 bytes each this is less than a megabyte. When it is full the
	// suspects that end first go; quarantines stay.
	maxRecords = 16_384
)

// Registry is what one entry knows. It is safe for concurrent use.
type Registry struct {
	mu      sync.Mutex
	records map[Fingerprint]Record
	// running are the suspects that run alone now.
	running map[Fingerprint]bool
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{records: map[Fingerprint]Record{}, running: map[Fingerprint]bool{}}
}

// Verdict returns what is known of a request at a time.
func (reg *Registry) Verdict(fp Fingerprint, now time.Time) Record {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	return reg.verdict(fp, now)
}

func (reg *Registry) verdict(fp Fingerprint, now time.Time) Record {
	re, ok := reg.records[fp]
	if !ok || !now.Before(re.Until) {
		return Record{Fingerprint: fp}
	}
	return re
}

// List returns the records that hold at a time.
func (reg *Registry) List(now time.Time) []Record {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	var out []Record
	for _, re := range reg.records {
		if now.Before(re.Until) {
			out = append(out, re)
		}
	}
	slices.SortFunc(out, func(a, b Record) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}

// Begin asks to run a request now. It returns the record, and false when the
// request is a suspect that already runs alone somewhere: two copies of a
// poisonous request at once would cost two upstreams in place of one.
func (reg *Registry) Begin(fp Fingerprint, now time.Time) (Record, bool) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	re := reg.verdict(fp, now)
	if re.State != Suspected {
		return re, true
	}
	if reg.running[fp] {
		return re, false
	}
	reg.running[fp] = true
	return re, true
}

// End tells that a suspect's run, granted by Begin, is over.
func (reg *Registry) End(fp Fingerprint) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	delete(reg.running, fp)
}

// Crashed notes that an upstream crashed with the request in flight, alone or
// with others, and returns the record that the other entries should hear of.
func (reg *Registry) Crashed(fp Fingerprint, alone bool, now time.Time) Record {
	re := Record{Fingerprint: fp, State: Suspected, Until: now.Add(suspectedFor)}
	if alone {
		re.State, re.Until = Quarantined, now.Add(quarantinedFor)
	}
	reg.Learn(re, now)
	return re
}

// Cleared notes that the request ran to a good end, and forgets a suspicion.
// A quarantine stays: another copy of it crashed an upstream alone.
func (reg *Registry) Cleared(fp Fingerprint) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	if reg.records[fp].State == Suspected {
		delete(reg.records, fp)
	}
}

// Learn takes a record, own or another entry's, and reports whether it was
// news. A record only grows, so that late and doubled messages do no harm.
func (reg *Registry) Learn(re Record, now time.Time) bool {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	if !now.Before(re.Until) {
		return false
	}
	if old := reg.verdict(re.Fingerprint, now); old.State >= re.State {
		return false
	}
	if len(reg.records) >= maxRecords {
		reg.evict(now)
	}
	reg.records[re.Fingerprint] = re
	return true
}

// evict drops what has ended, or else the suspects.
func (reg *Registry) evict(now time.Time) {
	for fp, re := range reg.records {
		if !now.Before(re.Until) {
			delete(reg.records, fp)
		}
	}
	if len(reg.records) < maxRecords {
		return
	}
	for fp, re := range reg.records {
		if re.State == Suspected {
			delete(reg.records, fp)
		}
	}
}
