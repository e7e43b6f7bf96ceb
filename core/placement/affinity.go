package placement

import (
	"github.com/cespare/xxhash/v2"

	"skylarkstand/core"
)

const (
	// minPrefixBytes is the length of the hashed prefix and of the shortest prompt
	// with affinity. The prefill of a shorter prompt costs less than a wait for a
	// particular upstream.
	minPrefixBytes = 1 << 10
	// affinityMaxOverMean is the multiple of the region's mean load up to which
	// affinity applies. Without this bound, a prefix shared by all callers of a
	// workspace would send them all to one upstream, and a prefix cache hit saves
	// less than a wait for a slot costs.
	affinityMaxOverMean = 1.25
	// affinityMaxLoad is the load above which affinity never applies.
	affinityMaxLoad = 1.0
)

// Prefix returns the hash of a prompt's first bytes for prefix affinity, or 0 if the
// prompt is too short to benefit.
func Prefix(prompt []byte) uint64 {
	if len(prompt) < minPrefixBytes {
		return 0
	}
	return max(xxhash.Sum64(prompt[:minPrefixBytes]), 1)
}

// pickByPrefix returns the local upstream that rendezvous hashing assigns to a
// prefix, and whether to use it: it must be neither slow nor much more loaded than
// the others. There is no table of cached prefixes, since the engines' cache
// events arrive late and with gaps; all entries agree on the hash without them.
func (pk *Picker) pickByPrefix(cs *candidateSet, prefix uint64) (int, bool) {
	best, topScore := -1, uint64(0)
	for _, at := range cs.local[:cs.localCount] {
		up := &cs.cands[at]
		if up.IDHash == 0 {
			up.IDHash = Hash(up.Host.ID)
		}
		score := mix(prefix ^ up.IDHash)
		if best < 0 || score > topScore {
			best, topScore = int(at), score
		}
	}
	lo, probe := pk.load(cs, best)
	return best, !probe && lo <= affinityMaxLoad && lo <= max(affinityMaxOverMean*cs.mean, affinityMinLoad)
}

// affinityMinLoad is the load up to which affinity always applies: the mean load
// of an idle pool is 0, and any attempt would exceed a multiple of it.
const affinityMinLoad = 0.5

// Hash returns the hash of an upstream's id, which [core.Upstream] caches.
func Hash(id core.UpstreamID) uint64 { return xxhash.Sum64String(string(id)) }

// mix returns the score for rendezvous hashing (Thaler and Ravishankar, 1998) of a
// seed XORed with a hash. It is the finalizer of splitmix64.
func mix(val uint64) uint64 {
	val = (val ^ val>>30) * 0xbf58476d1ce4e5b9
	val = (val ^ val>>27) * 0x94d049bb133111eb
	return val ^ val>>31
}
