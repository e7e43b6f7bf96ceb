package sibling

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"skylarkstand/core/balance"
)

// rotation schedules the siblings, by address, for gossip rounds. Each sibling receives all
// cached prefixes found since its previous datagram. If there are more siblings than
// datagrams in one round, random selection would lose for each sibling the prefixes found in
// rounds that skip it.
type rotation map[string]*siblingState

type siblingState struct {
	// roundsWaited is the number of rounds since the sibling's previous datagram.
	roundsWaited int
	// unsent are the cached prefixes not yet sent to the sibling.
	unsent []balance.CachedPart
}

// beginRound removes siblings that are gone and queues new cached prefixes for the others.
func (ro rotation) beginRound(addrs []string, cached []balance.CachedPart) {
	for addr := range ro {
		if !slices.Contains(addrs, addr) {
			delete(ro, addr)
		}
	}
	for _, addr := range addrs {
		ss := ro[addr]
		if ss == nil {
			ss = new(siblingState)
			ro[addr] = ss
		}
		ss.roundsWaited++
		ss.unsent = append(ss.unsent, cached...)
		ss.unsent = ss.unsent[max(len(ss.unsent)-maxCachedParts, 0):]
	}
}

// next returns up to n siblings, those that have waited for the most rounds first.
func (ro rotation) next(n int) []string {
	addrs := make([]string, 0, len(ro))
	for addr := range ro {
		addrs = append(addrs, addr)
	}
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	slices.SortStableFunc(addrs, func(a, b string) int { return cmp.Compare(ro[b].roundsWaited, ro[a].roundsWaited) })
	return addrs[:min(n, len(addrs))]
}

// takePending returns the cached prefixes not yet sent to a sibling, and resets its wait.
func (ro rotation) takePending(addr string) []balance.CachedPart {
	unsent := ro[addr].unsent
	*ro[addr] = siblingState{}
	return unsent
}
