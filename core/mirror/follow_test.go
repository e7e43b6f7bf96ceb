package mirror_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/mirror"
)

// configuration is the key that the tests write.
const configuration = "op/config"

// shop is a store that can go silent, turn away, and drop its history.
type shop struct {
	mu      sync.Mutex
	items   []core.Item
	rev     core.Revision
	silent  bool
	busy    bool
	compact bool
	// lose has the next answer with changes lost.
	lose bool
	// watches counts the calls that wait for changes.
	watches int
}

func (sh *shop) put(val string) {
	const key = configuration
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

func (sh *shop) set(fn func()) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	fn()
}

// answer waits for as long as the store is silent, at most a little longer than
// asked for, as a client's own limit does.
func (sh *shop) answer(ctx context.Context, wait time.Duration) error {
	sh.mu.Lock()

	silent, busy := sh.silent, sh.busy
	sh.mu.Unlock()
	switch {
	case silent:
		select {
		case <-ctx.Done():
		case <-time.After(wait + 700*time.Millisecond):
		}
		return core.ErrUnavailable
	case busy:
		return core.ErrUnavailable
	}
	return ctx.Err()
}

// loses reports whether the answer at hand is lost, once.
func (sh *shop) loses() bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	was := sh.lose
	sh.lose = false
	return was
}

func (sh *shop) Snapshot(ctx context.Context) ([]core.Item, core.Revision, error) {
	if err := sh.answer(ctx, 0); err != nil {
		return nil, 0, err
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.compact = false
	return append([]core.Item(nil), sh.items...), sh.rev, nil
}

func (sh *shop) Changes(ctx context.Context, after core.Revision, wait time.Duration) ([]core.Change, core.Revision, error) {
	until := time.Now().Add(wait)
	sh.set(func() { sh.watches++ })
	for {
		if err := sh.answer(ctx, time.Until(until)); err != nil {
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
		case len(out) > 0 && sh.loses():
			time.Sleep(time.Until(until) + 700*time.Millisecond)
			return nil, 0, core.ErrUnavailable
		case len(out) > 0 || !time.Now().Before(until):
			return out, rev, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// sister is another entry with a mirror of its own.
type sister struct{ mi *mirror.Mirror }

func (si sister) Ask(_ context.Context, after core.Revision) (mirror.News, error) {
	if si.mi == nil {
		return mirror.News{}, errors.New("there is none")
	}
	items, rev, heard := si.mi.Copy("")
	return mirror.News{Newer: rev > after, Whole: true, Items: items, Revision: rev, Age: time.Since(heard)}, nil
}

func (si sister) AskAt(ctx context.Context, _ string, after core.Revision) (mirror.News, error) {
	return si.Ask(ctx, after)
}

// follow runs a follower in a bubble of its own time.
func follow(t *testing.T, sh *shop, si mirror.Siblings, play func(mi *mirror.Mirror, fo *mirror.Follower), opts ...mirror.Option) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		mi := mirror.New()
		fo := mirror.NewFollower(core.NewDeps(), mi, sh, si, opts...)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = fo.Serve(ctx)
		}()
		time.Sleep(time.Second)
		play(mi, fo)
		cancel()
		<-done
		synctest.Wait()
	})
}

// holdsTwo checks that the second value has arrived.
func holdsTwo(t *testing.T, mi *mirror.Mirror) {
	t.Helper()
	it, ok := mi.Get(configuration)
	assert.Assert(t, ok)
	assert.Equal(t, string(it.Value), "two")
}

// hearsOfTwo changes the value while the store does harm, and checks that the
// change arrives within a time.
func hearsOfTwo(t *testing.T, harm func(sh *shop), within time.Duration) {
	t.Helper()
	sh := new(shop)
	sh.put("one")
	follow(t, sh, sister{}, func(mi *mirror.Mirror, _ *mirror.Follower) {
		sh.set(func() { harm(sh) })
		sh.put("two")
		time.Sleep(within)
		holdsTwo(t, mi)
	})
}

// The store goes silent for seven seconds: calls to it hang. An operator's
// change is accepted the moment it is back. A process whose watch was asked just
// before then must not wait for it to run out; its callers would meet the old
// configuration for five seconds longer than those of its neighbour.
func TestChangeAfterASilentStore(t *testing.T) {
	for _, silence := range []time.Duration{3 * time.Second, 7 * time.Second, 7300 * time.Millisecond, 9900 * time.Millisecond} {
		sh := new(shop)
		sh.put("one")
		follow(t, sh, sister{}, func(mi *mirror.Mirror, _ *mirror.Follower) {
			sh.set(func() { sh.silent = true })
			time.Sleep(silence)
			sh.set(func() { sh.silent = false })
			sh.put("two")
			time.Sleep(2500 * time.Millisecond)
			holdsTwo(t, mi)
		})
	}
}

// The answer that tells of a change is lost on the way. Its caller cannot know; the
// change must still be in force within four seconds, or callers meet the old
// configuration, and a roll-out misses its time.
func TestAnswerWithTheChangeIsLost(t *testing.T) {
	hearsOfTwo(t, func(sh *shop) { sh.lose = true }, 4*time.Second)
}

// The store turns this host away and serves the others. A key is taken away
// meanwhile; it would go on working here for as long as that lasts, if the
// process did not ask another entry.
func TestSiblingHasTheNews(t *testing.T) {
	sh := new(shop)
	sh.put("one")
	other := mirror.New()
	follow(t, sh, sister{other}, func(mi *mirror.Mirror, fo *mirror.Follower) {
		sh.set(func() { sh.busy = true })
		time.Sleep(4 * time.Second)
		other.Replace([]core.Item{{Key: configuration, Value: []byte("two"), Revision: 7}}, 7, time.Now())
		time.Sleep(time.Second)
		holdsTwo(t, mi)
		assert.Assert(t, fo.Doubtful(time.Now()), "a removal now may be the store's own trouble")
	})
}

// The store drops its history, so that a watch cannot go on. What changed in
// the gap must be found by reading all anew; a process that watched on from the
// newest revision would never hear of it.
func TestHistoryGone(t *testing.T) {
	hearsOfTwo(t, func(sh *shop) { sh.compact = true }, 3500*time.Millisecond)
}

// A sibling that is behind answers, or a listing that was asked for long ago
// arrives late. A configuration that was in force must not go back to an older
// one.
func TestOlderCopyIsPassedOver(t *testing.T) {
	mi := mirror.New()
	now := time.Now()
	mi.Replace([]core.Item{{Key: configuration, Value: []byte("two"), Revision: 9}}, 9, now)
	assert.Assert(t, !mi.Replace([]core.Item{{Key: configuration, Value: []byte("one"), Revision: 4}}, 8, now))
	mi.Apply([]core.Change{{Item: core.Item{Key: configuration, Value: []byte("one"), Revision: 4}}}, 9, now)
	holdsTwo(t, mi)
}

// A quiet store is watched by calls that wait. Each costs, so there must be few;
// but what no call has confirmed for seconds counts as stale, and its callers
// would be refused for keys and routes that are only unknown.
func TestQuietStoreCostsFewCalls(t *testing.T) {
	sh := new(shop)
	sh.put("one")
	follow(t, sh, sister{}, func(mi *mirror.Mirror, _ *mirror.Follower) {
		before := mi.Age(time.Now())
		assert.Assert(t, before < 3*time.Second)
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			assert.Assert(t, mi.Age(time.Now()) < 6*time.Second, "each answer confirms the copy")
		}
		sh.set(func() { assert.Assert(t, sh.watches <= 25, "%d calls in a minute", sh.watches) })
	})
}

// TestChangesThatWereSkippedAreMarked guards against a decision that takes the
// changes of a new copy for all that there were.
func TestChangesThatWereSkippedAreMarked(t *testing.T) {
	mi := mirror.New()
	var got []core.Change
	mi.Subscribe(func(changes []core.Change) { got = append(got, changes...) })
	put := func(key string, re core.Revision) core.Change {
		return core.Change{Item: core.Item{Key: key, Revision: re}}
	}
	// A page that was read later holds a key that is newer than the listing.
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
