package dispatch

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"skylarkstand/core"
	"skylarkstand/core/claim"
)

// preferred gives the candidates of a claimed operation one by one, in the
// order of its bucket: each call returns the next one alone.
//
// All entries so send the keys of one bucket to one agent, by rendezvous over
// the upstreams that are up. The load it is made for is thousands of claims a
// second: two agents that write one bucket make each other's writes fail and
// read again, and share no group. An entry that sees other upstreams than the
// rest costs such clashes, never a second run: that rests on the claim alone.
func preferred(ke claim.Key, cands func() []core.Upstream) func() []core.Upstream {
	var tried []core.UpstreamID
	return func() []core.Upstream {
		ups := slices.DeleteFunc(slices.Clone(cands()), func(up core.Upstream) bool {
			return !up.Up || up.Leaving || slices.Contains(tried, up.Host.ID)
		})
		if len(ups) == 0 {
			return nil
		}
		best := slices.MaxFunc(ups, func(aa, bb core.Upstream) int { return cmp.Compare(rank(ke, aa), rank(ke, bb)) })
		tried = append(tried, best.Host.ID)
		return []core.Upstream{best}
	}
}

func rank(ke claim.Key, up core.Upstream) uint64 {
	return xxhash.Sum64String(string(ke.Service) + "/" + strconv.Itoa(ke.Bucket()) + "/" + string(up.Host.ID))
}
