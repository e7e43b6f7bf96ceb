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

func (sk *singleKeyStore) Get(_ context.Context, _ string) (core.Item, error) {
	sk.mu.Lock()
	defer sk.mu.Unlock()
	switch {
	case sk.down:
		return core.Item{}, core.ErrUnavailable
	case sk.item.Revision == 0:
		return core.Item{}, core.ErrNotFound
	}
	return sk.item, nil
}

func (sk *singleKeyStore) Create(ctx context.Context, key string, value []byte, _ core.LeaseID) (core.Revision, error) {
	return sk.Swap(ctx, key, 0, value)
}

func (sk *singleKeyStore) Swap(_ context.Context, _ string, prev core.Revision, value []byte) (core.Revision, error) {
	sk.mu.Lock()
	defer sk.mu.Unlock()
	if sk.item.Revision != prev {
		return 0, core.ErrConflict
	}
	sk.item = core.Item{Value: value, Revision: prev + 1}
	if sk.loseReply && sk.lostReplies == 0 {
		sk.lostReplies++
		return 0, core.ErrUncertain
	}
	return sk.item.Revision, nil
}

// Several operators give orders at once, and the store loses a reply. If a number were issued twice,
// the agent could not determine which order is newer.
func TestFencingNumbersAreUnique(t *testing.T) {
	sk := &singleKeyStore{loseReply: true}
	var mu sync.Mutex
	seen := map[order.FencingNumber]bool{}
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			fe, err := order.NewIssuer(sk).Next(t.Context(), "desk-1")
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
	sk := new(singleKeyStore)
	is := order.NewIssuer(sk)
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
	assert.Assert(t, errors.Is(pass(order.NewGate(sk, "desk-1"), old), order.ErrSuperseded))
	assert.NilError(t, pass(order.NewGate(sk, "desk-1"), newer))
	assert.Assert(t, errors.Is(pass(order.NewGate(sk, "desk-1"), old), order.ErrSuperseded))
	assert.DeepEqual(t, sent, []order.FencingNumber{newer})
	sk.down = true
	assert.Assert(t, errors.Is(pass(order.NewGate(sk, "desk-1"), newer), order.ErrUnavailable))
}
