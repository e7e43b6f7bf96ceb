package sibling

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/balance"
)

// lendingLoads lends retries while any are left, and reports how many there are.
type lendingLoads struct {
	Loads
	left atomic.Int64
}

func (ll *lendingLoads) LendRetry(service uint64) bool {
	if service != balance.Hash(core.ServiceID("pool")) || ll.left.Load() == 0 {
		return false
	}
	ll.left.Add(-1)
	return true
}

func newLender(t *testing.T, left int64) (*Gossiper, *lendingLoads) {
	t.Helper()
	ll := &lendingLoads{}
	ll.left.Store(left)
	pc, err := net.ListenPacket("udp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { pc.Close() })
	gs := NewGossiper("self", pc.LocalAddr().String(), ll, nil, nil, func() bool { return true })
	gs.loans.open(pc)
	gs.reply = func(data []byte, addr string) { sendDatagrams(pc, []string{addr}, data) }
	go gs.receive(pc)
	return gs, ll
}

// Guards against loans that no entry has given, or that are given by an entry that reported that it has none.
func TestBorrowRetry(t *testing.T) {
	const pool = core.ServiceID("pool")
	borrower, _ := newLender(t, 0)
	lender, lent := newLender(t, 2)
	assert.Assert(t, !borrower.BorrowRetry(pool), "nothing was reported yet")
	report := func(left float64) {
		borrower.loans.recordReport(time.Now(), lender.addr, []balance.RetryBudget{{Service: balance.Hash(pool), Left: left}})
	}
	report(minReported - 1)
	assert.Assert(t, !borrower.BorrowRetry(pool))
	report(100)
	assert.Assert(t, !borrower.BorrowRetry("another"))
	borrower.loanWait = time.Minute
	assert.Assert(t, borrower.BorrowRetry(pool))
	assert.Assert(t, borrower.BorrowRetry(pool))
	assert.Equal(t, lent.left.Load(), int64(0))
	assert.Assert(t, !borrower.BorrowRetry(pool), "the lender has none left")

	other, _ := newLender(t, 1)
	report(100)
	borrower.loans.recordReport(time.Now(), other.addr, []balance.RetryBudget{{Service: balance.Hash(pool), Left: 50}})
	assert.Assert(t, borrower.BorrowRetry(pool), "the second one has one left")
}
