package ledger_test

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"skylarkstand/core"
)

// memory is a store without faults. It counts calls.
type memory struct {
	mu            sync.Mutex
	items         map[string]core.Item
	revision      core.Revision
	reads, writes int
	bytes         int
}

func newMemory() *memory { return &memory{items: map[string]core.Item{}} }

func (me *memory) Get(_ context.Context, key string) (core.Item, error) {
	me.mu.Lock()
	defer me.mu.Unlock()
	me.reads++
	it, ok := me.items[key]
	if !ok {
		return it, core.ErrNotFound
	}
	return it, nil
}

func (me *memory) List(_ context.Context, prefix string) ([]core.Item, error) {
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

func (me *memory) put(key string, prev core.Revision, value []byte) (core.Revision, error) {
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

func (me *memory) Create(_ context.Context, key string, value []byte, _ core.LeaseID) (core.Revision, error) {
	return me.put(key, 0, value)
}

func (me *memory) Swap(_ context.Context, key string, prev core.Revision, value []byte) (core.Revision, error) {
	return me.put(key, prev, value)
}

func (me *memory) Delete(_ context.Context, key string, _ core.Revision) error {
	me.mu.Lock()
	defer me.mu.Unlock()
	delete(me.items, key)
	return nil
}

func (me *memory) Watch(context.Context, string, core.Revision) (core.Item, error) {
	return core.Item{}, core.ErrUnavailable
}

func (me *memory) Grant(context.Context, time.Duration) (core.LeaseID, error) {
	return "", core.ErrUnavailable
}
func (me *memory) Renew(context.Context, core.LeaseID) error { return core.ErrUnavailable }

// flaky is one process's way to a store. Its calls are refused, held up for as
// long as a process may be paused, lose their reply, or take effect late.
type flaky struct {
	core.Store
	mu  sync.Mutex
	rng *rand.Rand
	// broken is the share of calls that go wrong.
	broken float64
	// dead makes every call end without an effect.
	dead bool
}

func (fl *flaky) set(broken float64, dead bool) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.broken, fl.dead = broken, dead
}

// maxPause is the longest pause of a process at one call.
const maxPause = 40 * time.Second

// fault is what goes wrong with one call.
type fault int

const (
	none fault = iota
	refused
	pausedBefore
	pausedAfter
	replyLost
	never
	late
	faults
)

func (fl *flaky) draw() (fault, time.Duration) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	switch {
	case fl.dead:
		return refused, 0
	case fl.rng.Float64() >= fl.broken:
		return none, time.Duration(fl.rng.Int64N(int64(10 * time.Millisecond)))
	}
	return fault(1 + fl.rng.IntN(int(faults)-1)), time.Duration(fl.rng.Int64N(int64(maxPause)))
}

func (fl *flaky) isDead() bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.dead
}

func (fl *flaky) write(put func() (core.Revision, error)) (core.Revision, error) {
	fa, pause := fl.draw()
	switch fa {
	case refused:
		return 0, core.ErrUnavailable
	case replyLost:
		_, _ = put()
		return 0, core.ErrUncertain
	case never:
		return 0, core.ErrUncertain
	case late:
		time.AfterFunc(pause, func() { _, _ = put() })
		return 0, core.ErrUncertain
	case pausedAfter:
		rev, err := put()
		time.Sleep(pause)
		return rev, err
	}
	time.Sleep(pause)
	if fl.isDead() {
		return 0, core.ErrUncertain
	}
	return put()
}

func (fl *flaky) Create(ctx context.Context, key string, value []byte, lease core.LeaseID) (core.Revision, error) {
	return fl.write(func() (core.Revision, error) { return fl.Store.Create(ctx, key, value, lease) })
}

func (fl *flaky) Swap(ctx context.Context, key string, prev core.Revision, value []byte) (core.Revision, error) {
	return fl.write(func() (core.Revision, error) { return fl.Store.Swap(ctx, key, prev, value) })
}

func (fl *flaky) Get(ctx context.Context, key string) (core.Item, error) {
	fa, pause := fl.draw()
	switch fa {
	case refused, replyLost, never, late:
		return core.Item{}, core.ErrUnavailable
	case pausedAfter:
		it, err := fl.Store.Get(ctx, key)
		time.Sleep(pause)
		return it, err
	}
	time.Sleep(pause)
	return fl.Store.Get(ctx, key)
}
