package canary

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/event"
)

// Codec turns a status into the key and value that the operators read.
type Codec interface {
	StatusKey(st Status) (key string, value []byte, err error)
}

// Recorder is the duty that writes what a guard finds due. It implements
// suture's Service.
//
// Each write replaces the very revision that the decision was made on. A write
// whose answer was lost, or that takes effect late, so never undoes what
// another entry wrote meanwhile; it is decided anew from what the store says.
type Recorder struct {
	deps  core.Deps
	gu    *Guard
	st    core.Store
	codec Codec
	steps string
	rank  func(core.ServiceID) int
	// rest is until when a key is left alone after a write that failed.
	rest map[string]time.Time
}

const (
	// recordEvery is how often a guard is asked. A verdict is to be in force
	// everywhere within a part of a second.
	recordEvery = 150 * time.Millisecond
	// conflictRest leaves time for the other's write to be heard of.
	conflictRest = 700 * time.Millisecond
)

// NewRecorder returns the duty. Steps are written below a prefix; rank is this
// entry's place among all for a service.
func NewRecorder(deps core.Deps, gu *Guard, st core.Store, codec Codec, steps string, rank func(core.ServiceID) int) *Recorder {
	return &Recorder{deps: deps, gu: gu, st: st, codec: codec, steps: steps, rank: rank, rest: map[string]time.Time{}}
}

// Serve implements suture's Service.
func (re *Recorder) Serve(ctx context.Context) error {
	ti := time.NewTicker(recordEvery)
	defer ti.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ti.C:
			for _, he := range re.gu.Held() {
				event.Log(re.deps.Log, event.CanaryHeld, "service", he.Service, "version", he.Version, "why", he.Why)
			}
			for _, wr := range re.gu.Due(now, re.rank) {
				re.record(ctx, wr)
			}
		}
	}
}

func (re *Recorder) record(ctx context.Context, wr Write) {
	key, value, prev, err := re.encode(wr)
	if err != nil {
		event.Log(re.deps.Log, event.StoreWriteLate, "key", key, "error", err, "why", wr.Why)
		return
	}
	if time.Now().Before(re.rest[key]) {
		return
	}
	var rev core.Revision
	if prev == 0 {
		rev, err = re.st.Create(ctx, key, value, "")
	} else {
		rev, err = re.st.Swap(ctx, key, prev, value)
	}
	if err != nil {
		re.rest[key] = time.Now().Add(conflictRest)
		if !errors.Is(err, core.ErrConflict) && ctx.Err() == nil {
			event.Log(re.deps.Log, event.StoreWriteLate, "key", key, "error", err, "why", wr.Why)
		}
		return
	}
	re.took(wr, rev)
	event.Log(re.deps.Log, event.CanaryWritten, "key", key, "value", string(value), "revision", rev, "replaced", prev, "why", wr.Why)
}

func (re *Recorder) encode(wr Write) (key string, value []byte, prev core.Revision, err error) {
	if wr.Status != nil {
		key, value, err = re.codec.StatusKey(*wr.Status)
		return key, value, wr.Status.Revision, err
	}
	value, err = json.Marshal(wr.Step)
	return re.steps + string(wr.Step.Service), value, wr.Step.Revision, err
}

// took has the guard go on from a write at once, before the store tells of it.
func (re *Recorder) took(wr Write, rev core.Revision) {
	if wr.Status != nil {
		st := *wr.Status
		st.Revision = rev
		re.gu.Status(st)
		return
	}
	st := *wr.Step
	st.Revision = rev
	re.gu.Step(time.Now(), st)
}
