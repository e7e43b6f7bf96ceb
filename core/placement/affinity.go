package placement

import (
	"github.com/cespare/xxhash/v2"

	"skylarkstand/core"
)

const (
	// minPrefix is the shortest prompt, in bytes, that is worth keeping
	// together: below it an engine reads the prompt faster than a wait costs.
	minPrefix = 1 << 10
	// affineOver is how far above the region's mean load the upstream that
	// holds a prefix may be. It is made for a prefix that all callers of a
	// workspace share: without the bound they would all go to one upstream,
	// and a cached prefix saves less than a wait for a slot costs.
	affineOver = 1.25
	// affineFull is the load above which affinity does not count at all.
	affineFull = 1.0
)

// Prefix returns the hash of a prompt's beginning that attempts are kept
// together by, or 0 when the prompt is too short to matter.
func Prefix(prompt []byte) uint64 {
	if len(prompt) < minPrefix {
		return 0
	}
	return max(xxhash.Sum64(prompt[:minPrefix]), 1)
}

// affine returns the upstream that a prefix is kept on: the first by
// rendezvous hashing, while it is not much fuller than the others and not
// slow. No table of cached prefixes is kept: the engines' cache events come
// late and with gaps, and all entries agree on the hash without them.
func (pk *Picker) affine(fi *field, prefix uint64) (int, bool) {
	best, top := -1, uint64(0)
	for _, at := range fi.near[:fi.nears] {
		up := &fi.cands[at]
		if up.Hash == 0 {
			up.Hash = Hash(up.Host.ID)
		}
		score := mix(prefix ^ up.Hash)
		if best < 0 || score > top {
			best, top = int(at), score
		}
	}
	lo, probe := pk.load(fi, best)
	return best, !probe && lo <= affineFull && lo <= max(affineOver*fi.mean, affineFloor)
}

// affineFloor is the load up to which affinity always counts: an idle pool has
// a mean of nothing, and any attempt would be above it.
const affineFloor = 0.5

// Hash is the hash of an upstream's id that [core.Upstream] carries.
func Hash(id core.UpstreamID) uint64 { return xxhash.Sum64String(string(id)) }

// mix turns a seed and a hash into a score for rendezvous hashing (Thaler and
// Ravishankar, 1998). It is the finalizer of splitmix64.
func mix(val uint64) uint64 {
	val = (val ^ val>>30) * 0xbf58476d1ce4e5b9
	val = (val ^ val>>27) * 0x94d049bb133111eb
	return val ^ val>>31
}
