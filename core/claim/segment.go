package claim

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"skylarkstand/core"
	"skylarkstand/core/event"
)

// segment is the stored form of archived claims. All of them are done.
type segment struct {
	Claims []record `json:"claims"`
}

// segmentIndex is this process's index of one bucket's segments. It belongs to the goroutine that
// runs the bucket's writeQueued.
//
// Segment n is created only by a process that read a bucket whose last segment was n-1, from the
// done claims in it. A done claim never changes, so any process's segment is valid as segment n:
// the bucket then removes those of its claims that the segment holds. If a process dies after it
// wrote a segment and before it updated the bucket, the next process adopts that segment.
type segmentIndex struct {
	tbl  *Table
	path path
	// loadedThrough is the number of the last segment in the maps.
	loadedThrough uint64
	segmentOf     map[fingerprint]uint64
	newest        map[uint64]int64
	revisions     map[uint64]core.Revision
}

func newSegmentIndex(tbl *Table, pa path) *segmentIndex {
	return &segmentIndex{tbl: tbl, path: pa, segmentOf: map[fingerprint]uint64{}, newest: map[uint64]int64{}, revisions: map[uint64]core.Revision{}}
}

func (seg *segmentIndex) key(n uint64) string { return fmt.Sprintf("%s/%d", seg.path, n) }

// loadNew reads the bucket's segments that are not in the index yet.
func (seg *segmentIndex) loadNew(val *bucketValue) bool {
	for n := max(seg.loadedThrough+1, val.First); n <= val.Last; n++ {
		claims, rev, ok := seg.read(n)
		if !ok {
			return false
		}
		seg.add(n, rev, claims)
	}
	return true
}

func (seg *segmentIndex) add(n uint64, rev core.Revision, claims []record) {
	for _, re := range claims {
		seg.segmentOf[re.Key] = n
		seg.newest[n] = max(seg.newest[n], re.At)
	}
	seg.loadedThrough, seg.revisions[n] = n, rev
}

func (seg *segmentIndex) read(n uint64) ([]record, core.Revision, bool) {
	ctx, cancel := context.WithTimeout(seg.tbl.ctx, callTimeout)
	defer cancel()
	it, err := seg.tbl.store.Get(ctx, seg.key(n))
	var sg segment
	if err == nil {
		err = json.Unmarshal(it.Value, &sg)
	}
	if err != nil {
		if !errors.Is(err, core.ErrUnavailable) {
			event.Log(seg.tbl.deps.Log, event.ClaimsBroken, "segment", seg.key(n), "error", err)
		}
		return nil, 0, false
	}
	return sg.Claims, it.Revision, true
}

// lookUp reads the archived claims of the keys to be changed.
func (seg *segmentIndex) lookUp(val *bucketValue, open []*change) (map[fingerprint]record, bool) {
	archived := map[fingerprint]record{}
	read := map[uint64][]record{}
	for _, ch := range open {
		key := ch.req.Key.fingerprint()
		n := seg.segmentOf[key]
		if n == 0 || n < val.First || ch.kind == releasing {
			continue
		}
		if read[n] == nil {
			var ok bool
			if read[n], _, ok = seg.read(n); !ok {
				return nil, false
			}
		}
		for _, re := range read[n] {
			if re.Key == key {
				archived[key] = re
			}
		}
	}
	return archived, true
}

// create writes the next segment from the bucket's done claims, or adopts the segment that already
// exists. It counts against the process's write budget.
func (seg *segmentIndex) create(val *bucketValue) ([]record, bool) {
	var sg segment
	for _, re := range val.Claims {
		if re.State == Done {
			sg.Claims = append(sg.Claims, re)
		}
	}
	raw, err := json.Marshal(sg)
	if err != nil || len(sg.Claims) == 0 || seg.tbl.budget.Wait(seg.tbl.ctx) != nil {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(seg.tbl.ctx, callTimeout)
	defer cancel()
	n := val.Last + 1
	rev, err := seg.tbl.store.Create(ctx, seg.key(n), raw, "")
	if errors.Is(err, core.ErrConflict) {
		var ok bool
		if sg.Claims, rev, ok = seg.read(n); !ok {
			return nil, false
		}
	} else if err != nil {
		return nil, false
	}
	seg.add(n, rev, sg.Claims)
	return sg.Claims, true
}

// deleteBefore deletes the segments before first, the first segment that the bucket still refers
// to, at best effort: one that remains takes space in the store and is never read.
func (seg *segmentIndex) deleteBefore(first uint64) {
	deleted := false
	for n, rev := range seg.revisions {
		if n >= first {
			continue
		}
		deleted = true
		delete(seg.revisions, n)
		delete(seg.newest, n)
		if seg.tbl.budget.Wait(seg.tbl.ctx) != nil {
			return
		}
		ctx, cancel := context.WithTimeout(seg.tbl.ctx, callTimeout)
		_ = seg.tbl.store.Delete(ctx, seg.key(n), rev)
		cancel()
	}
	if !deleted {
		return
	}
	for key, n := range seg.segmentOf {
		if n < first {
			delete(seg.segmentOf, key)
		}
	}
}
