package rendezvous_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"skylarkstand/core/rendezvous"
)

// TestRankMatchesTop guards against two members with the same rank.
func TestRankMatchesTop(t *testing.T) {
	members := []string{"a", "b", "c", "d", "e", "f"}
	for _, key := range []string{"one", "two", "three"} {
		top := rendezvous.Top(key, members, len(members), func(me string) string { return me })
		for i, me := range top {
			assert.Equal(t, rendezvous.Rank(key, members, me), i)
		}
		assert.Equal(t, rendezvous.Rank(key, members, "none"), -1)
	}
}
