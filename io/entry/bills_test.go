package entry

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/declaration"
	"skylarkstand/io/frame"
	"skylarkstand/io/link"
)

// connect links an entry to the agent's copies over a pipe and returns the entry's side. onBills
// is called with each message of bills that the agent hands over.
func connect(ctx context.Context, bc *billCopies, id core.ProcessID, onBills func(*link.Control, *frame.Told)) *link.Control {
	here, there := net.Pipe()
	deps, inf := core.NewDeps(), declaration.NewInForce()
	var agent, entry *link.Control
	agent = link.NewControl(deps, inf, here, link.Handlers{
		Settled: bc.receiveBill, Durable: bc.receiveDurable,
		Hello: func(he *frame.Hello) { bc.addLink(core.ProcessID(he.Process), agent) },
	})
	deps.Self = id
	entry = link.NewControl(deps, inf, there, link.Handlers{Told: func(to *frame.Told) { go onBills(entry, to) }})
	go func() { _ = entry.Serve(ctx) }()
	go func() {
		_ = agent.Serve(ctx)
		bc.removeLink(agent)
	}()
	_ = entry.Hello("")
	return entry
}

// Guards against responses that are never billed: an entry crashes with bills that it has not
// written while another one is linked, or the agent itself is stopped shortly after the crash.
// The copies must reach the other entry.
func TestCopiesOfLostEntryReachAnother(t *testing.T) {
	for _, stops := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			bc := newBillCopies(core.NewDeps())
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go bc.serve(ctx)
			handed := 0
			connect(ctx, &bc, "successor", func(co *link.Control, to *frame.Told) {
				assert.Equal(t, to.Process, "gone")
				handed += len(to.Bills)
				_ = co.Send(&frame.Frame{Body: &frame.Frame_Durable{Durable: &frame.Durable{Attempts: []string{"a1", "a2"}}}})
			})
			gone, crash := context.WithCancel(ctx)
			first := connect(gone, &bc, "gone", nil)
			for _, at := range []string{"a1", "a2"} {
				_ = first.Send(&frame.Frame{Body: &frame.Frame_Settled{Settled: &frame.Settled{Attempt: at, Bill: []byte(at), Process: "gone"}}})
			}
			crash()
			synctest.Wait()
			assert.Equal(t, bc.unlinkedCopies(), 2)
			if stops {
				began := time.Now()
				bc.drain(ctx)
				assert.Assert(t, time.Since(began) < drainTimeout)
			} else {
				time.Sleep(15 * time.Second)
			}
			assert.Equal(t, bc.unlinkedCopies(), 0)
			assert.Equal(t, handed, 2)
		})
	}
}
