// Package rendezvous ranks members for a key by highest random weight: every process with the same
// list of members computes the same order without communication, and a member that leaves changes
// only the places that it held.
//
// A preferred member is a hint. Processes with different lists of members rank differently for a
// while, so correctness must not depend on it.
//
// # Usage
//
//	first := rendezvous.Top("muc-a", entries, 2, func(ho core.Host) string { return ho.Addr })
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Weight returns a member's weight for a key. The member with the highest weight is preferred.
func Weight(key, member string) uint64 {
	var dig xxhash.Digest
	dig.Reset()
	_, _ = dig.WriteString(key)
	_, _ = dig.WriteString("\x00")
	_, _ = dig.WriteString(member)
	return dig.Sum64()
}

// Rank returns the place of a member for a key, 0 for the most preferred, or -1 if it isn't in the
// list.
func Rank[S ~string](key string, members []S, self S) int {
	own, rank, found := Weight(key, string(self)), 0, false
	for _, me := range members {
		we := Weight(key, string(me))
		switch {
		case me == self:
			found = true
		case we > own || we == own && me < self:
			rank++
		}
	}
	if !found {
		return -1
	}
	return rank
}

// Top returns the n most preferred members for a key, the most preferred first.
func Top[T any](key string, members []T, n int, name func(T) string) []T {
	type ranked struct {
		member T
		weight uint64
		name   string
	}
	all := make([]ranked, len(members))
	for i, me := range members {
		all[i] = ranked{me, Weight(key, name(me)), name(me)}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.name, b.name))
	})
	top := make([]T, min(n, len(all)))
	for i := range top {
		top[i] = all[i].member
	}
	return top
}
