// Package placement chooses the upstream that an attempt goes to.
//
// The choice is between two candidates drawn at random, the less loaded one.
// Load reports lag, so this entry's own attempts are counted at once.
//
// # Usage
//
//	up, ok := placement.Pick(cands, zone, region, rnd, tried)
package placement

import (
	"slices"

	"skylarkstand/core"
)

// Pick returns the upstream for an attempt, or false when there is none. The
// candidates are not changed. Draw returns a number from 0 to n-1.
func Pick(cands []core.Upstream, zo core.Zone, re core.Region, draw func(n int) int, tried []core.UpstreamID) (core.UpstreamID, bool) {
	near := make([]core.Upstream, 0, len(cands))
	best := farthest + 1
	for _, up := range cands {
		if !up.Up || up.Leaving || slices.Contains(tried, up.Host.ID) {
			continue
		}
		dist := distance(up, zo, re)
		if dist < best {
			near, best = near[:0], dist
		}
		if dist == best {
			near = append(near, up)
		}
	}
	if len(near) == 0 {
		return "", false
	}
	one, two := near[draw(len(near))], near[draw(len(near))]
	if score(two) < score(one) {
		one = two
	}
	return one.Host.ID, true
}

// farthest is the distance over the link between regions, paid by volume.
const farthest = 1

func distance(up core.Upstream, _ core.Zone, re core.Region) int {
	if up.Host.Region == re {
		return 0
	}
	return farthest
}

func score(up core.Upstream) float64 {
	work := float64(max(up.Load.Running, up.Own) + up.Load.Queued + 1)
	return work / float64(max(up.Load.Slots, 1))
}
