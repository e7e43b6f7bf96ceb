package replica_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"skylarkstand/core"
	"skylarkstand/core/replica"
)

// fakeReader is an entry that watches the store for others.
type fakeReader struct {
	mi *replica.Replica
	// unresponsive makes it announce its revision but fail requests.
	unresponsive bool
	doubtful     bool
	requests     int
}

func (re *fakeReader) Fetch(context.Context, core.Revision) (replica.Update, error) {
	return replica.Update{}, errors.New("unexpected request to an arbitrary sibling")
}

func (re *fakeReader) FetchFrom(_ context.Context, _ string, after core.Revision) (replica.Update, error) {
	re.requests++
	if re.unresponsive {
		return replica.Update{}, errors.New("no answer")
	}
	changes, rev, complete := re.mi.Since(after)
	if !complete {
		return replica.Update{}, errors.New("the changes are no longer in the log")
	}
	return replica.Update{Newer: rev > after, Changes: changes, Revision: rev, Doubtful: re.doubtful}, nil
}

// announce sends the reader's digest repeatedly for the given time.
func (re *fakeReader) announce(fo *replica.Follower, du time.Duration) {
	const every = 250 * time.Millisecond
	for ; du > 0; du -= every {
		fo.ReceiveDigest(time.Now(), replica.Digest{From: "reader", Revision: re.mi.Revision(), Contact: time.Second, Age: time.Second})
		time.Sleep(every)
	}
}

// runWithReader runs an entry that relies on a reader.
func runWithReader(t *testing.T, test func(sh *fakeStore, re *fakeReader, mi *replica.Replica, fo *replica.Follower)) {
	t.Helper()
	sh := new(fakeStore)
	sh.put("one")
	re := &fakeReader{mi: replica.New()}
	re.mi.Replace(sh.items, sh.rev, time.Now())
	runFollower(t, sh, re, func(mi *replica.Replica, fo *replica.Follower) {
		re.announce(fo, 4*time.Second)
		test(sh, re, mi, fo)
	}, replica.IsReader(func() bool { return false }))
}

func secondValue(rev core.Revision) []core.Change {
	return []core.Change{{Item: core.Item{Key: configKey, Value: []byte("two"), Revision: rev}}}
}

// Guards against store calls that grow with the number of entries.
func TestEntryRelyingOnReadersMakesNoStoreCalls(t *testing.T) {
	runWithReader(t, func(sh *fakeStore, re *fakeReader, mi *replica.Replica, fo *replica.Follower) {
		before := sh.watches
		re.announce(fo, time.Minute)
		assert.Equal(t, sh.watches, before)
		assert.Assert(t, mi.Age(time.Now()) < 2*time.Second, "the reader confirms the replica")
	})
}

// Guards against a change that reaches only the readers.
func TestChangeAnnouncedByReader(t *testing.T) {
	runWithReader(t, func(sh *fakeStore, re *fakeReader, mi *replica.Replica, fo *replica.Follower) {
		before := sh.watches
		re.mi.Apply(secondValue(2), 2, time.Now())
		re.announce(fo, 250*time.Millisecond)
		assertSecondValue(t, mi)
		assert.Equal(t, sh.watches, before)
		assert.Equal(t, re.requests, 1)
	})
}

// Guards against an entry that relies on readers which are all gone, cut off from the
// store, or frozen.
func TestChangeWithoutReaders(t *testing.T) {
	runWithReader(t, func(sh *fakeStore, _ *fakeReader, mi *replica.Replica, _ *replica.Follower) {
		sh.put("two")
		time.Sleep(3500 * time.Millisecond)
		assertSecondValue(t, mi)
	})
}

// Guards against a replica that becomes stale while no reader is left: changes are then
// delayed and callers with a new key are refused.
func TestEntryWatchesStoreWithoutReaders(t *testing.T) {
	runWithReader(t, func(sh *fakeStore, _ *fakeReader, mi *replica.Replica, _ *replica.Follower) {
		time.Sleep(5 * time.Second)
		for range 300 {
			time.Sleep(100 * time.Millisecond)
			assert.Assert(t, mi.Age(time.Now()) < 6*time.Second)
		}
		sh.put("two")
		time.Sleep(100 * time.Millisecond)
		assertSecondValue(t, mi)
	})
}

// Guards against relying on a reader that still announces its revision although the store
// no longer answers it.
func TestReaderCutOffFromStore(t *testing.T) {
	runWithReader(t, func(sh *fakeStore, re *fakeReader, mi *replica.Replica, fo *replica.Follower) {
		sh.put("two")
		for range 14 {
			fo.ReceiveDigest(time.Now(), replica.Digest{From: "reader", Revision: re.mi.Revision(), Contact: replica.NoContact})
			time.Sleep(250 * time.Millisecond)
		}
		assertSecondValue(t, mi)
	})
}

// Guards against a change that is delayed because the reader announcing it fails requests.
func TestUnresponsiveReader(t *testing.T) {
	runWithReader(t, func(sh *fakeStore, re *fakeReader, mi *replica.Replica, fo *replica.Follower) {
		re.unresponsive = true
		sh.put("two")
		re.mi.Apply(secondValue(2), 2, time.Now())
		re.announce(fo, 250*time.Millisecond)
		assertSecondValue(t, mi)
	})
}

// Guards against upstreams that are removed permanently because only the readers saw that
// the leases may have expired during a store outage.
func TestDoubtfulRemovalFromReader(t *testing.T) {
	runWithReader(t, func(_ *fakeStore, re *fakeReader, _ *replica.Replica, fo *replica.Follower) {
		assert.Assert(t, !fo.Doubtful(time.Now()))
		re.doubtful = true
		re.mi.Apply([]core.Change{{Item: core.Item{Key: configKey, Revision: 2}, Removed: true}}, 2, time.Now())
		re.announce(fo, 250*time.Millisecond)
		assert.Assert(t, fo.Doubtful(time.Now()))
		time.Sleep(5 * time.Second)
		assert.Assert(t, !fo.Doubtful(time.Now()))
	})
}

// Guards against replicas that differ from the store after changes were passed on in
// batches, from any revision, including changes that a listing contained early.
func TestSinceYieldsTheSameReplica(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		all := map[string]core.Item{}
		one, two := replica.New(), replica.New()
		now := time.Unix(1_000_000, 0)
		rev := core.Revision(rapid.IntRange(1, 4).Draw(rt, "first"))
		one.Replace(nil, rev, now)
		two.Replace(nil, rev, now)
		for range rapid.IntRange(1, 400).Draw(rt, "changes") {
			rev++
			key := fmt.Sprint("key-", rapid.IntRange(0, 5).Draw(rt, "key"))
			ch := core.Change{Item: core.Item{Key: key, Value: make([]byte, rapid.IntRange(0, 3000).Draw(rt, "size")), Revision: rev}}
			if _, ok := all[key]; ok && rapid.Bool().Draw(rt, "gone") {
				ch.Removed, ch.Value = true, nil
				delete(all, key)
			} else {
				all[key] = ch.Item
			}
			if rapid.IntRange(0, 99).Draw(rt, "early") == 0 {
				// A listing with pages newer than its revision.
				items, _, _ := one.Copy("")
				if !ch.Removed {
					items = append(items, ch.Item)
					one.Replace(latest(items), rev-1, now)
				}
			}
			one.Apply([]core.Change{ch}, rev, now)
			if rapid.IntRange(0, 9).Draw(rt, "ask") > 0 {
				continue
			}
			if changes, to, ok := one.Since(two.Revision()); ok {
				two.Apply(changes, to, now)
			} else {
				items, to, _ := one.Copy("")
				two.Replace(items, to, now)
			}
			got, gotRev, _ := two.Copy("")
			want, wantRev, _ := one.Copy("")
			assert.DeepEqual(rt, got, want)
			assert.Equal(rt, gotRev, wantRev)
			assert.Equal(rt, len(got), len(all))
		}
	})
}

// latest keeps the newest item of each key.
func latest(items []core.Item) []core.Item {
	byKey := map[string]core.Item{}
	for _, it := range items {
		if it.Revision >= byKey[it.Key].Revision {
			byKey[it.Key] = it
		}
	}
	out := make([]core.Item, 0, len(byKey))
	for _, it := range byKey {
		out = append(out, it)
	}
	return out
}
