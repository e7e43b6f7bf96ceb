package balance

import "time"

// longReads are the times to read a prompt from which a call goes one rank
// further back at an engine each.
//
// Engines read one prompt after the other, in the order of rank and arrival, and
// the longest take a hundred times the shortest. When more come than an engine
// can read, a short prompt behind a long one is late for nothing; the long one
// behind ten short ones is as late as it was.
var longReads = []time.Duration{150 * time.Millisecond, 500 * time.Millisecond, 1500 * time.Millisecond}

const (
	// lastPriority is the last of the routes' priorities that the rank tells
	// apart: it leaves room for lengths among the engines' ten ranks.
	lastPriority = 4
	// sparedLong is the share of long prompts that are not put back, so that the
	// longest are not left without an answer while an overload lasts.
	sparedLong = 0.25
)

// Rank returns the place of a call in an engine's queue, 0 is first: by the
// priority of its request and the time that its prompt takes to be read. Draw is
// a random number from 0 to 1.
func Rank(priority int, read time.Duration, draw float64) int {
	rank := min(max(priority, 0), lastPriority)
	if draw < sparedLong {
		return rank
	}
	for _, long := range longReads {
		if read > long {
			rank++
		}
	}
	return rank
}
