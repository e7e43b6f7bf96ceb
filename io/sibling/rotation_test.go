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
	tu, got := rotation{}, map[string]int{}
	const rounds = 40
	for n := range rounds {
		tu.beginRound(addrs, []balance.CachedPart{{Part: uint64(n)}, {Part: uint64(n)}})
		next := tu.next(siblingsPerRound)
		assert.Equal(t, len(next), siblingsPerRound)
		for _, addr := range next {
			got[addr] += len(tu.takePending(addr))
		}
	}
	for _, addr := range addrs {
		assert.Assert(t, got[addr] >= 2*(rounds-4), "%s received %d prefixes", addr, got[addr])
	}
	tu.beginRound(addrs[:1], nil)
	assert.Equal(t, len(tu), 1, "siblings that are gone are removed")
}
