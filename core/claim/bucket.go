package claim

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/event"
	"skylarkstand/core/meter"
)

// bucket writes one bucket of the store, one write at a time. The fields after waiting and serving
// belong to the goroutine that runs writeQueued.
type bucket struct {
	tbl  *Table
	path path

	// waiting and serving are guarded by the table's lock.
	waiting []*change
	serving bool

	// loaded reports whether val and rev are the last state that this process read or wrote; rev 0
	// means that the key is absent.
	loaded bool
	rev    core.Revision
	val    *bucketValue
	// inDoubt reports whether a write from revision inDoubtRev may still take effect. It cannot
	// once the revision has changed.
	inDoubt    bool
	inDoubtRev core.Revision
	seg        *segmentIndex
}

func newBucket(tbl *Table, pa path) *bucket {
	return &bucket{tbl: tbl, path: pa, val: &bucketValue{}, seg: newSegmentIndex(tbl, pa)}
}

const (
	// minBackoff and maxBackoff bound the backoff while the store fails. A claim that arrives
	// during an outage waits at most maxBackoff to be refused.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// callTimeout bounds one call to the store.
	callTimeout = 2 * time.Second
)

// writeQueued writes the queued changes until none is left or the table is closed.
func (bu *bucket) writeQueued() {
	var open []*change
	backoff := minBackoff
	for bu.tbl.ctx.Err() == nil {
		if len(open) == 0 && bu.stopIfIdle() {
			return
		}
		if bu.tbl.budget.Wait(bu.tbl.ctx) != nil {
			return
		}
		open = append(open, bu.takeWaiting()...)
		var ok bool
		open, ok = bu.writeBatch(open)
		if ok {
			backoff = minBackoff
			continue
		}
		bu.sleep(backoff)
		backoff = min(2*backoff, maxBackoff)
	}
}

func (bu *bucket) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-bu.tbl.ctx.Done():
	}
}

// stopIfIdle ends writeQueued when no change waits. A later change starts it again.
func (bu *bucket) stopIfIdle() bool {
	bu.tbl.mu.Lock()
	defer bu.tbl.mu.Unlock()
	if len(bu.waiting) > 0 {
		return false
	}
	bu.serving = false
	bu.tbl.activeBuckets--
	if bu.tbl.activeBuckets == 0 && bu.tbl.idle != nil {
		close(bu.tbl.idle)
		bu.tbl.idle = nil
	}
	return true
}

func (bu *bucket) takeWaiting() []*change {
	bu.tbl.mu.Lock()
	defer bu.tbl.mu.Unlock()
	took := bu.waiting
	bu.waiting = nil
	for _, ch := range took {
		if ch.kind == claiming {
			bu.tbl.queued--
		}
	}
	return took
}

// writeBatch writes all open changes in one write, after one read if needed. It returns the changes
// that are still open, and false when the store failed.
func (bu *bucket) writeBatch(open []*change) ([]*change, bool) {
	justLoaded := !bu.loaded
	ed, results, ok := bu.edit(open)
	if ok && !justLoaded && hasProvisional(results) {
		// A provisional result holds only for the newest value, so the bucket is read again.
		bu.loaded = false
		ed, results, ok = bu.edit(open)
	}
	if !ok {
		bu.loaded = false
		return bu.refuse(open), false
	}
	bu.archive(ed)
	// A write in doubt takes effect from this revision or never. While the revision is unchanged,
	// only another write prevents it, so one is made even when there is nothing to change.
	if ed.changed || bu.inDoubt {
		switch err := bu.write(&ed.val); {
		case errors.Is(err, core.ErrConflict):
			return open, true
		case errors.Is(err, core.ErrUnavailable):
			return bu.refuse(open), false
		case err != nil:
			for _, ch := range open {
				ch.maybeWritten = true
			}
			return open, false
		}
		bu.seg.deleteBefore(bu.val.First)
	}
	bu.deliverResults(open, results)
	return nil, true
}

// edit applies the changes to the bucket as last loaded, and loads it first if needed.
func (bu *bucket) edit(open []*change) (*editor, []result, bool) {
	if !bu.loaded && !bu.load() {
		return nil, nil, false
	}
	if !bu.seg.loadNew(bu.val) {
		return nil, nil, false
	}
	archived, ok := bu.seg.lookUp(bu.val, open)
	if !ok {
		return nil, nil, false
	}
	ed := newEditor(bu.tbl, time.Now(), bu.val, bu.seg, archived)
	results := make([]result, len(open))
	for i, ch := range open {
		results[i] = ed.apply(ch)
	}
	return ed, results, true
}

// archive moves the done claims of a large bucket into a segment. It takes only claims that the
// store has accepted. If the segment cannot be written, the bucket stays as it is and the next
// write tries again.
func (bu *bucket) archive(ed *editor) {
	if ed.doneBytes < bu.tbl.maxBucketBytes/archiveDivisor {
		return
	}
	claims, ok := bu.seg.create(bu.val)
	if ok {
		ed.removeArchived(bu.val.Last+1, claims)
	}
}

// archiveDivisor sets the threshold: done claims are archived when they take 1/archiveDivisor of
// the bucket's maximum size. Each write of the bucket carries them: a higher threshold lets the
// writes of a busy bucket fill the link between the regions, a lower one uses up the store's write
// rate on segments. At 2,000 claims a second of 500 bytes each it makes some eight segments a
// second in total.
const archiveDivisor = 8

func hasProvisional(results []result) bool {
	for _, res := range results {
		if !res.final {
			return true
		}
	}
	return false
}

// load reads the bucket from the store.
func (bu *bucket) load() bool {
	ctx, cancel := context.WithTimeout(bu.tbl.ctx, callTimeout)
	defer cancel()
	it, err := bu.tbl.store.Get(ctx, string(bu.path))
	val := &bucketValue{}
	switch {
	case errors.Is(err, core.ErrNotFound):
		it.Revision = 0
	case err != nil:
		return false
	default:
		if val, err = decode(it.Value); err != nil {
			event.Log(bu.tbl.deps.Log, event.ClaimsBroken, "bucket", bu.path, "error", err)
			return false
		}
	}
	bu.loaded, bu.rev, bu.val = true, it.Revision, val
	bu.inDoubt = bu.inDoubt && bu.inDoubtRev == bu.rev
	return true
}

// write replaces the bucket if its revision has not changed since this process last read or wrote
// it.
func (bu *bucket) write(val *bucketValue) error {
	raw, err := json.Marshal(val)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(bu.tbl.ctx, callTimeout)
	defer cancel()
	var rev core.Revision
	if bu.rev == 0 {
		rev, err = bu.tbl.store.Create(ctx, string(bu.path), raw, "")
	} else {
		rev, err = bu.tbl.store.Swap(ctx, string(bu.path), bu.rev, raw)
	}
	meter.ClaimWrites.Inc(bu.tbl.deps.Metrics)
	switch {
	case err == nil:
		bu.rev, bu.val, bu.inDoubt = rev, val, false
	case errors.Is(err, core.ErrUnavailable):
	case errors.Is(err, core.ErrConflict):
		// Either another process wrote, or an earlier write of this process took effect.
		bu.loaded = false
	default:
		bu.loaded, bu.inDoubt, bu.inDoubtRev = false, true, bu.rev
	}
	return err
}

// refuse fails the claims that were certainly not written, because the store is unavailable, and
// returns the rest: answers and releases must still be written, and a claim that was part of an
// unsettled write must be read back.
func (bu *bucket) refuse(open []*change) []*change {
	var kept []*change
	for _, ch := range open {
		if ch.kind == claiming && !ch.maybeWritten {
			ch.deliver(result{err: ErrStoreUnavailable})
			continue
		}
		kept = append(kept, ch)
	}
	return kept
}

// deliverResults sends the results to the callers. A claim whose caller abandoned it during the
// write is released: no process will ever run it.
func (bu *bucket) deliverResults(open []*change, results []result) {
	for i, ch := range open {
		owned := ch.kind == claiming && results[i].out.State == Owned
		switch {
		case owned:
			bu.tbl.trackOwned(ch.req.Attempt)
		case ch.kind != claiming:
			bu.tbl.untrackOwned(ch.req.Attempt)
		}
		if !ch.deliver(results[i]) && owned {
			bu.tbl.queueRelease(ch.req)
		}
	}
}
