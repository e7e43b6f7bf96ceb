package sibling

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"skylarkstand/core/balance"
)

// Guards against siblings that never receive a cached prefix because they were not selected
// in the round after its prefill.
func TestEverySiblingReceivesEveryPrefix(t *testing.T) {
	var addrs []string
	for i := range 35 {
		addrs = append(addrs, fmt.Sprint("10.0.0.", i))
	}
	ro, got := rotation{}, map[string]int{}
	const rounds = 40
	for n := range rounds {
		ro.beginRound(addrs, []balance.CachedPart{{Part: uint64(n)}, {Part: uint64(n)}})
		next := ro.next(siblingsPerRound)
		assert.Equal(t, len(next), siblingsPerRound)
		for _, addr := range next {
			got[addr] += len(ro.takePending(addr))
		}
	}
	for _, addr := range addrs {
		assert.Assert(t, got[addr] >= 2*(rounds-4), "%s received %d prefixes", addr, got[addr])
	}
	ro.beginRound(addrs[:1], nil)
	assert.Equal(t, len(ro), 1, "siblings that are gone are removed")
}
