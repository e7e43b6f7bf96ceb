package balance

import (
	"time"

	"skylarkstand/core"
	"skylarkstand/core/mechanism"
)

// Incarnation identifies one start of an upstream in messages between entries.
type Incarnation struct {
	// Upstream is the hash of the upstream's id, see [Hash]; Start is the low bits of its start.
	Upstream uint64
	Start    uint16
}

// NewIncarnation returns the incarnation of an upstream that is listed now.
func NewIncarnation(ho *core.Host) Incarnation {
	return Incarnation{Hash(ho.ID), uint16(ho.StartedAt)} //nolint:gosec // The low bits distinguish one start from another.
}

// Fact is an observation of an upstream that leaves no doubt: nothing listens at its address,
// another upstream has the address, or it answers again. Slowness and failures are no facts: they
// may be caused by this entry's own network.
//
// It is made for many entries of which each sees few responses: a crashed upstream looks idle, and
// without facts every entry would send requests there to find out.
type Fact struct {
	// Upstream is the hash of the upstream's id, see [Hash]; Start distinguishes one start of the
	// process from another.
	Upstream uint64
	Start    uint16
	// DownFor is how long nothing should be sent there; 0 means that it answers.
	DownFor time.Duration
	// FailedConnects counts the consecutive attempts that reached nothing.
	FailedConnects int
}

// addFact queues the fact about an upstream for the next announcement.
func (pk *Picker) addFact(us *upstreamState) { pk.newFacts[us] = true }

// TakeFacts returns the facts that this entry observed since the last call, and clears them.
func (pk *Picker) TakeFacts(now time.Time) []Fact {
	var out []Fact
	for us := range pk.newFacts {
		left := max(us.downUntil.Sub(now), 0)
		if left == 0 && !us.downUntil.IsZero() {
			continue // It may be used again, and nothing new was observed.
		}
		out = append(out, Fact{
			Upstream: us.hash, Start: uint16(us.startedAt), DownFor: left, FailedConnects: us.failedConnects, //nolint:gosec // The low bits do.
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
		us := pk.byHash[fa.Upstream]
		if us == nil || uint16(us.startedAt) != fa.Start { //nolint:gosec // As above.
			continue
		}
		if fa.DownFor <= 0 {
			us.markReachable(now)
			continue
		}
		us.endedAt = now
		us.failedConnects = max(us.failedConnects, fa.FailedConnects)
		if until := now.Add(min(fa.DownFor, replacedFor)); until.After(us.downUntil) {
			us.downUntil = until
			us.unreachableUntil = until
		}
	}
}

// recordResponse records that a response came from an upstream.
func (pk *Picker) recordResponse(now time.Time, us *upstreamState) {
	us.lastData = now
	if us.failedConnects > 0 {
		us.markReachable(now)
		pk.addFact(us)
	}
}

// markReachable ends the unavailability of an upstream that answers.
func (us *upstreamState) markReachable(now time.Time) {
	us.downUntil, us.endedAt, us.failedConnects = time.Time{}, time.Time{}, 0
	if us.unreachableUntil.After(now) {
		us.unreachableUntil = now
	}
}

// EndedSince reports whether an upstream's process was found to have ended, by this entry or another
// one, after the given time.
func (pk *Picker) EndedSince(ho *core.Host, since time.Time) bool {
	us := pk.states[ho.ID]
	return us != nil && us.startedAt == ho.StartedAt && us.endedAt.After(since)
}

// UnreachableWithin reports whether an upstream was unreachable within the given time before now,
// as this entry or another one observed.
func (pk *Picker) UnreachableWithin(now time.Time, ho *core.Host, span time.Duration) bool {
	us := pk.states[ho.ID]
	return us != nil && us.startedAt == ho.StartedAt && !us.unreachableUntil.IsZero() && now.Before(us.unreachableUntil.Add(span))
}
