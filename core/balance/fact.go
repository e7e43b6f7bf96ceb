package balance

import (
	"time"

	"skylarkstand/core"
	"skylarkstand/core/mechanism"
)

// Fact is what an entry has found out of an upstream beyond doubt: nobody listens
// at its address, another one has the address, or it answers again. Whether one is
// slow or fails is no fact: the entry itself may be cut off.
//
// It is made for many entries of which each sees little: a crashed upstream looks
// idle, and every entry would send callers there to find out.
type Fact struct {
	// Upstream is the hash of its id, see [HashOf], and Start tells one start of it
	// from another.
	Upstream uint64
	Start    uint16
	// Rest is how long nothing should be sent there; 0 is that it answers.
	Rest time.Duration
	// Away counts the attempts in a row that found nobody.
	Away int
}

// found notes that something is to be told of a peer.
func (pk *Picker) found(pe *peer) { pk.facts[pe] = true }

// Facts returns what this entry has found out since the last call.
func (pk *Picker) Facts(now time.Time) []Fact {
	var out []Fact
	for pe := range pk.facts {
		rest := max(pe.down.Sub(now), 0)
		if rest == 0 && !pe.down.IsZero() {
			continue // Its rest is over, and nothing is known since.
		}
		out = append(out, Fact{
			Upstream: pe.hash, Start: uint16(pe.born), Rest: rest, Away: pe.away, //nolint:gosec // The low bits do.
		})
	}
	clear(pk.facts)
	return out
}

// ToldFacts takes in what another entry has found out.
func (pk *Picker) ToldFacts(now time.Time, facts []Fact) {
	if pk.off.Has(mechanism.ToldFacts) {
		return
	}
	for _, fa := range facts {
		pe := pk.hashed[fa.Upstream]
		if pe == nil || uint16(pe.born) != fa.Start { //nolint:gosec // As above.
			continue
		}
		if fa.Rest <= 0 {
			pe.back(now)
			continue
		}
		pe.away = max(pe.away, fa.Away)
		if until := now.Add(min(fa.Rest, replacedFor)); until.After(pe.down) {
			pe.down = until
			pe.awayUntil = until
		}
	}
}

// answered notes that an answer came from an upstream.
func (pk *Picker) answered(now time.Time, pe *peer) {
	pe.heard = now
	if pe.away > 0 {
		pe.back(now)
		pk.found(pe)
	}
}

// back ends the rest of an upstream that answers.
func (pe *peer) back(now time.Time) {
	pe.down, pe.away = time.Time{}, 0
	if pe.awayUntil.After(now) {
		pe.awayUntil = now
	}
}

// AwayWithin reports whether an upstream did not answer some time ago at most, by
// what this entry or another one has found.
func (pk *Picker) AwayWithin(now time.Time, ho *core.Host, span time.Duration) bool {
	pe := pk.peers[ho.ID]
	return pe != nil && pe.born == ho.Born && !pe.awayUntil.IsZero() && now.Before(pe.awayUntil.Add(span))
}
