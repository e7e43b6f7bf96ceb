package dispatch

import (
	"cmp"
	"slices"
	"strconv"

	"skylarkstand/core"
	"skylarkstand/core/claim"
	"skylarkstand/core/rendezvous"
)

// preferred narrows the candidates of a claimed operation to the one that its
// bucket prefers among those that were not tried.
//
// All entries so send the keys of one bucket to one agent, by rendezvous over
// the upstreams that are up. The load it is made for is thousands of claims a
// second: two agents that write one bucket make each other's writes fail and
// read again, and share no group. An entry that sees other upstreams than the
// rest costs such clashes, never a second run: that rests on the claim alone.
func preferred(ke claim.Key, cands []core.Upstream, tried []core.UpstreamID) []core.Upstream {
	ups := slices.DeleteFunc(slices.Clone(cands), func(up core.Upstream) bool {
		return !up.Up || up.Leaving || slices.Contains(tried, up.Host.ID)
	})
	if len(ups) == 0 {
		return nil
	}
	bucket := string(ke.Service) + "/" + strconv.Itoa(ke.Bucket())
	rank := func(up core.Upstream) uint64 { return rendezvous.Weight(bucket, string(up.Host.ID)) }
	best := slices.MaxFunc(ups, func(aa, bb core.Upstream) int { return cmp.Compare(rank(aa), rank(bb)) })
	return []core.Upstream{best}
}
