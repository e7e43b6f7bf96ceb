package ledger_test

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"skylarkstand/core"
)

// memoryStore is a store in memory without faults. It counts calls.
type memoryStore struct {
	mu            sync.Mutex
	items         map[string]core.Item
	revision      core.Revision
	reads, writes int
	bytes         int
}

func newMemoryStore() *memoryStore { return &memoryStore{items: map[string]core.Item{}} }

func (me *memoryStore) Get(_ context.Context, key string) (core.Item, error) {
	me.mu.Lock()
	defer me.mu.Unlock()
	me.reads++
	it, ok := me.items[key]
	if !ok {
		return it, core.ErrNotFound
	}
	return it, nil
}

func (me *memoryStore) List(_ context.Context, prefix string) ([]core.Item, error) {
	me.mu.Lock()
	defer me.mu.Unlock()
	me.reads++
	var its []core.Item
	for key, it := range me.items {
		if strings.HasPrefix(key, prefix) {
			its = append(its, it)
		}
	}
	return its, nil
}

func (me *memoryStore) put(key string, prev core.Revision, value []byte) (core.Revision, error) {
	me.mu.Lock()
	defer me.mu.Unlock()
	me.writes++
	me.bytes += len(value)
	if me.items[key].Revision != prev {
		return 0, core.ErrConflict
	}
	me.revision++
	me.items[key] = core.Item{Key: key, Value: value, Revision: me.revision}
	return me.revision, nil
}

func (me *memoryStore) Create(_ context.Context, key string, value []byte, _ core.LeaseID) (core.Revision, error) {
	return me.put(key, 0, value)
}

func (me *memoryStore) Swap(_ context.Context, key string, prev core.Revision, value []byte) (core.Revision, error) {
	return me.put(key, prev, value)
}

func (me *memoryStore) Delete(_ context.Context, key string, _ core.Revision) error {
	me.mu.Lock()
	defer me.mu.Unlock()
	delete(me.items, key)
	return nil
}

func (me *memoryStore) Watch(context.Context, string, core.Revision) (core.Item, error) {
	return core.Item{}, core.ErrUnavailable
}

func (me *memoryStore) Grant(context.Context, time.Duration) (core.LeaseID, error) {
	return "", core.ErrUnavailable
}
func (me *memoryStore) Renew(context.Context, core.LeaseID) error { return core.ErrUnavailable }

// faultyStore is one process's connection to a store. Its calls are refused, delayed for as long as
// a process may be paused, lose their reply, or take effect late.
type faultyStore struct {
	core.Store
	mu  sync.Mutex
	rng *rand.Rand
	// faultShare is the share of calls that fail or are delayed.
	faultShare float64
	// dead makes every call fail without an effect.
	dead bool
}

func (fs *faultyStore) set(faultShare float64, dead bool) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	fs.faultShare, fs.dead = faultShare, dead
}

// maxPause is the longest pause of a process at one call.
const maxPause = 40 * time.Second

// fault is the kind of failure of one call.
type fault int

const (
	none fault = iota
	refused
	pausedBefore
	pausedAfter
	replyLost
	writeLost
	appliedLate
	faultCount
)

func (fs *faultyStore) draw() (fault, time.Duration) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	switch {
	case fs.dead:
		return refused, 0
	case fs.rng.Float64() >= fs.faultShare:
		return none, time.Duration(fs.rng.Int64N(int64(10 * time.Millisecond)))
	}
	return fault(1 + fs.rng.IntN(int(faultCount)-1)), time.Duration(fs.rng.Int64N(int64(maxPause)))
}

func (fs *faultyStore) isDead() bool {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	return fs.dead
}

func (fs *faultyStore) write(put func() (core.Revision, error)) (core.Revision, error) {
	fa, pause := fs.draw()
	switch fa {
	case refused:
		return 0, core.ErrUnavailable
	case replyLost:
		_, _ = put()
		return 0, core.ErrUncertain
	case writeLost:
		return 0, core.ErrUncertain
	case appliedLate:
		time.AfterFunc(pause, func() { _, _ = put() })
		return 0, core.ErrUncertain
	case pausedAfter:
		rev, err := put()
		time.Sleep(pause)
		return rev, err
	}
	time.Sleep(pause)
	if fs.isDead() {
		return 0, core.ErrUncertain
	}
	return put()
}

func (fs *faultyStore) Create(ctx context.Context, key string, value []byte, lease core.LeaseID) (core.Revision, error) {
	return fs.write(func() (core.Revision, error) { return fs.Store.Create(ctx, key, value, lease) })
}

func (fs *faultyStore) Swap(ctx context.Context, key string, prev core.Revision, value []byte) (core.Revision, error) {
	return fs.write(func() (core.Revision, error) { return fs.Store.Swap(ctx, key, prev, value) })
}

func (fs *faultyStore) Get(ctx context.Context, key string) (core.Item, error) {
	fa, pause := fs.draw()
	switch fa {
	case refused, replyLost, writeLost, appliedLate:
		return core.Item{}, core.ErrUnavailable
	case pausedAfter:
		it, err := fs.Store.Get(ctx, key)
		time.Sleep(pause)
		return it, err
	}
	time.Sleep(pause)
	return fs.Store.Get(ctx, key)
}
