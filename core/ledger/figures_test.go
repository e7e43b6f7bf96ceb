package ledger_test

import (
	"context"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/ledger"
	"skylarkstand/test/figure"
)

// The fleet that the figures are for: 19,000 requests a second on 360 entries, and 100 of the
// store's writes a second for all ledgers.
const (
	fleetRate    = 53
	fleetEntries = 360
	fleetBudget  = 100.0
)

// TestFiguresLedger measures what one entry costs the store. None of its figures has a bound.
func TestFiguresLedger(t *testing.T) {
	if os.Getenv("SKYLARKSTAND_MEASURE") != "1" {
		t.Skip("set SKYLARKSTAND_MEASURE=1 to measure")
	}
	synctest.Test(t, func(t *testing.T) { measureLoad(t, fleetRate) })
	synctest.Test(t, func(t *testing.T) { measureLoad(t, 0) })
	measureAdd(t)
	measureSuccessor(t)
}

// typicalBill returns the bill of a chat request to one model.
func typicalBill() ledger.Bill {
	return ledger.Bill{
		Request: core.RequestID(core.NewID()), Workspace: "landesamt-schools", When: time.Now(), Total: 1234, Content: ledger.Digest(nil),
		Lines: []ledger.Line{{Target: "desk@v1", Attempt: core.AttemptID(core.NewID()), Usage: core.Usage{Prompt: 812, Generated: 164}, Cost: 1234}},
	}
}

func measureLoad(t *testing.T, rate int) {
	const seconds = 600
	st := newMemoryStore()
	led := ledger.New(core.NewDeps(), st, ledger.WriteBudget(fleetBudget, func() int { return fleetEntries }))
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _ = led.Serve(ctx) }()
	for range seconds {
		for range rate {
			led.Add(typicalBill())
		}
		time.Sleep(time.Second)
	}
	cancel()
	synctest.Wait()
	name := fmt.Sprintf("ledger-%d-per-second-", rate)
	if rate == 0 {
		figure.Unbounded("ledger-idle-store-calls", float64(st.reads+st.writes)/seconds, "1/s")
		return
	}
	figure.Unbounded(name+"bytes", float64(st.bytes)/seconds, "B/s")
	figure.Unbounded(name+"store-writes", float64(st.writes)/seconds, "1/s")
	figure.Unbounded(name+"store-reads", float64(st.reads)/seconds, "1/s")
	figure.Unbounded(name+"fleet-store-writes", float64(st.writes)/seconds*fleetEntries, "1/s")
	figure.Unbounded("ledger-segment-interval", ledger.Interval(fleetBudget, fleetEntries, 2*time.Second).Seconds(), "s")
	figure.Unbounded("ledger-bytes-per-bill", float64(st.bytes)/float64(seconds*rate), "B")
}

func measureAdd(t *testing.T) {
	res := testing.Benchmark(func(b *testing.B) {
		led, bi := ledger.New(core.NewDeps(), newMemoryStore(), ledger.MaxWaitingBytes(1<<40)), typicalBill()
		for b.Loop() {
			led.Add(bi)
		}
	})
	assert.Assert(t, res.N > 0)
	figure.Unbounded("ledger-add", float64(res.NsPerOp())/1000, "us")
}

// measureSuccessor counts the store calls of one pass of a successor after an hour of an entry's
// segments, with the bills of the last eight seconds to look up.
func measureSuccessor(t *testing.T) {
	st, deps := newMemoryStore(), core.NewDeps()
	led := ledger.New(deps, st)
	var copies []ledger.Copy
	for i := range 501 {
		floor := led.Floor()
		for range 10 {
			co := ledger.Copy{Floor: floor, Bill: typicalBill()}
			led.Add(co.Bill)
			if i == 500 {
				copies = append(copies, co)
			}
		}
		if i < 500 {
			assert.NilError(t, led.Flush(t.Context()))
		}
	}
	reads, writes := st.reads, st.writes
	other := core.NewDeps()
	done, err := ledger.NewSuccessor(other, st, ledger.New(other, st)).File(t.Context(), deps.Self, copies)
	assert.NilError(t, err)
	assert.Equal(t, len(done), len(copies))
	figure.Unbounded("ledger-successor-pass-store-reads", float64(st.reads-reads), "calls")
	figure.Unbounded("ledger-successor-pass-store-writes", float64(st.writes-writes), "calls")
}
