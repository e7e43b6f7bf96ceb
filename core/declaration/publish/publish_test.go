package publish_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/declaration"
	"skylarkstand/core/declaration/publish"
)

// fakeStore is an in-memory store whose creates can fail or lose their reply.
type fakeStore struct {
	core.Store
	mu   sync.Mutex
	keys map[string]core.Item
	// before runs before a create, without holding the lock.
	before func(key string)
	// fault returns whether a create takes effect, and the error that it returns.
	fault func(key string) (effect bool, err error)
	down  bool
}

func newStore() *fakeStore { return &fakeStore{keys: map[string]core.Item{}} }

func (fs *fakeStore) Get(_ context.Context, key string) (core.Item, error) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	if fs.down {
		return core.Item{}, core.ErrUnavailable
	}
	it, ok := fs.keys[key]
	if !ok {
		return it, core.ErrNotFound
	}
	return it, nil
}

func (fs *fakeStore) Create(_ context.Context, key string, val []byte, _ core.LeaseID) (core.Revision, error) {
	if fs.before != nil {
		fs.before(key)
	}
	fs.mu.Lock()
	defer fs.mu.Unlock()
	if fs.down {
		return 0, core.ErrUnavailable
	}
	if _, ok := fs.keys[key]; ok {
		return 0, core.ErrConflict
	}
	effect, err := true, error(nil)
	if fs.fault != nil {
		effect, err = fs.fault(key)
	}
	if effect {
		fs.keys[key] = core.Item{Key: key, Value: val, Revision: 1}
	}
	return 1, err
}

func (fs *fakeStore) Swap(_ context.Context, key string, prev core.Revision, val []byte) (core.Revision, error) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	if fs.keys[key].Revision != prev {
		return 0, core.ErrConflict
	}
	fs.keys[key] = core.Item{Key: key, Value: val, Revision: prev + 1}
	return prev + 1, nil
}

func workspaces(shares ...int) declaration.Document {
	doc := declaration.Document{Models: []declaration.Model{{ID: "desk", Stable: "v1", Versions: []declaration.Version{{ID: "v1", Quality: 0.7}}}}}
	for i, sh := range shares {
		id := fmt.Sprintf("parish-%d", i)
		doc.Workspaces = append(doc.Workspaces, declaration.Workspace{
			ID: core.WorkspaceID(id), KeyHashes: []string{declaration.HashKey(id)}, Share: sh,
			Allow: []declaration.Allow{{Model: "desk", Versions: []core.VersionID{"v1"}}},
		})
	}
	return doc
}

func proposal(who string, base core.Generation, shares ...int) publish.Proposal {
	return publish.Proposal{Document: workspaces(shares...), Base: base, Who: who, Why: "Advent"}
}

// Two operators apply concurrently from the same generation. Both changes passed
// the check and affect different workspaces, so both must be accepted.
func TestConcurrentChangesOfDifferentWorkspacesAreBothAccepted(t *testing.T) {
	st := newStore()
	pub := publish.New(st)
	_, err := pub.Apply(t.Context(), proposal("ana", 0, 1, 1))
	assert.NilError(t, err)
	// Jun's write happens between Mei's read and Mei's write.
	once := sync.OnceFunc(func() {
		_, err := publish.New(st).Apply(t.Context(), proposal("jun", 1, 1, 5))
		assert.NilError(t, err)
	})
	racing := false
	st.before = func(key string) {
		if key == publish.Chain+"/2" && !racing {
			racing = true
			once()
		}
	}
	res, err := pub.Apply(t.Context(), proposal("mei", 1, 3, 1))
	assert.NilError(t, err)
	assert.Equal(t, res.After.Number, core.Generation(3))
	assert.Equal(t, res.After.Document.Workspaces[0].Share, 3)
	assert.Equal(t, res.After.Document.Workspaces[1].Share, 5)
	assert.DeepEqual(t, res.After.Audit.Changed, []string{"~ workspace parish-0: share 1 -> 3"})
}

// A dozen operators apply concurrently, each a change of a different workspace. The
// audit trail must have an entry for each, and the last generation all changes.
func TestManyConcurrentChangesAreAllAccepted(t *testing.T) {
	const writers = 12
	st := newStore()
	shares := make([]int, writers)
	for i := range shares {
		shares[i] = 1
	}
	_, err := publish.New(st).Apply(t.Context(), proposal("ana", 0, shares...))
	assert.NilError(t, err)
	var wg sync.WaitGroup
	for i := range writers {
		wg.Go(func() {
			own := append([]int(nil), shares...)
			own[i] = 2 + i
			_, err := publish.New(st).Apply(t.Context(), proposal(fmt.Sprint("writer ", i), 1, own...))
			assert.Check(t, err)
		})
	}
	wg.Wait()
	last, err := publish.New(st).Newest(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, last.Number, core.Generation(1+writers))
	for i := range writers {
		assert.Equal(t, last.Document.Workspaces[i].Share, 2+i)
	}
}

// Two operators change the same workspace. The second operator's file would silently
// revert the first operator's change.
func TestClashReportsTheOtherChange(t *testing.T) {
	st := newStore()
	at := time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)
	pub := publish.New(st, publish.WithClock(func() time.Time { return at }))
	_, err := pub.Apply(t.Context(), proposal("ana", 0, 1, 1))
	assert.NilError(t, err)
	_, err = pub.Apply(t.Context(), proposal("jun", 1, 4, 1))
	assert.NilError(t, err)
	_, err = pub.Apply(t.Context(), proposal("mei", 1, 3, 1))
	assert.Error(t, err, "workspace parish-0 was changed by jun at 2026-12-01T08:00:00Z in generation 2 (Advent)")
	last, err := pub.Newest(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, last.Number, core.Generation(2))
}

// The store's reply is lost and the operator interrupts the command. The outcome that
// the command reports must agree with the chain.
func TestInterruptedApplyReportsTheOutcome(t *testing.T) {
	lost := func(effect bool) func(string) (bool, error) {
		return func(string) (bool, error) { return effect, core.ErrUncertain }
	}
	for _, sc := range []struct {
		testName  string
		effect    bool
		readsFail bool
		accepted  bool
		uncertain bool
	}{
		{"the write took effect", true, false, true, false},
		{"the write may still take effect", false, false, false, true},
		{"the store became unreachable after the write", true, true, false, true},
	} {
		t.Run(sc.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				st := newStore()
				ctx, stop := context.WithCancel(t.Context())
				st.fault = func(key string) (bool, error) {
					stop()
					st.down = sc.readsFail
					return lost(sc.effect)(key)
				}
				res, err := publish.New(st).Apply(ctx, proposal("mei", 0, 1))
				var un *publish.Uncertain
				assert.Equal(t, errors.As(err, &un), sc.uncertain)
				assert.Equal(t, err == nil && res.After.Number == 1, sc.accepted)
			})
		})
	}
}

// The store is unreachable when the command starts. Nothing was written, so the
// operator can safely retry later.
func TestApplyWithoutStoreChangesNothing(t *testing.T) {
	st := newStore()
	st.down = true
	_, err := publish.New(st).Apply(t.Context(), proposal("mei", 0, 1))
	assert.ErrorIs(t, err, publish.ErrUnreachable)
}

// After an uncertain outcome an operator applies the same file again. This must
// neither create a second generation nor conflict with the operator's own change.
func TestApplyAgainChangesNothing(t *testing.T) {
	st := newStore()
	pub := publish.New(st)
	_, err := pub.Apply(t.Context(), proposal("mei", 0, 1))
	assert.NilError(t, err)
	_, err = pub.Apply(t.Context(), proposal("mei", 0, 1))
	assert.ErrorIs(t, err, publish.ErrUnchanged)
}
