// Package suspect quarantines poisonous requests (queries of death): rare requests
// that crash every upstream they run on, and would crash one upstream after the
// other as their callers retry them. Entries exchange their records of them.
//
// Where upstreams have agents, [Upstreams] runs a suspect alone. The requests in
// flight on an upstream when it crashes become suspects. A suspect may run once
// more, alone on an upstream: if that one crashes too, nothing else can be the
// cause, and the request is quarantined. If it succeeds, it is cleared. The loss of
// a whole host does not count as a crash: only an agent that is still running can
// report that its upstream crashed, so innocent requests on a lost host never
// become suspects.
//
// Without agents no request can run alone, and [Detector] infers from what was in
// flight at several crashes which of it is the cause: a whole request, or a part
// that prompts share. Both are [Traits] of requests. From the second crash on a whole
// request is confined: [Recorder] grants permits for its attempts in the store, one at a
// time over all entries and few in all, until one of them shows that it crashes nothing.
//
// # Usage
//
//	reg := suspect.New()
//	switch re := reg.Lookup(fp, now); re.State { … }
//	reg.RecordCrash(fp, alone, now)   // the upstream crashed with it in flight
//	reg.ClearSuspect(fp)              // it succeeded
//
//	de := suspect.NewDetector(reg)
//	tr := suspect.TraitsOfExchange(workspace, service, ex)
//	ad, until := de.Admit(tr, request, now) // before each attempt
//	pe, until, err := rr.Acquire(ctx, tr.Whole(), request) // if it is confined
//	ok := de.MaySend(tr, pe, now)     // before it is written
//	de.RecordCrash(crash, now)        // an upstream has ended with a trait in flight
//	de.RecordCompleted(fp, now)       // an upstream has answered a request with the trait
//	for _, re := range de.Quarantine(now) { … }
//	send(de.TakeNotices(now))         // to the other entries
package suspect

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// State is the state of a request in the registry.
type State int

// The states. A record's state only ever increases until it expires or is cleared.
const (
	// Free: the request is not suspected.
	Free State = iota
	// Suspected: the request was in flight at a crash, and may only run alone.
	Suspected
	// Quarantined: an upstream crashed while the request ran alone. It is refused.
	Quarantined
)

// Record is a request's state, as exchanged between entries. It expires at Until.
type Record struct {
	Fingerprint Fingerprint
	State       State
	Until       time.Time
	// With holds the other traits that a request must have: those that were never seen without the
	// first one. Zeros fill the rest.
	With [maxCompanions]Fingerprint
}

// maxCompanions bounds the other traits of a record.
const maxCompanions = 3

// matches reports whether a request with some traits has all of the record's.
func (re *Record) matches(tr Traits) bool {
	for _, fp := range re.With {
		if fp != 0 && !slices.Contains(tr, fp) {
			return false
		}
	}
	return slices.Contains(tr, re.Fingerprint)
}

// without returns the record without a trait that turned out to be innocent. It reports false if none is
// left.
func (re Record) without(innocent Fingerprint) (Record, bool) {
	rest := slices.DeleteFunc(append([]Fingerprint{re.Fingerprint}, re.With[:]...), func(fp Fingerprint) bool { return fp == 0 || fp == innocent })
	if len(rest) == 0 {
		return Record{}, false
	}
	re.Fingerprint, re.With = rest[0], [maxCompanions]Fingerprint{}
	copy(re.With[:], rest[1:])
	return re, true
}

// companions counts the other traits that a request must have.
func (re *Record) companions() int {
	return maxCompanions - len(slices.DeleteFunc(slices.Clone(re.With[:]), func(fp Fingerprint) bool { return fp != 0 }))
}

// has reports whether a trait is one of the record's.
func (re *Record) has(fp Fingerprint) bool {
	return re.Fingerprint == fp || fp != 0 && slices.Contains(re.With[:], fp)
}

const (
	// suspectTTL is how long a request stays a suspect. Callers that retry do so
	// within minutes.
	suspectTTL = 10 * time.Minute
	// quarantineTTL is how long a request stays quarantined. It bounds the harm to a
	// caller whose request would succeed again after the engine was fixed, and is the
	// source of the caller's Retry-After.
	quarantineTTL = time.Hour
	// minExtension is the least by which a record extends one of the same state. Ends differ by the
	// delay of messages.
	minExtension = 5 * time.Second
	// firstPartTTL is how long a part of prompts stays quarantined at first: it may be popular.
	firstPartTTL = time.Minute
	// probationTTL is how long after its quarantine a request is tried alone before it is free.
	probationTTL = 10 * time.Minute
	// maxRecords bounds memory. A crash creates as many suspects as the upstream had
	// slots, and a fleet has a few crashes per minute at most; at 40 bytes each this
	// is less than a megabyte. When the registry is full, expired records and then
	// suspects are evicted; quarantined requests stay.
	maxRecords = 16_384
	// maxMembers bounds the traits of records: all records may have all companions.
	maxMembers = 2 * maxRecords * (1 + maxCompanions)
)

// Registry holds the records of one entry. It is safe for concurrent use.
type Registry struct {
	mu      sync.Mutex
	records map[Fingerprint]Record
	// since is when this entry learned of a quarantine, and members are the traits in records of quarantine,
	// and some that were.
	since   map[Fingerprint]time.Time
	members map[Fingerprint]struct{}
	// runningAlone is the set of suspects that are running.
	runningAlone map[Fingerprint]bool
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{records: map[Fingerprint]Record{}, since: map[Fingerprint]time.Time{}, members: map[Fingerprint]struct{}{}, runningAlone: map[Fingerprint]bool{}}
}

// Lookup returns the record of a request at a time. Its state is Free if there is
// none.
func (reg *Registry) Lookup(fp Fingerprint, now time.Time) Record {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	return reg.lookup(fp, now)
}

func (reg *Registry) lookup(fp Fingerprint, now time.Time) Record {
	re, ok := reg.records[fp]
	if !ok || !now.Before(re.Until) {
		return Record{Fingerprint: fp}
	}
	return re
}

// List returns the records that are valid at a time.
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

// Begin starts the run of a request. It returns the request's record, and false if
// the request is a suspect that this entry is already running: two concurrent copies
// of a poisonous request would crash two upstreams instead of one. A suspect's run
// must be ended with End.
func (reg *Registry) Begin(fp Fingerprint, now time.Time) (Record, bool) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	re := reg.lookup(fp, now)
	if re.State != Suspected {
		return re, true
	}
	if reg.runningAlone[fp] {
		return re, false
	}
	reg.runningAlone[fp] = true
	return re, true
}

// End ends a suspect's run that Begin started.
func (reg *Registry) End(fp Fingerprint) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	delete(reg.runningAlone, fp)
}

// RecordCrash records that an upstream crashed with the request in flight, alone or with
// others, and returns the record to announce to the other entries.
func (reg *Registry) RecordCrash(fp Fingerprint, alone bool, now time.Time) Record {
	re := Record{Fingerprint: fp, State: Suspected, Until: now.Add(suspectTTL)}
	if alone {
		re.State, re.Until = Quarantined, now.Add(quarantineTTL)
	}
	reg.Merge(re, now)
	return re
}

// ClearSuspect records that the request succeeded, and deletes its record if it is a
// suspect. A quarantine stays, since another copy of the request crashed an upstream
// alone.
func (reg *Registry) ClearSuspect(fp Fingerprint) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	if reg.records[fp].State == Suspected {
		delete(reg.records, fp)
	}
}

// Release ends the quarantine of a request that turns out to be innocent.
func (reg *Registry) Release(fp Fingerprint) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	delete(reg.records, fp)
	delete(reg.since, fp)
}

// Merge merges a record, of this or another entry, and reports whether it changed the
// registry. A record's state and its end only increase, and its companions only decrease, so late and
// duplicate messages have no effect.
func (reg *Registry) Merge(re Record, now time.Time) bool {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	if !now.Before(re.Until) {
		return false
	}
	old := reg.lookup(re.Fingerprint, now)
	broader := old.State == re.State && re.companions() < old.companions()
	if old.State > re.State || old.State == re.State && re.Until.Sub(old.Until) < minExtension && !broader {
		return false
	}
	if old.State == re.State && !broader {
		re.With = old.With
	}
	if _, ok := reg.since[re.Fingerprint]; !ok && re.State == Quarantined {
		reg.since[re.Fingerprint] = now
	}
	if len(reg.records) >= maxRecords {
		reg.evict(now)
	}
	reg.put(re)
	return true
}

// put stores a record. The registry's lock is held.
func (reg *Registry) put(re Record) {
	reg.records[re.Fingerprint] = re
	if re.State != Quarantined {
		return
	}
	if len(reg.members) > maxMembers {
		reg.forgetMembers()
	}
	for _, fp := range append(re.With[:], re.Fingerprint) {
		reg.members[fp] = struct{}{}
	}
}

// forgetMembers rebuilds the set of members from the records. The registry's lock is held.
func (reg *Registry) forgetMembers() {
	clear(reg.members)
	for _, re := range reg.records {
		if re.State == Quarantined {
			for _, fp := range append(re.With[:], re.Fingerprint) {
				reg.members[fp] = struct{}{}
			}
		}
	}
}

// evict deletes the expired records, and if that is not enough, all suspects.
func (reg *Registry) evict(now time.Time) {
	for fp, re := range reg.records {
		if !now.Before(re.Until) {
			delete(reg.records, fp)
			delete(reg.since, fp)
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
