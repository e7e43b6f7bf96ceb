package ledger_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/ledger"
)

func newBill(id string) ledger.Bill {
	return ledger.Bill{
		Request: core.RequestID("rq-" + id), Workspace: "schools", Total: 700,
		Lines: []ledger.Line{{Target: "desk@v1", Attempt: core.AttemptID(id), Cost: 700}},
	}
}

// silent is a store whose writes take effect while their replies are lost for
// a time.
type silent struct {
	*memory
	lost bool
}

func (si *silent) Create(ctx context.Context, key string, value []byte, lease core.LeaseID) (core.Revision, error) {
	rev, err := si.memory.Create(ctx, key, value, lease)
	if si.lost {
		return 0, core.ErrUncertain
	}
	return rev, err
}

func (si *silent) Get(ctx context.Context, key string) (core.Item, error) {
	if si.lost {
		return core.Item{}, core.ErrUnavailable
	}
	return si.memory.Get(ctx, key)
}

// The store takes a segment, but its reply is lost and it then is away for
// longer than the entry waits. A writer that tries again as somebody new finds
// its own segment, takes it for another's and never writes again: every later
// bill of that entry is missing on the customers' accounts.
func TestUnsettledSegmentIsItsWritersOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := &silent{memory: newMemory(), lost: true}
		led := ledger.New(core.NewDeps(), st)
		led.Add(newBill("a1"))
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		assert.Assert(t, led.Flush(ctx) != nil)
		st.lost = false
		led.Add(newBill("a2"))
		assert.NilError(t, led.Flush(t.Context()))
		acc, err := ledger.Sum(t.Context(), st)
		assert.NilError(t, err)
		assert.Equal(t, acc.Workspaces["schools"].Requests, 2)
		assert.Equal(t, len(acc.Doubled), 0)
	})
}
