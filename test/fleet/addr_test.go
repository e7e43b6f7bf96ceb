package fleet

import (
	"context"
	"net"
	"os/exec"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// Two test programs allocate from the same ports at the same time. Each checks that an
// address is free before its process listens on it; if both got the same address, one
// process would exit at its start with "address already in use" and fail an unrelated
// test.
func TestProgramsGetDistinctAddresses(t *testing.T) {
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
			assert.Assert(t, !seen[addr], "%s was allocated twice", addr)
			seen[addr] = true
		}
	}
}

// A program starts processes while it allocates addresses. A process that is being
// started must not hold an address that another process gets: that process would exit
// at its start and fail an unrelated test.
func TestAddressIsFreeWhileProcessesStart(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for ctx.Err() == nil {
				_ = exec.Command("true").Run() // Only the start matters, not the result.
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
