package rollout_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/chain"
	"skylarkstand/core/declaration"
	"skylarkstand/core/rollout"
)

// memoryStore is a store that can be unavailable.
type memoryStore struct {
	core.Store
	mu          sync.Mutex
	items       map[string][]byte
	unavailable bool
	// onCreate runs before a write, like a concurrent writer's.
	onCreate func(key string)
}

func (me *memoryStore) Get(_ context.Context, key string) (core.Item, error) {
	me.mu.Lock()
	defer me.mu.Unlock()
	val, ok := me.items[key]
	switch {
	case me.unavailable:
		return core.Item{}, core.ErrUnavailable
	case !ok:
		return core.Item{}, core.ErrNotFound
	}
	return core.Item{Key: key, Value: val, Revision: 1}, nil
}

func (me *memoryStore) Create(_ context.Context, key string, val []byte, _ core.LeaseID) (core.Revision, error) {
	if fn := me.onCreate; fn != nil {
		me.onCreate = nil
		fn(key)
	}
	me.mu.Lock()
	defer me.mu.Unlock()
	if me.unavailable {
		return 0, core.ErrUnavailable
	}
	if me.items[key] != nil {
		return 0, core.ErrConflict
	}
	me.items[key] = val
	return 1, nil
}

func (me *memoryStore) Swap(_ context.Context, key string, _ core.Revision, val []byte) (core.Revision, error) {
	me.mu.Lock()
	defer me.mu.Unlock()
	me.items[key] = val
	return 2, nil
}

// storeWithRollOut returns a store in which an operator has applied a roll-out.
func storeWithRollOut(t *testing.T) (*memoryStore, *chain.Chain) {
	t.Helper()
	me := &memoryStore{items: map[string][]byte{}}
	ch := chain.New(me, "configuration")
	assert.NilError(t, ch.Create(context.Background(), 1, configuration(t, 1, 20, "").Raw))
	return me, ch
}

func newestGeneration(t *testing.T, ch *chain.Chain) *declaration.Generation {
	t.Helper()
	last, err := ch.Last(context.Background())
	assert.NilError(t, err)
	gen, err := declaration.Decode(last.Payload)
	assert.NilError(t, err)
	return gen
}

var badVersion = rollout.Halt{Version: desk2, Evidence: "17 of 20 answers were rated badly"}

// Several entries halt a version at the same moment. The history must contain one halt, not
// several, and all entries must apply it.
func TestTwoEntriesHaltAtOnce(t *testing.T) {
	_, ch := storeWithRollOut(t)
	var wg sync.WaitGroup
	wrote, infs := make([]bool, 4), make([]*declaration.InForce, 4)
	for i := range wrote {
		infs[i] = declaration.NewInForce()
		wg.Go(func() {
			var err error
			wrote[i], err = rollout.NewRecorder(ch, infs[i]).Record(context.Background(), badVersion, time.Unix(0, 0))
			assert.Check(t, err)
		})
	}
	wg.Wait()
	writers := 0
	for i, inf := range infs {
		if wrote[i] {
			writers++
		}
		assert.Equal(t, inf.Current().RollOut("desk").Halted, badVersion.Evidence)
	}
	assert.Equal(t, writers, 1)
	gen := newestGeneration(t, ch)
	assert.Equal(t, gen.Number, core.Generation(2))
	assert.Equal(t, gen.Audit.Who, declaration.GuardName)
	assert.DeepEqual(t, gen.Audit.Changed, []string{"~ model desk: roll-out of v2 halted: " + badVersion.Evidence})
}

// An operator applies a change between the guard's read and its write. Writing the halt over the
// generation that was read would lose the change, and an accepted configuration would be undone.
func TestHaltKeepsAnOperatorsChange(t *testing.T) {
	me, ch := storeWithRollOut(t)
	me.onCreate = func(string) {
		assert.NilError(t, ch.Create(context.Background(), 2, configuration(t, 2, 35, "").Raw))
	}
	wrote, err := rollout.NewRecorder(ch, declaration.NewInForce()).Record(context.Background(), badVersion, time.Unix(0, 0))
	assert.NilError(t, err)
	assert.Assert(t, wrote)
	gen := newestGeneration(t, ch)
	assert.Equal(t, gen.Number, core.Generation(3))
	assert.Equal(t, gen.Document.RollOuts[0].Percent, 35)
	assert.Equal(t, gen.Document.RollOuts[0].Halted, badVersion.Evidence)
}

// The store is unavailable when the guard halts a version. The recorder must report the halt as
// pending, so that the entry retries. When the store is available again the halt is recorded, and
// later calls find it there.
func TestHaltIsRecordedWhenTheStoreIsBack(t *testing.T) {
	me, ch := storeWithRollOut(t)
	rec := rollout.NewRecorder(ch, declaration.NewInForce())
	me.unavailable = true
	_, err := rec.Record(context.Background(), badVersion, time.Unix(0, 0))
	assert.ErrorIs(t, err, rollout.ErrPending)
	me.unavailable = false
	for _, first := range []bool{true, false} {
		wrote, err := rec.Record(context.Background(), badVersion, time.Unix(0, 0))
		assert.NilError(t, err)
		assert.Equal(t, wrote, first)
	}
	assert.Equal(t, newestGeneration(t, ch).Number, core.Generation(2))
}
