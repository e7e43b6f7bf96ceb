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

// bucket writes one bucket of the store, one write at a time. What is below
// waiting and serving belongs to the serving goroutine.
type bucket struct {
	tbl  *Table
	path path

	// waiting and serving are guarded by the table's lock.
	waiting []*change
	serving bool

	// known tells that val and rev are what this process last saw; rev 0 is
	// an absent key.
	known bool
	rev   core.Revision
	val   *value
	// doubt tells that a write from revision doubtRev may still take effect.
	// It cannot once the revision has moved on.
	doubt    bool
	doubtRev core.Revision
	seg      *segments
}

func newBucket(tbl *Table, pa path) *bucket {
	return &bucket{tbl: tbl, path: pa, val: &value{}, seg: newSegments(tbl, pa)}
}

const (
	// firstPause and maxPause space the tries while the store fails. A claim
	// that comes during an outage waits that long at most for its refusal.
	firstPause = 20 * time.Millisecond
	maxPause   = 500 * time.Millisecond
	// callLimit bounds one call to the store.
	callLimit = 2 * time.Second
)

// serve writes until nothing waits.
func (bu *bucket) serve() {
	var open []*change
	pause := firstPause
	for bu.tbl.ctx.Err() == nil {
		if len(open) == 0 && bu.idle() {
			return
		}
		if bu.tbl.budget.Wait(bu.tbl.ctx) != nil {
			return
		}
		open = append(open, bu.take()...)
		var ok bool
		open, ok = bu.round(open)
		if ok {
			pause = firstPause
			continue
		}
		bu.sleep(pause)
		pause = min(2*pause, maxPause)
	}
}

func (bu *bucket) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-bu.tbl.ctx.Done():
	}
}

// idle ends serving when nothing waits. A later change starts it again.
func (bu *bucket) idle() bool {
	bu.tbl.mu.Lock()
	defer bu.tbl.mu.Unlock()
	if len(bu.waiting) > 0 {
		return false
	}
	bu.serving = false
	bu.tbl.serving--
	if bu.tbl.serving == 0 && bu.tbl.idle != nil {
		close(bu.tbl.idle)
		bu.tbl.idle = nil
	}
	return true
}

func (bu *bucket) take() []*change {
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

// round makes one write of all open changes, after one read if need be. It
// returns the changes that are still open and false when the store failed.
func (bu *bucket) round(open []*change) ([]*change, bool) {
	fresh := !bu.known
	ed, results, ok := bu.edit(open)
	if ok && !fresh && unsettled(results) {
		bu.known = false
		ed, results, ok = bu.edit(open)
	}
	if !ok {
		bu.known = false
		return bu.refuse(open), false
	}
	bu.fold(ed)
	// A write in doubt takes effect from this revision or never. While the
	// revision is unmoved only another write keeps it from doing so, also
	// when nothing is left to be changed.
	if ed.changed || bu.doubt {
		switch err := bu.write(&ed.val); {
		case errors.Is(err, core.ErrConflict):
			return open, true
		case errors.Is(err, core.ErrUnavailable):
			return bu.refuse(open), false
		case err != nil:
			for _, ch := range open {
				ch.sent = true
			}
			return open, false
		}
		bu.seg.drop(bu.val.First)
	}
	bu.tell(open, results)
	return nil, true
}

// edit applies the changes to the bucket as it is known, or as it is read now.
func (bu *bucket) edit(open []*change) (*editor, []result, bool) {
	if !bu.known && !bu.load() {
		return nil, nil, false
	}
	if !bu.seg.learn(bu.val) {
		return nil, nil, false
	}
	folded, ok := bu.seg.recall(bu.val, open)
	if !ok {
		return nil, nil, false
	}
	ed := newEditor(bu.tbl, time.Now(), bu.val, bu.seg, folded)
	results := make([]result, len(open))
	for i, ch := range open {
		results[i] = ed.apply(ch)
	}
	return ed, results, true
}

// fold moves the done claims of a bucket that has grown into a segment. It
// takes those that the store has accepted. When the segment cannot be written
// the bucket stays as it is, and the next write tries again.
func (bu *bucket) fold(ed *editor) {
	if ed.done < bu.tbl.room/foldShare {
		return
	}
	claims, ok := bu.seg.create(bu.val)
	if ok {
		ed.fold(bu.val.Last+1, claims)
	}
}

// foldShare is the part of a bucket's room, one of so many, that done claims
// take before they are folded. Each write of the bucket carries them: with
// more the writes of a busy bucket fill the link between the regions, with
// less the segments use up the store's writes. At 2,000 claims a second of 500
// bytes it makes some eight segments a second in all.
const foldShare = 8

func unsettled(results []result) bool {
	for _, res := range results {
		if !res.settled {
			return true
		}
	}
	return false
}

// load reads the bucket.
func (bu *bucket) load() bool {
	ctx, cancel := context.WithTimeout(bu.tbl.ctx, callLimit)
	defer cancel()
	it, err := bu.tbl.store.Get(ctx, string(bu.path))
	val := &value{}
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
	bu.known, bu.rev, bu.val = true, it.Revision, val
	bu.doubt = bu.doubt && bu.doubtRev == bu.rev
	return true
}

// write replaces the bucket if it is still what this process saw.
func (bu *bucket) write(val *value) error {
	raw, err := json.Marshal(val)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(bu.tbl.ctx, callLimit)
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
		bu.rev, bu.val, bu.doubt = rev, val, false
	case errors.Is(err, core.ErrUnavailable):
	case errors.Is(err, core.ErrConflict):
		// Either another process wrote, or our own earlier write took effect.
		bu.known = false
	default:
		bu.known, bu.doubt, bu.doubtRev = false, true, bu.rev
	}
	return err
}

// refuse answers the claims that certainly were not written, because the
// store is away, and keeps the rest: answers and releases are owed, and a
// claim that was sent in an unsettled write must be read back.
func (bu *bucket) refuse(open []*change) []*change {
	var kept []*change
	for _, ch := range open {
		if ch.kind == claiming && !ch.sent {
			ch.tell(result{err: ErrAway})
			continue
		}
		kept = append(kept, ch)
	}
	return kept
}

// tell gives the results out. A claim whose caller gave up while it was being
// written is released: nobody will ever run it.
func (bu *bucket) tell(open []*change, results []result) {
	for i, ch := range open {
		owned := ch.kind == claiming && results[i].out.State == Owned
		switch {
		case owned:
			bu.tbl.hold(ch.req.Attempt)
		case ch.kind != claiming:
			bu.tbl.drop(ch.req.Attempt)
		}
		if !ch.tell(results[i]) && owned {
			_ = bu.tbl.enqueue(newChange(releasing, ch.req))
		}
	}
}
