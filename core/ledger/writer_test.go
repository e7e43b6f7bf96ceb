package ledger_test

import (
	"bytes"
	"context"
	"log/slog"
	"strconv"
	"strings"
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

// replyLosingStore is a store whose writes take effect while their replies are lost for a time.
type replyLosingStore struct {
	*memoryStore
	losing bool
}

func (rl *replyLosingStore) Create(ctx context.Context, key string, value []byte, lease core.LeaseID) (core.Revision, error) {
	rev, err := rl.memoryStore.Create(ctx, key, value, lease)
	if rl.losing {
		return 0, core.ErrUncertain
	}
	return rev, err
}

func (rl *replyLosingStore) Get(ctx context.Context, key string) (core.Item, error) {
	if rl.losing {
		return core.Item{}, core.ErrUnavailable
	}
	return rl.memoryStore.Get(ctx, key)
}

// The store accepts a segment, but its reply is lost and the store is then down for longer than the
// entry waits. A writer that retries with a new nonce finds its own segment, treats it as another
// writer's and never writes again: every later bill of that entry is missing on the customers'
// accounts.
func TestWriterRecognizesItsUnsettledSegment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := &replyLosingStore{memoryStore: newMemoryStore(), losing: true}
		led := ledger.New(core.NewDeps(), st)
		led.Add(newBill("a1"))
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		assert.Assert(t, led.Flush(ctx) != nil)
		st.losing = false
		led.Add(newBill("a2"))
		assert.NilError(t, led.Flush(t.Context()))
		acc, err := ledger.Sum(t.Context(), st)
		assert.NilError(t, err)
		assert.Equal(t, acc.Workspaces["schools"].Requests, 2)
		assert.Equal(t, len(acc.Duplicated), 0)
	})
}

// The store stays down while an entry is stopped, after an outage that produced more bills than the
// entry may hold. The entry must not hang, and its log must contain in full every bill that was not
// written, so that none is lost with the process.
func TestStopWithoutStoreLogsEachBill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		deps := core.NewDeps()
		deps.Log = slog.New(slog.NewJSONHandler(&log, nil))
		led := ledger.New(deps, &replyLosingStore{memoryStore: newMemoryStore(), losing: true}, ledger.MaxWaitingBytes(400))
		for _, id := range []string{"a1", "a2", "a3"} {
			led.Add(newBill(id))
		}
		assert.Equal(t, strings.Count(log.String(), "bill-lost"), 1)
		began := time.Now()
		assert.ErrorIs(t, led.Close(10*time.Second), ledger.ErrStoreUnavailable)
		assert.Assert(t, time.Since(began) <= 10*time.Second)
		led.Add(newBill("a4"))
		for _, id := range []string{"a1", "a2", "a3", "a4"} {
			assert.Equal(t, strings.Count(log.String(), `rq-`+id), 1)
		}
	})
}

// The store recovers after an outage in which an entry queued several segments. If all entries
// wrote them in a burst, callers of at-most-once operations would get no claims: they would be
// answered "not run" although the store is up.
func TestBacklogKeepsTheInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := newMemoryStore()
		led := ledger.New(core.NewDeps(), st, ledger.MinInterval(time.Second))
		long := strings.Repeat("x", 100_000)
		for i := range 40 {
			bi := newBill(strconv.Itoa(i))
			bi.Workspace = core.WorkspaceID(long)
			led.Add(bi)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second+time.Millisecond)
		defer cancel()
		assert.ErrorIs(t, led.Serve(ctx), context.DeadlineExceeded)
		acc, err := ledger.Sum(t.Context(), st)
		assert.NilError(t, err)
		assert.Assert(t, acc.EntryCount >= 3 && acc.EntryCount <= 4, "%d segments in 3 s", acc.EntryCount)
	})
}

func TestIntervalKeepsTheBudget(t *testing.T) {
	scenarios := []struct {
		testName string
		budget   float64
		live     int
		expected time.Duration
	}{
		{"a small fleet writes at the shortest interval", 100, 6, 2 * time.Second},
		{"360 entries share 100 writes a second", 100, 360, 4050 * time.Millisecond},
		{"an empty host list counts for one entry", 1, 0, 2 * time.Second},
		{"no budget is no bound", 0, 360, 2 * time.Second},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			assert.Equal(t, ledger.Interval(sc.budget, sc.live, 2*time.Second), sc.expected)
		})
	}
}
