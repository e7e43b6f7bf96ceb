package fleet

import (
	"context"
	"net"
	"os/exec"
	"sync"
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

// A program starts processes while it looks for free addresses. A process that is
// just being started must not hold an address that another one is given: that one
// would end at its start, and a test fail that has nothing to do with it.
func TestAddressIsFreeWhileProcessesStart(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for ctx.Err() == nil {
				_ = exec.Command("true").Run() // Only that it starts matters.
			}
		})
	}
	ad := addrs{block: 11}
	for range 500 {
		addr, err := ad.get()
		assert.NilError(t, err)
		li, err := net.Listen("tcp", addr)
		assert.NilError(t, err)
		assert.NilError(t, li.Close())
	}
	cancel()
	wg.Wait()
	for _, li := range ad.held {
		assert.NilError(t, li.Close())
	}
}
