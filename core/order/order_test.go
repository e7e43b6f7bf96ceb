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

// singleKeyStore is a store with a single key that can lose the reply to a write.
type singleKeyStore struct {
	core.Store
	mu          sync.Mutex
	item        core.Item
	loseReply   bool
	down        bool
	lostReplies int
}

func (ro *singleKeyStore) Get(_ context.Context, _ string) (core.Item, error) {
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

func (ro *singleKeyStore) Create(ctx context.Context, key string, value []byte, _ core.LeaseID) (core.Revision, error) {
	return ro.Swap(ctx, key, 0, value)
}

func (ro *singleKeyStore) Swap(_ context.Context, _ string, prev core.Revision, value []byte) (core.Revision, error) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	if ro.item.Revision != prev {
		return 0, core.ErrConflict
	}
	ro.item = core.Item{Value: value, Revision: prev + 1}
	if ro.loseReply && ro.lostReplies == 0 {
		ro.lostReplies++
		return 0, core.ErrUncertain
	}
	return ro.item.Revision, nil
}

// Several operators give orders at once, and the store loses a reply. If a number were issued twice,
// the agent could not determine which order is newer.
func TestFencingNumbersAreUnique(t *testing.T) {
	ro := &singleKeyStore{loseReply: true}
	var mu sync.Mutex
	seen := map[order.FencingNumber]bool{}
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			fe, err := order.NewIssuer(ro).Next(t.Context(), "desk-1")
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				assert.Check(t, !seen[fe], "fencing number %d was issued twice", fe)
				seen[fe] = true
			}
		})
	}
	wg.Wait()
	assert.Assert(t, len(seen) > 0)
}

// An operator's program decides, is paused, and resumes after another one has given a different
// order. The engine ignores fencing numbers. The agent must refuse the late order, even if it was
// restarted in the meantime and has lost its state.
func TestOutdatedOrderIsNotSent(t *testing.T) {
	ro := new(singleKeyStore)
	is := order.NewIssuer(ro)
	old, err := is.Next(t.Context(), "desk-1")
	assert.NilError(t, err)
	newer, err := is.Next(t.Context(), "desk-1")
	assert.NilError(t, err)
	var sent []order.FencingNumber
	pass := func(ga *order.Gate, fe order.FencingNumber) error {
		return ga.Pass(t.Context(), fe, func(context.Context) error {
			sent = append(sent, fe)
			return nil
		})
	}
	assert.Assert(t, errors.Is(pass(order.NewGate(ro, "desk-1"), old), order.ErrSuperseded))
	assert.NilError(t, pass(order.NewGate(ro, "desk-1"), newer))
	assert.Assert(t, errors.Is(pass(order.NewGate(ro, "desk-1"), old), order.ErrSuperseded))
	assert.DeepEqual(t, sent, []order.FencingNumber{newer})
	ro.down = true
	assert.Assert(t, errors.Is(pass(order.NewGate(ro, "desk-1"), newer), order.ErrUnavailable))
}
