// Package copies decides what an agent does with its copies of bills that are
// not durable yet: how many it keeps, and to which entry it offers them when.
//
// It is pure: the time and the linked entries come in as arguments. A Set is
// not safe for concurrent use.
//
// # Usage
//
//	set := copies.New()
//	set.Hold(process, attempt, bill, now)
//	for _, ho := range set.Due(now, linked) { … }   // once a second
//	set.Forget(attempts)                            // told durable
package copies

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"skylarkstand/core"
)

const (
	// goneAfter is how long all links of a process must have been away before
	// an heir is asked. A link that broke is dialled again within three
	// seconds, so a shorter bound would seal ledgers of entries that are well.
	// That costs the entry a read for each later segment and nothing else;
	// being wrong is safe.
	goneAfter = 10 * time.Second
	// remindAfter is how old a copy of a linked process must be before the
	// process is asked about it. It is above the time between two segments of
	// a usual fleet. A copy that old means that the word of its being durable
	// was lost with a link, or that the entry had no room for the bill.
	remindAfter = time.Minute
	// again is the pause between two offers of one process's bills. The heir
	// needs a second or two; after this time it is taken for paused, dead or
	// without the store, and the next one by preference is asked as well. The
	// pause doubles up to doublings times: while the store is down for hours,
	// offers can come to nothing only, and they would fill the narrow link
	// between regions.
	again     = 15 * time.Second
	doublings = 5
	// offerBytes bounds one offer, so that it fits into a frame.
	offerBytes = 512 << 10
	// defaultLimit bounds the copies in bytes. An agent answers tens of
	// requests a second at most, so it holds the copies of hours without a
	// store. Beyond it new copies are dropped; their entry still has the bill.
	defaultLimit = 64 << 20
)

// Set is an agent's copies.
type Set struct {
	limit, size int
	owners      map[core.ProcessID]*owner
	by          map[core.AttemptID]core.ProcessID
	leaving     bool
}

// owner is the copies of one entry process, oldest first.
type owner struct {
	copies []held
	// goneSince is when its last link was first seen away; zero while linked.
	goneSince time.Time
	// offered are the copies of the last offer, made at offeredAt.
	offered   map[core.AttemptID]bool
	offeredAt time.Time
	// round counts offers that came to nothing.
	round int
}

type held struct {
	attempt core.AttemptID
	raw     []byte
	at      time.Time
}

// Handover is an offer of one process's bills to a linked entry.
type Handover struct {
	To      core.ProcessID
	Process core.ProcessID
	Bills   [][]byte
}

// Option changes a Set at construction.
type Option func(*Set)

// Limit bounds the copies in bytes.
func Limit(bytes int) Option { return func(se *Set) { se.limit = bytes } }

// New returns an empty set.
func New(opts ...Option) *Set {
	se := &Set{limit: defaultLimit, owners: map[core.ProcessID]*owner{}, by: map[core.AttemptID]core.ProcessID{}}
	for _, opt := range opts {
		opt(se)
	}
	return se
}

// Len returns how many copies are held.
func (se *Set) Len() int { return len(se.by) }

// Hold keeps a copy and reports whether there was room.
func (se *Set) Hold(id core.ProcessID, at core.AttemptID, raw []byte, now time.Time) bool {
	if _, known := se.by[at]; known {
		return true
	}
	if se.size+len(raw) > se.limit {
		return false
	}
	ow := se.owners[id]
	if ow == nil {
		ow = new(owner)
		se.owners[id] = ow
	}
	ow.copies = append(ow.copies, held{at, raw, now})
	se.by[at] = id
	se.size += len(raw)
	return true
}

// Forget drops copies whose bills are durable.
func (se *Set) Forget(ats []core.AttemptID) {
	drop := map[core.AttemptID]bool{}
	owners := map[core.ProcessID]bool{}
	for _, at := range ats {
		if id, ok := se.by[at]; ok {
			drop[at], owners[id] = true, true
			delete(se.by, at)
		}
	}
	for id := range owners {
		ow := se.owners[id]
		ow.copies = slices.DeleteFunc(ow.copies, func(he held) bool {
			if drop[he.attempt] {
				se.size -= len(he.raw)
				delete(ow.offered, he.attempt)
			}
			return drop[he.attempt]
		})
		if len(ow.copies) == 0 {
			delete(se.owners, id)
		}
	}
}

// Leave makes an offer due at once when no link of its process stands. An agent
// that stops takes its copies along, so it cannot wait until the process is
// gone for sure.
func (se *Set) Leave() { se.leaving = true }

// Stranded returns how many copies are of processes that are not linked. The
// others have their bills themselves.
func (se *Set) Stranded(linked []core.ProcessID) int {
	count := 0
	for id, ow := range se.owners {
		if !slices.Contains(linked, id) {
			count += len(ow.copies)
		}
	}
	return count
}

// Due returns the offers to make now. It is called about once a second.
func (se *Set) Due(now time.Time, linked []core.ProcessID) []Handover {
	var out []Handover
	for _, id := range slices.Sorted(maps.Keys(se.owners)) {
		ow := se.owners[id]
		ripe := now
		if slices.Contains(linked, id) {
			ow.goneSince = time.Time{}
			ripe = now.Add(-remindAfter)
		} else if !ow.gone(now) && !se.leaving {
			continue
		}
		if !ow.ready(now) {
			continue
		}
		if ho := ow.offer(now, ripe); len(ho.Bills) > 0 {
			ho.Process = id
			ho.To = heir(id, linked, ow.round)
			if ho.To != "" {
				out = append(out, ho)
			}
		}
	}
	return out
}

// gone reports whether the process's links have been away for long enough.
func (ow *owner) gone(now time.Time) bool {
	if ow.goneSince.IsZero() {
		ow.goneSince = now
	}
	return now.Sub(ow.goneSince) >= goneAfter
}

// ready reports whether another offer may be made: the last one was settled,
// or has come to nothing.
func (ow *owner) ready(now time.Time) bool {
	switch {
	case len(ow.offered) == 0:
		ow.round = 0
		return true
	case now.Sub(ow.offeredAt) < again<<min(ow.round, doublings):
		return false
	}
	ow.round++
	return true
}

// offer takes the oldest copies, not younger than ripe.
func (ow *owner) offer(now, ripe time.Time) Handover {
	var ho Handover
	ow.offered, ow.offeredAt = map[core.AttemptID]bool{}, now
	size := 0
	for _, he := range ow.copies {
		if he.at.After(ripe) || size > 0 && size+len(he.raw) > offerBytes {
			break
		}
		size += len(he.raw)
		ho.Bills = append(ho.Bills, he.raw)
		ow.offered[he.attempt] = true
	}
	return ho
}

// heir chooses who is asked: the process itself while it is linked, else the
// linked entries in their order by rendezvous hashing, one further in each
// round. All agents of a region so prefer the same heir and it reads the
// chains once for all of them. Another choice would cost reads only.
func heir(id core.ProcessID, linked []core.ProcessID, round int) core.ProcessID {
	if len(linked) == 0 {
		return ""
	}
	if slices.Contains(linked, id) {
		return id
	}
	order := slices.SortedFunc(slices.Values(linked), func(a, b core.ProcessID) int {
		return cmp.Or(cmp.Compare(weight(id, b), weight(id, a)), cmp.Compare(a, b))
	})
	return order[round%len(order)]
}

func weight(id, candidate core.ProcessID) uint64 {
	return xxhash.Sum64String(string(id) + "/" + string(candidate))
}
