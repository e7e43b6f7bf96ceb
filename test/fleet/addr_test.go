package fleet

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Two programs of tests come to the same ports at one moment. Each looks whether
// an address is free before its process listens there; were both given the same,
// one process would end at its start with "address already in use", and a test
// fail that has nothing to do with it.
func TestNoTwoProgramsAreGivenOneAddress(t *testing.T) {
	one, two := addrs{block: 7}, addrs{block: 7}
	t.Cleanup(func() {
		for _, li := range append(one.held, two.held...) {
			assert.NilError(t, li.Close())
		}
	})
	seen := map[string]bool{}
	for range 3 * blockPorts {
		for _, ad := range []*addrs{&one, &two} {
			addr, err := ad.get()
			assert.NilError(t, err)
			assert.Assert(t, !seen[addr], addr)
			seen[addr] = true
		}
	}
}
