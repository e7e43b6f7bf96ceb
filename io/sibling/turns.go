package sibling

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"skylarkstand/core/balance"
)

// turns are the siblings by address, so that each is told in its turn, of all that
// was found since its last one. It is made for more siblings than are told in one
// round: told at random, each would miss what was found in the rounds without it.
type turns map[string]*turn

type turn struct {
	// rounds is how long the sibling has waited.
	rounds int
	kept   []balance.Kept
}

// add begins a round: siblings that are gone are forgotten, and the others are to
// be told of what is new.
func (tu turns) add(addrs []string, kept []balance.Kept) {
	for addr := range tu {
		if !slices.Contains(addrs, addr) {
			delete(tu, addr)
		}
	}
	for _, addr := range addrs {
		one := tu[addr]
		if one == nil {
			one = new(turn)
			tu[addr] = one
		}
		one.rounds++
		one.kept = append(one.kept, kept...)
		one.kept = one.kept[max(len(one.kept)-maxKept, 0):]
	}
}

// next returns up to n siblings, those that have waited longest first.
func (tu turns) next(n int) []string {
	addrs := make([]string, 0, len(tu))
	for addr := range tu {
		addrs = append(addrs, addr)
	}
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	slices.SortStableFunc(addrs, func(a, b string) int { return cmp.Compare(tu[b].rounds, tu[a].rounds) })
	return addrs[:min(n, len(addrs))]
}

// take returns what a sibling has not been told, and ends its turn.
func (tu turns) take(addr string) []balance.Kept {
	kept := tu[addr].kept
	*tu[addr] = turn{}
	return kept
}
