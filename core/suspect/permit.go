package suspect

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"skylarkstand/core"
	"skylarkstand/core/event"
)

// Permit allows one attempt of a confined request to be sent. A nil permit allows none.
type Permit struct {
	// rr is nil if the store was not available; cancel ends the trial that was begun in place of a permit then.
	rr       *Recorder
	cancel   func()
	fp       Fingerprint
	used     int
	excused  int
	revision core.Revision
	until    time.Time
}

func (pe *Permit) isValid(now time.Time) bool { return pe != nil && now.Before(pe.until) }

// storeTimeout bounds a call for a permit.
const storeTimeout = time.Second

// ErrNoStore means that no permit can be claimed, as the store does not answer.
var ErrNoStore = eris.New("the store that grants permits is not available")

// Acquire claims the next permit of a confined request. Without an error and without a permit, none is
// available before the returned time. Each claim is a compare-and-swap of the request's key, so that over all
// entries one permit is granted at a time, and a permit that an entry takes along when it ends stays used.
func (rr *Recorder) Acquire(ctx context.Context, fp Fingerprint, request uint16) (*Permit, time.Time, error) {
	began := time.Now()
	if rr.de.storeUnavailable(fp, began) {
		return nil, began, ErrNoStore
	}
	co, at, ok := rr.de.beginClaim(fp, request, began)
	if !ok {
		return nil, at, nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	sr := &storedRecord{Confined: true, Permits: co.used + 1, Excused: co.excused}
	err := rr.writeConfinement(ctx, fp, sr, co.revision)
	outdated := errors.Is(err, core.ErrConflict) || errors.Is(err, core.ErrNotFound)
	if outdated {
		rr.refresh(ctx, fp)
	}
	now := time.Now()
	if err != nil {
		rr.de.endClaim(fp, nil, !outdated, now)
	}
	switch {
	case outdated:
		return nil, now.Add(claimBackoff), nil
	case err != nil:
		return nil, now, ErrNoStore
	}
	rr.de.endClaim(fp, sr, false, now)
	event.Log(rr.deps.Log, event.PermitGranted, "fingerprint", fp.String(), "permits", sr.Permits)
	return &Permit{rr: rr, fp: fp, used: sr.Permits, excused: sr.Excused, revision: sr.revision, until: began.Add(permitTime)}, now, nil
}

// writeConfinement writes the record of a confined request, if its key still has a revision.
func (rr *Recorder) writeConfinement(ctx context.Context, fp Fingerprint, sr *storedRecord, prev core.Revision) error {
	value, err := json.Marshal(sr)
	if err != nil {
		return eris.Wrap(err, "the confinement could not be encoded")
	}
	if prev == 0 {
		sr.revision, err = rr.st.Create(ctx, key(fp), value, "")
	} else {
		sr.revision, err = rr.st.Swap(ctx, key(fp), prev, value)
	}
	if err != nil {
		return err
	}
	rr.mu.Lock()
	defer rr.mu.Unlock()
	if sr.revision > rr.stored[fp].revision {
		sr.seenAt = time.Now()
		rr.stored[fp] = *sr
	}
	delete(rr.released, fp)
	return nil
}

// refresh reads the key of a request after a conflict: the replica is behind.
func (rr *Recorder) refresh(ctx context.Context, fp Fingerprint) {
	it, err := rr.st.Get(ctx, key(fp))
	switch {
	case errors.Is(err, core.ErrNotFound):
		rr.de.resetRevision(fp)
	case err == nil:
		if err := rr.HandleChange(time.Now(), core.Change{Item: it}); err != nil {
			event.Log(rr.deps.Log, event.StoreWriteLate, "key", key(fp), "error", err, "why", "a confined request")
		}
	}
}

// Refund returns the permit of an attempt that was not sent. It does not wait for the store.
func (pe *Permit) Refund() {
	if pe != nil {
		pe.refund(pe.excused)
	}
}

// Excuse returns the permit of an attempt that reached an upstream and shows nothing against its request, unless
// maxExcused of them were returned before: each is an arrival.
func (pe *Permit) Excuse() {
	if pe != nil && pe.excused < maxExcused {
		pe.refund(pe.excused + 1)
	}
}

func (pe *Permit) refund(excused int) {
	if pe.rr == nil {
		pe.cancel()
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		sr := &storedRecord{Confined: true, Permits: pe.used - 1, Excused: excused, Refunded: true}
		err := pe.rr.writeConfinement(ctx, pe.fp, sr, pe.revision)
		if err == nil {
			pe.rr.de.endClaim(pe.fp, sr, false, time.Now())
			return
		}
		// Without the refund the next permit is granted later.
		event.Log(pe.rr.deps.Log, event.StoreWriteLate, "key", key(pe.fp), "error", err, "why", "a permit that is returned")
	}()
}
