package retry

import "time"

const (
	// lentPart is how far beyond its own part an entry may go while all together
	// have some left. The parts of all entries with it stay below the bound, so that
	// it holds also when what was told is wrong by then, or its teller is gone.
	lentPart = 0.1
	// toldLife is how long what another entry has left counts.
	toldLife = time.Second
	// toldLeast is the entries that must have told for anything to be lent, and
	// toldMargin the repeats that each may have made since.
	toldLeast  = 3
	toldMargin = 1
)

// toldLeft is what another entry has left.
type toldLeft struct {
	left float64
	at   time.Time
}

// Tell returns what this entry tells the others that it has left: less than nothing
// after it went beyond its part.
func (wi *Window) Tell(now time.Time) float64 {
	wi.mu.Lock()
	defer wi.mu.Unlock()
	wi.at(now)
	return wi.left(Climb)
}

// Told takes in what another entry has left.
func (wi *Window) Told(now time.Time, from uint64, left float64) {
	wi.mu.Lock()
	defer wi.mu.Unlock()
	wi.told[from] = toldLeft{left, now}
	for id, to := range wi.told {
		if now.Sub(to.at) > toldLife {
			delete(wi.told, id)
		}
	}
}

// lent reports whether a repeat beyond this entry's part may be made.
func (wi *Window) lent(now time.Time, pu Purpose) bool {
	allowed, repeats := wi.sum()
	if (pu.part()+lentPart)*allowed-repeats < 1 {
		return false
	}
	all, entries := wi.left(pu), 0
	for _, to := range wi.told {
		if now.Sub(to.at) <= toldLife {
			all += to.left - toldMargin
			entries++
		}
	}
	return entries >= toldLeast && all >= 1
}
