package balance

import (
	"time"

	"skylarkstand/core"
	"skylarkstand/core/mechanism"
)

// Fact is an observation of an upstream that leaves no doubt: nothing listens at its address,
// another upstream has the address, or it answers again. Slowness and failures are no facts: they
// may be caused by this entry's own network.
//
// It is made for many entries of which each sees few responses: a crashed upstream looks idle, and
// without facts every entry would send requests there to find out.
type Fact struct {
	// Upstream is the hash of its id, see [Hash]; Start distinguishes one start of the process
	// from another.
	Upstream uint64
	Start    uint16
	// DownFor is how long nothing should be sent there; 0 means that it answers.
	DownFor time.Duration
	// FailedConnects counts the consecutive attempts that reached nothing.
	FailedConnects int
}

// addFact queues a peer's state for the next announcement.
func (pk *Picker) addFact(pe *peer) { pk.newFacts[pe] = true }

// TakeFacts returns the facts that this entry observed since the last invocation.
func (pk *Picker) TakeFacts(now time.Time) []Fact {
	var out []Fact
	for pe := range pk.newFacts {
		left := max(pe.downUntil.Sub(now), 0)
		if left == 0 && !pe.downUntil.IsZero() {
			continue // It may be used again, and nothing new was observed.
		}
		out = append(out, Fact{
			Upstream: pe.hash, Start: uint16(pe.startedAt), DownFor: left, FailedConnects: pe.failedConnects, //nolint:gosec // The low bits do.
		})
	}
	clear(pk.newFacts)
	return out
}

// ReceiveFacts applies the facts that another entry announced.
func (pk *Picker) ReceiveFacts(now time.Time, facts []Fact) {
	if pk.off.Has(mechanism.SiblingFacts) {
		return
	}
	for _, fa := range facts {
		pe := pk.byHash[fa.Upstream]
		if pe == nil || uint16(pe.startedAt) != fa.Start { //nolint:gosec // As above.
			continue
		}
		if fa.DownFor <= 0 {
			pe.markReachable(now)
			continue
		}
		pe.failedConnects = max(pe.failedConnects, fa.FailedConnects)
		if until := now.Add(min(fa.DownFor, replacedFor)); until.After(pe.downUntil) {
			pe.downUntil = until
			pe.unreachableUntil = until
		}
	}
}

// recordResponse records that a response came from an upstream.
func (pk *Picker) recordResponse(now time.Time, pe *peer) {
	pe.lastData = now
	if pe.failedConnects > 0 {
		pe.markReachable(now)
		pk.addFact(pe)
	}
}

// markReachable ends the unavailability of an upstream that answers.
func (pe *peer) markReachable(now time.Time) {
	pe.downUntil, pe.failedConnects = time.Time{}, 0
	if pe.unreachableUntil.After(now) {
		pe.unreachableUntil = now
	}
}

// UnreachableWithin reports whether an upstream was unreachable within the given time before now,
// as this entry or another one observed.
func (pk *Picker) UnreachableWithin(now time.Time, ho *core.Host, span time.Duration) bool {
	pe := pk.peers[ho.ID]
	return pe != nil && pe.startedAt == ho.StartedAt && !pe.unreachableUntil.IsZero() && now.Before(pe.unreachableUntil.Add(span))
}
