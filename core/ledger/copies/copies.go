// Package copies decides what an agent does with its copies of bills that are not durable yet: how
// many it keeps, and when it offers them to which entry.
//
// It is pure: the time and the linked entries are arguments. A Set is not safe for concurrent use.
//
// # Usage
//
//	set := copies.New()
//	set.Add(process, attempt, bill, now)
//	for _, ho := range set.Due(now, linked) { … }   // once a second
//	set.Remove(attempts)                            // reported durable
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
	// takeoverAfter is how long all links of a process must have been down before a successor
	// receives an offer. A broken link is dialled again within three seconds, so a shorter bound
	// would seal ledgers of healthy entries. That costs such an entry one read for each later
	// segment and nothing else; a wrong takeover is safe.
	takeoverAfter = 10 * time.Second
	// reofferAfter is how old a copy of a linked process must be before it is offered to that
	// process. It is above the time between two segments in a typical fleet. A copy of that age
	// means that the notice of its durability was lost with a link, or that the entry had no room
	// for the bill.
	reofferAfter = time.Minute
	// retryPause is the pause between two offers of one process's bills. A successor needs a second
	// or two; after this pause it is considered paused, dead or without the store, and the next one
	// in order of preference receives an offer as well. The pause doubles up to maxDoublings times:
	// while the store is down for hours, every offer fails, and offers would use up the bandwidth
	// between regions.
	retryPause   = 15 * time.Second
	maxDoublings = 5
	// maxOfferBytes bounds one offer, so that it fits into a frame.
	maxOfferBytes = 512 << 10
	// defaultLimit bounds the copies in bytes. An agent answers at most tens of requests a second,
	// so it can hold the copies of several hours without a store. Beyond the limit new copies are
	// dropped; their entry still has the bill.
	defaultLimit = 64 << 20
)

// Set is an agent's copies of bills.
type Set struct {
	limit, size int
	owners      map[core.ProcessID]*processCopies
	processOf   map[core.AttemptID]core.ProcessID
	leaving     bool
}

// processCopies is the copies of one entry process, oldest first.
type processCopies struct {
	copies []heldCopy
	// unlinkedSince is when the process was first seen without a link; zero while linked.
	unlinkedSince time.Time
	// offered is the copies of the last offer, made at offeredAt, that are not durable yet.
	offered   map[core.AttemptID]bool
	offeredAt time.Time
	// failedOffers counts successive offers that were not settled.
	failedOffers int
}

type heldCopy struct {
	attempt   core.AttemptID
	raw       []byte
	heldSince time.Time
}

// Offer is an offer of one process's bills to a linked entry.
type Offer struct {
	To      core.ProcessID
	Process core.ProcessID
	Bills   [][]byte
}

// Option changes a Set at construction.
type Option func(*Set)

// MaxBytes bounds the copies in bytes.
func MaxBytes(bytes int) Option { return func(se *Set) { se.limit = bytes } }

// New returns an empty set.
func New(opts ...Option) *Set {
	se := &Set{limit: defaultLimit, owners: map[core.ProcessID]*processCopies{}, processOf: map[core.AttemptID]core.ProcessID{}}
	for _, opt := range opts {
		opt(se)
	}
	return se
}

// Len returns how many copies are held.
func (se *Set) Len() int { return len(se.processOf) }

// Add stores a copy and reports whether there was room.
func (se *Set) Add(id core.ProcessID, at core.AttemptID, raw []byte, now time.Time) bool {
	if _, known := se.processOf[at]; known {
		return true
	}
	if se.size+len(raw) > se.limit {
		return false
	}
	pc := se.owners[id]
	if pc == nil {
		pc = new(processCopies)
		se.owners[id] = pc
	}
	pc.copies = append(pc.copies, heldCopy{at, raw, now})
	se.processOf[at] = id
	se.size += len(raw)
	return true
}

// Remove drops copies whose bills are durable.
func (se *Set) Remove(ats []core.AttemptID) {
	drop := map[core.AttemptID]bool{}
	owners := map[core.ProcessID]bool{}
	for _, at := range ats {
		if id, ok := se.processOf[at]; ok {
			drop[at], owners[id] = true, true
			delete(se.processOf, at)
		}
	}
	for id := range owners {
		pc := se.owners[id]
		pc.copies = slices.DeleteFunc(pc.copies, func(he heldCopy) bool {
			if drop[he.attempt] {
				se.size -= len(he.raw)
				delete(pc.offered, he.attempt)
			}
			return drop[he.attempt]
		})
		if len(pc.copies) == 0 {
			delete(se.owners, id)
		}
	}
}

// OfferNow makes offers of processes without a link due at once. The copies of an agent that stops
// are lost with it, so it cannot wait until a process is certainly gone.
func (se *Set) OfferNow() { se.leaving = true }

// CountUnlinked returns the number of copies of processes that are not linked. The other processes
// still have their bills themselves.
func (se *Set) CountUnlinked(linked []core.ProcessID) int {
	count := 0
	for id, pc := range se.owners {
		if !slices.Contains(linked, id) {
			count += len(pc.copies)
		}
	}
	return count
}

// Due returns the offers to make now. It is to be called about once a second.
func (se *Set) Due(now time.Time, linked []core.ProcessID) []Offer {
	var out []Offer
	for _, id := range slices.Sorted(maps.Keys(se.owners)) {
		pc := se.owners[id]
		cutoff := now
		if slices.Contains(linked, id) {
			pc.unlinkedSince = time.Time{}
			cutoff = now.Add(-reofferAfter)
		} else if !pc.goneLongEnough(now) && !se.leaving {
			continue
		}
		if !pc.mayOffer(now) {
			continue
		}
		if of := pc.offer(now, cutoff); len(of.Bills) > 0 {
			of.Process = id
			of.To = successor(id, linked, pc.failedOffers)
			if of.To != "" {
				out = append(out, of)
			}
		}
	}
	return out
}

// goneLongEnough reports whether the process has been without a link for takeoverAfter.
func (pc *processCopies) goneLongEnough(now time.Time) bool {
	if pc.unlinkedSince.IsZero() {
		pc.unlinkedSince = now
	}
	return now.Sub(pc.unlinkedSince) >= takeoverAfter
}

// mayOffer reports whether another offer may be made: the last one was settled, or its pause has
// passed without that.
func (pc *processCopies) mayOffer(now time.Time) bool {
	switch {
	case len(pc.offered) == 0:
		pc.failedOffers = 0
		return true
	case now.Sub(pc.offeredAt) < retryPause<<min(pc.failedOffers, maxDoublings):
		return false
	}
	pc.failedOffers++
	return true
}

// offer takes the oldest copies, none younger than cutoff, up to maxOfferBytes.
func (pc *processCopies) offer(now, cutoff time.Time) Offer {
	var of Offer
	pc.offered, pc.offeredAt = map[core.AttemptID]bool{}, now
	size := 0
	for _, he := range pc.copies {
		if he.heldSince.After(cutoff) || size > 0 && size+len(he.raw) > maxOfferBytes {
			break
		}
		size += len(he.raw)
		of.Bills = append(of.Bills, he.raw)
		pc.offered[he.attempt] = true
	}
	return of
}

// successor chooses the receiver of an offer: the process itself while it is linked, otherwise the
// linked entries in the order of rendezvous hashing, one further after each failed offer. So all
// agents of a region prefer the same successor, which reads the chains once for all of them.
// Another choice would only cost reads.
func successor(id core.ProcessID, linked []core.ProcessID, round int) core.ProcessID {
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
