package dispatch

import (
	"cmp"
	"slices"
	"strconv"

	"skylarkstand/core"
	"skylarkstand/core/claim"
	"skylarkstand/core/rendezvous"
)

// preferred returns, of the candidates for an at-most-once operation that were not tried yet, the
// upstream with the highest rendezvous weight for the operation's bucket of claims.
//
// So all entries send the keys of one bucket to the same agent, as long as they list the same
// upstreams as up. This is meant for thousands of claims per second: two agents that
// write the same bucket cause each other write conflicts and repeated reads, and their claims
// cannot be grouped into one write. An entry with a different view of the upstreams causes
// such conflicts but never a second run: the claim alone guarantees that.
func preferred(ke claim.Key, cands []core.Upstream, tried []core.UpstreamID) []core.Upstream {
	ups := slices.DeleteFunc(slices.Clone(cands), func(up core.Upstream) bool {
		return !up.Connected || up.Leaving || slices.Contains(tried, up.Host.ID)
	})
	if len(ups) == 0 {
		return nil
	}
	bucket := string(ke.Service) + "/" + strconv.Itoa(ke.Bucket())
	rank := func(up core.Upstream) uint64 { return rendezvous.Weight(bucket, string(up.Host.ID)) }
	best := slices.MaxFunc(ups, func(aa, bb core.Upstream) int { return cmp.Compare(rank(aa), rank(bb)) })
	return []core.Upstream{best}
}
