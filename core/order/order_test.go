package order_test

import (
	"context"
	"errors"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/order"
)

// row is a store of one key whose replies to writes can be lost.
type row struct {
	core.Store
	mu       sync.Mutex
	item     core.Item
	lose     bool
	down     bool
	lostOnce int
}

func (ro *row) Get(_ context.Context, _ string) (core.Item, error) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	switch {
	case ro.down:
		return core.Item{}, core.ErrUnavailable
	case ro.item.Revision == 0:
		return core.Item{}, core.ErrNotFound
	}
	return ro.item, nil
}

func (ro *row) Create(ctx context.Context, key string, value []byte, _ core.LeaseID) (core.Revision, error) {
	return ro.Swap(ctx, key, 0, value)
}

func (ro *row) Swap(_ context.Context, _ string, prev core.Revision, value []byte) (core.Revision, error) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	if ro.item.Revision != prev {
		return 0, core.ErrConflict
	}
	ro.item = core.Item{Value: value, Revision: prev + 1}
	if ro.lose && ro.lostOnce == 0 {
		ro.lostOnce++
		return 0, core.ErrUncertain
	}
	return ro.item.Revision, nil
}

// Two operators order at once, and the store loses a reply. Were a number given
// twice, the agent could not tell which order is the newer one.
func TestNumbersAreNeverDoubled(t *testing.T) {
	ro := &row{lose: true}
	var mu sync.Mutex
	seen := map[order.Fence]bool{}
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			fe, err := order.NewIssuer(ro).Next(t.Context(), "desk-1")
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				assert.Check(t, !seen[fe], "number %d was given twice", fe)
				seen[fe] = true
			}
		})
	}
	wg.Wait()
	assert.Assert(t, len(seen) > 0)
}

// An operator's program decides, is paused, and wakes after another has ordered
// otherwise. The engine ignores fencing numbers. The agent must not pass the
// late order on, also when it was restarted meanwhile and remembers nothing.
func TestLateOrderDoesNotPass(t *testing.T) {
	ro := new(row)
	is := order.NewIssuer(ro)
	old, err := is.Next(t.Context(), "desk-1")
	assert.NilError(t, err)
	newer, err := is.Next(t.Context(), "desk-1")
	assert.NilError(t, err)
	var sent []order.Fence
	pass := func(ga *order.Gate, fe order.Fence) error {
		return ga.Pass(t.Context(), fe, func(context.Context) error {
			sent = append(sent, fe)
			return nil
		})
	}
	assert.Assert(t, errors.Is(pass(order.NewGate(ro, "desk-1"), old), order.ErrOld))
	assert.NilError(t, pass(order.NewGate(ro, "desk-1"), newer))
	assert.Assert(t, errors.Is(pass(order.NewGate(ro, "desk-1"), old), order.ErrOld))
	assert.DeepEqual(t, sent, []order.Fence{newer})
	ro.down = true
	assert.Assert(t, errors.Is(pass(order.NewGate(ro, "desk-1"), newer), order.ErrAway))
}
