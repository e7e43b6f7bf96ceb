package replica_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/replica"
)

// configKey is the key that the tests write.
const configKey = "op/config"

// fakeStore is a store that can hang, reject calls, and drop its history.
type fakeStore struct {
	mu        sync.Mutex
	items     []core.Item
	rev       core.Revision
	hanging   bool
	rejecting bool
	compact   bool
	// loseReply makes the store lose its next reply that contains changes.
	loseReply bool
	// watches counts the watch calls.
	watches int
}

func (sh *fakeStore) put(val string) {
	const key = configKey
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.rev++
	for i := range sh.items {
		if sh.items[i].Key == key {
			sh.items[i] = core.Item{Key: key, Value: []byte(val), Revision: sh.rev}
			return
		}
	}
	sh.items = append(sh.items, core.Item{Key: key, Value: []byte(val), Revision: sh.rev})
}

func (sh *fakeStore) set(fn func()) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	fn()
}

// respond hangs while the store is hanging, for at most a little longer than the requested
// wait, like a client with its own timeout.
func (sh *fakeStore) respond(ctx context.Context, wait time.Duration) error {
	sh.mu.Lock()
	hanging, rejecting := sh.hanging, sh.rejecting
	sh.mu.Unlock()
	switch {
	case hanging:
		select {
		case <-ctx.Done():
		case <-time.After(wait + 700*time.Millisecond):
		}
		return core.ErrUnavailable
	case rejecting:
		return core.ErrUnavailable
	}
	return ctx.Err()
}

// consumeLoseReply reports whether the current reply is lost, and resets the flag.
func (sh *fakeStore) consumeLoseReply() bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	was := sh.loseReply
	sh.loseReply = false
	return was
}

func (sh *fakeStore) Snapshot(ctx context.Context) ([]core.Item, core.Revision, error) {
	if err := sh.respond(ctx, 0); err != nil {
		return nil, 0, err
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.compact = false
	return append([]core.Item(nil), sh.items...), sh.rev, nil
}

func (sh *fakeStore) Changes(ctx context.Context, after core.Revision, wait time.Duration) ([]core.Change, core.Revision, error) {
	until := time.Now().Add(wait)
	sh.set(func() { sh.watches++ })
	for {
		if err := sh.respond(ctx, time.Until(until)); err != nil {
			return nil, 0, err
		}
		sh.mu.Lock()
		var out []core.Change
		for _, it := range sh.items {
			if it.Revision > after {
				out = append(out, core.Change{Item: it})
			}
		}
		rev, compact := sh.rev, sh.compact
		sh.mu.Unlock()
		switch {
		case compact:
			return nil, 0, core.ErrCompacted
		case len(out) > 0 && sh.consumeLoseReply():
			time.Sleep(time.Until(until) + 700*time.Millisecond)
			return nil, 0, core.ErrUnavailable
		case len(out) > 0 || !time.Now().Before(until):
			return out, rev, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// fakeSibling is another entry with its own replica.
type fakeSibling struct{ mi *replica.Replica }

func (si fakeSibling) Fetch(_ context.Context, after core.Revision) (replica.Update, error) {
	if si.mi == nil {
		return replica.Update{}, errors.New("no sibling")
	}
	items, rev, confirmedAt := si.mi.Copy("")
	return replica.Update{Newer: rev > after, Whole: true, Items: items, Revision: rev, Age: time.Since(confirmedAt)}, nil
}

func (si fakeSibling) FetchFrom(ctx context.Context, _ string, after core.Revision) (replica.Update, error) {
	return si.Fetch(ctx, after)
}

// runFollower runs a follower in a synctest bubble.
func runFollower(t *testing.T, sh *fakeStore, si replica.Siblings, test func(mi *replica.Replica, fo *replica.Follower), opts ...replica.Option) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		mi := replica.New()
		fo := replica.NewFollower(core.NewDeps(), mi, sh, si, opts...)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = fo.Serve(ctx)
		}()
		time.Sleep(time.Second)
		test(mi, fo)
		cancel()
		<-done
		synctest.Wait()
	})
}

// assertSecondValue checks that the second value has arrived.
func assertSecondValue(t *testing.T, mi *replica.Replica) {
	t.Helper()
	it, ok := mi.Get(configKey)
	assert.Assert(t, ok)
	assert.Equal(t, string(it.Value), "two")
}

// assertChangeArrives changes the value after injecting a fault into the store, and checks
// that the change arrives within the given time.
func assertChangeArrives(t *testing.T, fault func(sh *fakeStore), within time.Duration) {
	t.Helper()
	sh := new(fakeStore)
	sh.put("one")
	runFollower(t, sh, fakeSibling{}, func(mi *replica.Replica, _ *replica.Follower) {
		sh.set(func() { fault(sh) })
		sh.put("two")
		time.Sleep(within)
		assertSecondValue(t, mi)
	})
}

// Guards against a change that is noticed late after store calls hung for some seconds,
// such as seven: the store accepts an operator's change when it recovers, while a watch
// sent just before still waits for its timeout. Callers would get the old configuration
// for five seconds longer than at other entries.
func TestChangeArrivesAfterStoreHang(t *testing.T) {
	for _, outage := range []time.Duration{3 * time.Second, 7 * time.Second, 7300 * time.Millisecond, 9900 * time.Millisecond} {
		sh := new(fakeStore)
		sh.put("one")
		runFollower(t, sh, fakeSibling{}, func(mi *replica.Replica, _ *replica.Follower) {
			sh.set(func() { sh.hanging = true })
			time.Sleep(outage)
			sh.set(func() { sh.hanging = false })
			sh.put("two")
			time.Sleep(2500 * time.Millisecond)
			assertSecondValue(t, mi)
		})
	}
}

// Guards against a change that is missed when the watch reply with it is lost, which the
// client cannot detect. The change must still arrive within four seconds, or callers get
// the old configuration and a roll-out misses its deadline.
func TestLostWatchReply(t *testing.T) {
	assertChangeArrives(t, func(sh *fakeStore) { sh.loseReply = true }, 4*time.Second)
}

// Guards against a revoked key that stays valid here while the store rejects this host and
// serves the others: the process must fetch the change from another entry.
func TestNewerCopyFromSibling(t *testing.T) {
	sh := new(fakeStore)
	sh.put("one")
	other := replica.New()
	runFollower(t, sh, fakeSibling{other}, func(mi *replica.Replica, fo *replica.Follower) {
		sh.set(func() { sh.rejecting = true })
		time.Sleep(4 * time.Second)
		other.Replace([]core.Item{{Key: configKey, Value: []byte("two"), Revision: 7}}, 7, time.Now())
		time.Sleep(time.Second)
		assertSecondValue(t, mi)
		assert.Assert(t, fo.Doubtful(time.Now()), "a removal now may be caused by the store outage")
	})
}

// Guards against changes that are missed when the store drops its history and a watch
// cannot continue: a process that resumed from the newest revision would never see them,
// so it must list all keys again.
func TestDroppedHistory(t *testing.T) {
	assertChangeArrives(t, func(sh *fakeStore) { sh.compact = true }, 3500*time.Millisecond)
}

// Guards against a configuration that is replaced by an older one, from a sibling that
// lags behind or a listing that arrives late.
func TestOlderCopyIsIgnored(t *testing.T) {
	mi := replica.New()
	now := time.Now()
	mi.Replace([]core.Item{{Key: configKey, Value: []byte("two"), Revision: 9}}, 9, now)
	assert.Assert(t, !mi.Replace([]core.Item{{Key: configKey, Value: []byte("one"), Revision: 4}}, 8, now))
	mi.Apply([]core.Change{{Item: core.Item{Key: configKey, Value: []byte("one"), Revision: 4}}}, 9, now)
	assertSecondValue(t, mi)
}

// Guards against too many watch calls on an idle store, each of which has a cost, and
// against too few: a replica that no call has confirmed for seconds counts as stale, and
// callers would be refused although their keys and routes may be valid.
func TestIdleStoreNeedsFewCalls(t *testing.T) {
	sh := new(fakeStore)
	sh.put("one")
	runFollower(t, sh, fakeSibling{}, func(mi *replica.Replica, _ *replica.Follower) {
		before := mi.Age(time.Now())
		assert.Assert(t, before < 3*time.Second)
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			assert.Assert(t, mi.Age(time.Now()) < 6*time.Second, "each reply confirms the replica")
		}
		sh.set(func() { assert.Assert(t, sh.watches <= 25, "%d calls in a minute", sh.watches) })
	})
}

// TestSkippedChangesAreMarked guards against a subscriber that treats the changes of a
// new copy as the complete history.
func TestSkippedChangesAreMarked(t *testing.T) {
	mi := replica.New()
	var got []core.Change
	mi.Subscribe(func(changes []core.Change) { got = append(got, changes...) })
	put := func(key string, re core.Revision) core.Change {
		return core.Change{Item: core.Item{Key: key, Revision: re}}
	}
	// A page that is read later contains a key newer than the listing's revision.
	mi.Replace([]core.Item{put("a", 3).Item, put("b", 8).Item}, 5, time.Now())
	mi.Apply([]core.Change{put("c", 7)}, 7, time.Now())
	mi.Apply([]core.Change{put("b", 8), put("d", 9)}, 9, time.Now())
	mi.Replace([]core.Item{put("a", 3).Item, put("d", 12).Item}, 12, time.Now())
	var skipped string
	for _, ch := range got {
		skipped += ch.Key
		if ch.Skipped {
			skipped += "!"
		}
	}
	assert.Equal(t, skipped, "a!b!c!dc!b!d!")
}
