package suspect

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"skylarkstand/core"
	"skylarkstand/core/event"
)

// Prefix is the prefix of the store's keys of quarantined requests, which end with the fingerprint.
const Prefix = "skylarkstand/quarantine/"

// Recorder keeps the requests in quarantine in the store, so that the loss of all entries does not lose
// them: the request would crash several upstreams again. It implements suture's Service.
//
// An entry writes what it has found itself. It removes a request that turned out to be innocent, and the
// first-ranked entry removes the expired ones.
type Recorder struct {
	deps core.Deps
	de   *Detector
	st   core.Store
	rank func() int

	mu sync.Mutex
	// stored are the keys in the store, by fingerprint.
	stored map[Fingerprint]storedRecord
	// pending are the records to write, and released the requests whose keys are to be removed, with the time
	// of their release. retryAt is when the next attempt may be made after a failure.
	pending  map[Fingerprint]Record
	released map[Fingerprint]time.Time
	retryAt  time.Time
}

// storedRecord is a record in the store.
type storedRecord struct {
	Until time.Time `json:"until"`
	// Since is when the quarantine began.
	Since time.Time `json:"since,omitzero"`
	// With are the other traits that a request must have.
	With []string `json:"with,omitempty"`
	// Confined is set for a request that is not quarantined, but whose attempts need permits, and Permits is
	// the number of these so far.
	Confined bool `json:"confined,omitempty"`
	Permits  int  `json:"permits,omitempty"`
	// Excused counts the permits that were returned after their attempts had reached an upstream, and Refunded is
	// set if the last permit was returned.
	Excused  int  `json:"excused,omitempty"`
	Refunded bool `json:"refunded,omitempty"`
	// seenAt is when this entry learned of the record, and revision that of the key.
	seenAt   time.Time
	revision core.Revision
}

// record returns the stored record of a trait.
func (sr *storedRecord) record(fp Fingerprint) (Record, error) {
	re := Record{Fingerprint: fp, State: Quarantined, Until: sr.Until}
	for i, text := range sr.With[:min(len(sr.With), maxCompanions)] {
		other, err := ParseFingerprint(text)
		if err != nil {
			return Record{}, err
		}
		re.With[i] = other
	}
	return re, nil
}

const (
	// recordInterval is how often a recorder looks for something to write.
	recordInterval = 250 * time.Millisecond
	// maxConfinedWrites bounds the requests of which an entry tells at a time that they are confined: many upstreams
	// may end at once.
	maxConfinedWrites = 8
	// recordBackoff is the time until the next attempt after the store has failed.
	recordBackoff = 2 * time.Second
	// releaseTTL is how long a key may appear after its request was released: a write may be on its way
	// for some seconds, and its news as long.
	releaseTTL = time.Minute
)

// NewRecorder returns a recorder. Rank returns this entry's position among all entries.
func NewRecorder(deps core.Deps, de *Detector, st core.Store, rank func() int) *Recorder {
	return &Recorder{deps: deps, de: de, st: st, rank: rank, stored: map[Fingerprint]storedRecord{}, pending: map[Fingerprint]Record{}, released: map[Fingerprint]time.Time{}}
}

// Serve implements suture's Service.
func (rr *Recorder) Serve(ctx context.Context) error {
	ti := time.NewTicker(recordInterval)
	defer ti.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ti.C:
			rr.Record(ctx, now)
		}
	}
}

// Record makes the writes that are due.
func (rr *Recorder) Record(ctx context.Context, now time.Time) {
	found, released := rr.de.takeChanges()
	rr.mu.Lock()
	for _, re := range found {
		rr.pending[re.Fingerprint] = re
		delete(rr.released, re.Fingerprint)
	}
	for _, fp := range released {
		delete(rr.pending, fp)
		rr.released[fp] = now
	}
	maps.DeleteFunc(rr.released, func(_ Fingerprint, at time.Time) bool { return now.Sub(at) > releaseTTL })
	maps.DeleteFunc(rr.pending, func(fp Fingerprint, re Record) bool { return rr.isStored(fp, &re) || now.After(re.Until) })
	if now.Before(rr.retryAt) {
		rr.mu.Unlock()
		return
	}
	obsolete, pending := rr.obsolete(now), maps.Clone(rr.pending)
	rr.mu.Unlock()
	rr.recordConfined(ctx, now, pending)
	for fp, rev := range obsolete {
		rr.finishRemoval(now, fp, rev, rr.st.Delete(ctx, key(fp), rev))
	}
	for fp, re := range pending {
		rr.finishWrite(now, fp, rr.write(ctx, re))
	}
}

// isStored reports whether the store has a record, or one that says more. The recorder's lock is held.
func (rr *Recorder) isStored(fp Fingerprint, re *Record) bool {
	sr, ok := rr.stored[fp]
	return ok && !sr.Confined && len(sr.With) <= re.companions() && re.Until.Sub(sr.Until) < minExtension
}

// obsolete returns the keys to remove, with their revisions. The recorder's lock is held.
func (rr *Recorder) obsolete(now time.Time) map[Fingerprint]core.Revision {
	out := map[Fingerprint]core.Revision{}
	for fp, sr := range rr.stored {
		_, released := rr.released[fp]
		if released || sr.expired(now) && rr.rank() == 0 {
			out[fp] = sr.revision
		}
	}
	return out
}

// expired reports whether a record that no entry has removed is obsolete.
func (sr *storedRecord) expired(now time.Time) bool {
	if sr.Confined {
		return now.Sub(sr.seenAt) > permitDelay(sr.Permits)+confinedTTL
	}
	return now.After(sr.Until.Add(probationTTL))
}

// recordConfined tells the entries that missed the crashes, by the store, which requests are confined: those
// that are not about to be written as quarantined. After a failure the first claim of a permit writes the key.
func (rr *Recorder) recordConfined(ctx context.Context, now time.Time, quarantined map[Fingerprint]Record) {
	for _, fp := range lastOf(rr.de.takeConfined(), maxConfinedWrites) {
		if _, ok := quarantined[fp]; ok {
			continue
		}
		err := rr.writeConfinement(ctx, fp, &storedRecord{Confined: true}, 0)
		if err != nil && !errors.Is(err, core.ErrConflict) {
			rr.mu.Lock()
			rr.postpone(now, fp, err)
			rr.mu.Unlock()
			return
		}
	}
}

// write creates the key of a record, or replaces it if the quarantine was renewed.
func (rr *Recorder) write(ctx context.Context, re Record) error {
	sr := storedRecord{Until: re.Until, Since: rr.de.reg.knownSince(re.Fingerprint)}
	for _, fp := range re.With {
		if fp != 0 {
			sr.With = append(sr.With, fp.String())
		}
	}
	value, err := json.Marshal(sr)
	if err != nil {
		return eris.Wrap(err, "the quarantine could not be encoded")
	}
	rr.mu.Lock()
	old, exists := rr.stored[re.Fingerprint]
	rr.mu.Unlock()
	if exists {
		_, err = rr.st.Swap(ctx, key(re.Fingerprint), old.revision, value)
	} else {
		_, err = rr.st.Create(ctx, key(re.Fingerprint), value, "")
	}
	return err
}

// finishWrite records the result of a write. A conflict means that another entry has written the key: what
// it wrote arrives soon, and may not suffice.
func (rr *Recorder) finishWrite(now time.Time, fp Fingerprint, err error) {
	rr.mu.Lock()
	defer rr.mu.Unlock()
	switch {
	case err == nil:
		delete(rr.pending, fp)
	case errors.Is(err, core.ErrConflict):
		rr.retryAt = now.Add(recordBackoff)
	default:
		rr.postpone(now, fp, err)
	}
}

// finishRemoval records the result of a removal. A key that is gone, or has been written again, was not
// there at this revision.
func (rr *Recorder) finishRemoval(now time.Time, fp Fingerprint, rev core.Revision, err error) {
	rr.mu.Lock()
	defer rr.mu.Unlock()
	if err == nil || errors.Is(err, core.ErrConflict) || errors.Is(err, core.ErrNotFound) {
		if rr.stored[fp].revision == rev {
			delete(rr.stored, fp)
		}
		return
	}
	rr.postpone(now, fp, err)
}

// postpone delays the next attempt after the store has failed. The recorder's lock is held.
func (rr *Recorder) postpone(now time.Time, fp Fingerprint, err error) {
	rr.retryAt = now.Add(recordBackoff)
	event.Log(rr.deps.Log, event.StoreWriteLate, "key", key(fp), "error", err, "why", "a request in quarantine")
}

// HandleChange applies a change of a key with [Prefix].
func (rr *Recorder) HandleChange(now time.Time, ch core.Change) error {
	fp, err := ParseFingerprint(strings.TrimPrefix(ch.Key, Prefix))
	if err != nil {
		return err
	}
	if ch.Removed {
		rr.mu.Lock()
		outdated := ch.Revision < rr.stored[fp].revision
		if !outdated {
			delete(rr.stored, fp)
		}
		rr.mu.Unlock()
		if outdated {
			return nil
		}
		rr.de.reg.Release(fp)
		rr.de.forget(fp)
		return nil
	}
	var sr storedRecord
	if err := json.Unmarshal(ch.Value, &sr); err != nil {
		return eris.Wrap(err, "the quarantine could not be decoded")
	}
	sr.revision, sr.seenAt = ch.Revision, now
	rr.mu.Lock()
	if sr.revision < rr.stored[fp].revision {
		rr.mu.Unlock()
		return nil // The news of a write of this entry has overtaken it.
	}
	rr.stored[fp] = sr
	rr.mu.Unlock()
	if sr.Confined {
		rr.de.restoreConfinement(fp, &sr, now)
		return nil
	}
	re, err := sr.record(fp)
	if err != nil {
		return err
	}
	rr.de.endConfinement(fp)
	rr.de.restore(re, sr.Since, now)
	return nil
}

func key(fp Fingerprint) string { return Prefix + fp.String() }
