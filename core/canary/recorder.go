package canary

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/event"
)

// Codec encodes a status as the key and value that operators read.
type Codec interface {
	StatusKey(st Status) (key string, value []byte, err error)
}

// Recorder periodically writes the changes that are due to the store. It implements suture's
// Service.
//
// Each write replaces exactly the revision that the decision was based on. So a write whose
// response was lost, or that takes effect late, never overwrites what another entry has written
// meanwhile; the decision is made again from the store's content.
type Recorder struct {
	deps       core.Deps
	gu         *Guard
	st         core.Store
	codec      Codec
	stepPrefix string
	rank       func(core.ServiceID) int
	// backoffUntil is the time until which a key is not written again after a failed write.
	backoffUntil map[string]time.Time
}

const (
	// recordInterval is how often a guard is polled. A verdict has to be in force everywhere within
	// a fraction of a second.
	recordInterval = 150 * time.Millisecond
	// conflictBackoff leaves time for the other entry's write to arrive.
	conflictBackoff = 700 * time.Millisecond
)

// NewRecorder returns a recorder. Steps are written below stepPrefix; rank returns
// this entry's position among all entries for a service.
func NewRecorder(deps core.Deps, gu *Guard, st core.Store, codec Codec, stepPrefix string, rank func(core.ServiceID) int) *Recorder {
	return &Recorder{deps: deps, gu: gu, st: st, codec: codec, stepPrefix: stepPrefix, rank: rank, backoffUntil: map[string]time.Time{}}
}

// Serve implements suture's Service.
func (re *Recorder) Serve(ctx context.Context) error {
	ti := time.NewTicker(recordInterval)
	defer ti.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ti.C:
			for _, ve := range re.gu.NewVerdicts() {
				event.Log(re.deps.Log, event.CanaryHeld, "service", ve.Service, "version", ve.Version, "why", ve.Reason)
			}
			for _, ch := range re.gu.NewLoadLimits() {
				event.Log(re.deps.Log, event.CanaryLoadLimited, "service", ch.Service, "version", ch.Version, "level", int(ch.Limit), "why", ch.Evidence)
			}
			for _, wr := range re.gu.DueWrites(now, re.rank) {
				re.record(ctx, wr)
			}
		}
	}
}

func (re *Recorder) record(ctx context.Context, wr Write) {
	key, value, prev, err := re.encode(wr)
	if err != nil {
		event.Log(re.deps.Log, event.StoreWriteLate, "key", key, "error", err, "why", wr.Reason)
		return
	}
	if time.Now().Before(re.backoffUntil[key]) {
		return
	}
	var rev core.Revision
	if prev == 0 {
		rev, err = re.st.Create(ctx, key, value, "")
	} else {
		rev, err = re.st.Swap(ctx, key, prev, value)
	}
	if err != nil {
		re.backoffUntil[key] = time.Now().Add(conflictBackoff)
		if !errors.Is(err, core.ErrConflict) && ctx.Err() == nil {
			event.Log(re.deps.Log, event.StoreWriteLate, "key", key, "error", err, "why", wr.Reason)
		}
		return
	}
	re.applyWrite(wr, rev)
	event.Log(re.deps.Log, event.CanaryWritten, "key", key, "value", string(value), "revision", rev, "replaced", prev, "why", wr.Reason)
}

func (re *Recorder) encode(wr Write) (key string, value []byte, prev core.Revision, err error) {
	if wr.Status != nil {
		key, value, err = re.codec.StatusKey(*wr.Status)
		return key, value, wr.Status.Revision, err
	}
	value, err = json.Marshal(wr.Step)
	return re.stepPrefix + string(wr.Step.Service), value, wr.Step.Revision, err
}

// applyWrite updates the guard from a successful write at once, before the store reports it.
func (re *Recorder) applyWrite(wr Write, rev core.Revision) {
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
