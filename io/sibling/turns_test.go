package sibling

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"skylarkstand/core/balance"
)

// Guards against siblings that never hear of a prompt which an engine has read,
// since they were not among those told in the round after it.
func TestEverySiblingIsToldOfEverything(t *testing.T) {
	var addrs []string
	for i := range 35 {
		addrs = append(addrs, fmt.Sprint("10.0.0.", i))
	}
	tu, got := turns{}, map[string]int{}
	const rounds = 40
	for n := range rounds {
		tu.add(addrs, []balance.Kept{{Part: uint64(n)}, {Part: uint64(n)}})
		next := tu.next(told)
		assert.Equal(t, len(next), told)
		for _, addr := range next {
			got[addr] += len(tu.take(addr))
		}
	}
	for _, addr := range addrs {
		assert.Assert(t, got[addr] >= 2*(rounds-4), "%s heard of %d", addr, got[addr])
	}
	tu.add(addrs[:1], nil)
	assert.Equal(t, len(tu), 1, "those that are gone are forgotten")
}
