package claim

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"skylarkstand/core"
	"skylarkstand/core/event"
)

// segment is the stored form of folded claims. All are done.
type segment struct {
	Claims []record `json:"claims"`
}

// segments is what a process knows of one bucket's segments. It belongs to the
// bucket's serving goroutine.
//
// Segment n is created only by a process that read a bucket whose last segment
// was n-1, out of the claims that were done there. A done claim never changes,
// so whoever's segment stands, it may be taken as segment n: the bucket then
// loses those of its claims that the segment holds. A process that dies between
// the two leaves a segment that the next one takes.
type segments struct {
	tbl  *Table
	path path
	// known is up to which segment the maps are filled.
	known  uint64
	index  map[fingerprint]uint64
	newest map[uint64]int64
	rev    map[uint64]core.Revision
}

func newSegments(tbl *Table, pa path) *segments {
	return &segments{tbl: tbl, path: pa, index: map[fingerprint]uint64{}, newest: map[uint64]int64{}, rev: map[uint64]core.Revision{}}
}

func (seg *segments) key(n uint64) string { return fmt.Sprintf("%s/%d", seg.path, n) }

// learn reads the segments of a bucket that are not known yet.
func (seg *segments) learn(val *value) bool {
	for n := max(seg.known+1, val.First); n <= val.Last; n++ {
		claims, rev, ok := seg.read(n)
		if !ok {
			return false
		}
		seg.add(n, rev, claims)
	}
	return true
}

func (seg *segments) add(n uint64, rev core.Revision, claims []record) {
	for _, re := range claims {
		seg.index[re.Key] = n
		seg.newest[n] = max(seg.newest[n], re.At)
	}
	seg.known, seg.rev[n] = n, rev
}

func (seg *segments) read(n uint64) ([]record, core.Revision, bool) {
	ctx, cancel := context.WithTimeout(seg.tbl.ctx, callLimit)
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

// recall reads the folded claims of the keys that are to be changed.
func (seg *segments) recall(val *value, open []*change) (map[fingerprint]record, bool) {
	folded := map[fingerprint]record{}
	read := map[uint64][]record{}
	for _, ch := range open {
		key := ch.req.Key.fingerprint()
		n := seg.index[key]
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
				folded[key] = re
			}
		}
	}
	return folded, true
}

// create writes the next segment out of a bucket's done claims, or takes the
// one that stands. It counts against the process's budget of writes.
func (seg *segments) create(val *value) ([]record, bool) {
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
	ctx, cancel := context.WithTimeout(seg.tbl.ctx, callLimit)
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

// drop removes the segments before the first that the bucket still names, at
// best effort: one that stays takes room in the store and is never read.
func (seg *segments) drop(first uint64) {
	dropped := false
	for n, rev := range seg.rev {
		if n >= first {
			continue
		}
		dropped = true
		delete(seg.rev, n)
		delete(seg.newest, n)
		if seg.tbl.budget.Wait(seg.tbl.ctx) != nil {
			return
		}
		ctx, cancel := context.WithTimeout(seg.tbl.ctx, callLimit)
		_ = seg.tbl.store.Delete(ctx, seg.key(n), rev)
		cancel()
	}
	if !dropped {
		return
	}
	for key, n := range seg.index {
		if n < first {
			delete(seg.index, key)
		}
	}
}
