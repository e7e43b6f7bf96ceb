package balance

import "time"

// rankThresholds are prefill times: a call moves one rank further back for each one that its prompt
// exceeds.
//
// Engines process one prompt at a time, in the order of rank and arrival, and the longest take a
// hundred times as long as the shortest. When more prompts come than an engine can process, a short
// prompt behind a long one is late without need; a long one behind ten short ones is about as late
// as it would be without them.
var rankThresholds = []time.Duration{150 * time.Millisecond, 500 * time.Millisecond, 1500 * time.Millisecond}

const (
	// maxPriority is the last of the routes' priorities that ranks distinguish: it leaves room for
	// prompt lengths among the engines' ten ranks.
	maxPriority = 4
	// exemptShare is the share of long prompts that are not moved back, so that the longest are not
	// starved while an overload lasts.
	exemptShare = 0.25
)

// Rank returns the rank of a call in an engine's queue, 0 is first: from the priority of its
// request and the prefill time of its prompt. Draw is a random number from 0 to 1.
func Rank(priority int, prefill time.Duration, draw float64) int {
	rank := min(max(priority, 0), maxPriority)
	if draw < exemptShare {
		return rank
	}
	for _, limit := range rankThresholds {
		if prefill > limit {
			rank++
		}
	}
	return rank
}
