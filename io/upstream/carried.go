package upstream

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxCarried is how many requests with an id one connection carries: as many ids are remembered, in 1 kB.
const maxCarried = 128

// carriedIDs are the hashes of the ids of the requests that a connection has carried. Two ids with one hash only
// cost a connection.
type carriedIDs []uint64

func (ci *carriedIDs) add(id string) {
	if id != "" {
		*ci = append(*ci, xxhash.Sum64String(id))
	}
}

func (ci carriedIDs) contains(id string) bool {
	return id != "" && slices.Contains(ci, xxhash.Sum64String(id))
}
