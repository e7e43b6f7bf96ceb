package mirror_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"skylarkstand/core"
	"skylarkstand/core/mirror"
)

// reader is an entry that watches the store for others.
type reader struct {
	mi *mirror.Mirror
	// mute has it tell and not answer.
	mute     bool
	doubtful bool
	asked    int
}

func (re *reader) Ask(context.Context, core.Revision) (mirror.News, error) {
	return mirror.News{}, errors.New("nobody is asked")
}

func (re *reader) AskAt(_ context.Context, _ string, after core.Revision) (mirror.News, error) {
	re.asked++
	if re.mute {
		return mirror.News{}, errors.New("no answer")
	}
	changes, rev, kept := re.mi.Since(after)
	if !kept {
		return mirror.News{}, errors.New("the changes are not kept")
	}
	return mirror.News{Newer: rev > after, Changes: changes, Revision: rev, Doubtful: re.doubtful}, nil
}

// tell has the reader tell of its copy for a time.
func (re *reader) tell(fo *mirror.Follower, du time.Duration) {
	const every = 250 * time.Millisecond
	for ; du > 0; du -= every {
		fo.Told(time.Now(), mirror.Digest{From: "reader", Revision: re.mi.Revision(), Contact: time.Second, Age: time.Second})
		time.Sleep(every)
	}
}

// rely plays an entry that relies on a reader.
func rely(t *testing.T, play func(sh *shop, re *reader, mi *mirror.Mirror, fo *mirror.Follower)) {
	t.Helper()
	sh := new(shop)
	sh.put("one")
	re := &reader{mi: mirror.New()}
	re.mi.Replace(sh.items, sh.rev, time.Now())
	follow(t, sh, re, func(mi *mirror.Mirror, fo *mirror.Follower) {
		re.tell(fo, 4*time.Second)
		play(sh, re, mi, fo)
	}, mirror.Reads(func() bool { return false }))
}

func two(rev core.Revision) []core.Change {
	return []core.Change{{Item: core.Item{Key: configuration, Value: []byte("two"), Revision: rev}}}
}

// Guards against store calls that grow with the entries.
func TestEntryThatReliesOnReadersMakesNoCalls(t *testing.T) {
	rely(t, func(sh *shop, re *reader, mi *mirror.Mirror, fo *mirror.Follower) {
		before := sh.watches
		re.tell(fo, time.Minute)
		assert.Equal(t, sh.watches, before)
		assert.Assert(t, mi.Age(time.Now()) < 2*time.Second, "the reader confirms the copy")
	})
}

// Guards against a change that reaches readers only.
func TestChangeThatAReaderTells(t *testing.T) {
	rely(t, func(sh *shop, re *reader, mi *mirror.Mirror, fo *mirror.Follower) {
		before := sh.watches
		re.mi.Apply(two(2), 2, time.Now())
		re.tell(fo, 250*time.Millisecond)
		holdsTwo(t, mi)
		assert.Equal(t, sh.watches, before)
		assert.Equal(t, re.asked, 1)
	})
}

// Guards against an entry that waits for readers that are all gone, cut off from
// the store, or frozen.
func TestChangeWithoutReaders(t *testing.T) {
	rely(t, func(sh *shop, _ *reader, mi *mirror.Mirror, _ *mirror.Follower) {
		sh.put("two")
		time.Sleep(3500 * time.Millisecond)
		holdsTwo(t, mi)
	})
}

// Guards against a copy that counts as stale, and changes that wait, for as long as
// no reader is left: callers with a new key are then refused.
func TestEntryWatchesItselfWhileThereAreNoReaders(t *testing.T) {
	rely(t, func(sh *shop, _ *reader, mi *mirror.Mirror, _ *mirror.Follower) {
		time.Sleep(5 * time.Second)
		for range 300 {
			time.Sleep(100 * time.Millisecond)
			assert.Assert(t, mi.Age(time.Now()) < 6*time.Second)
		}
		sh.put("two")
		time.Sleep(100 * time.Millisecond)
		holdsTwo(t, mi)
	})
}

// Guards against a reader that goes on telling although the store does not answer
// it any more.
func TestReaderWithoutContact(t *testing.T) {
	rely(t, func(sh *shop, re *reader, mi *mirror.Mirror, fo *mirror.Follower) {
		sh.put("two")
		for range 14 {
			fo.Told(time.Now(), mirror.Digest{From: "reader", Revision: re.mi.Revision(), Contact: mirror.NoContact})
			time.Sleep(250 * time.Millisecond)
		}
		holdsTwo(t, mi)
	})
}

// Guards against a change that one reader tells of and cannot hand on.
func TestReaderThatDoesNotAnswer(t *testing.T) {
	rely(t, func(sh *shop, re *reader, mi *mirror.Mirror, fo *mirror.Follower) {
		re.mute = true
		sh.put("two")
		re.mi.Apply(two(2), 2, time.Now())
		re.tell(fo, 250*time.Millisecond)
		holdsTwo(t, mi)
	})
}

// Guards against upstreams that are dropped for good since only readers know that
// their leases may have lapsed in the store's own trouble.
func TestRemovalThatAReaderDoubts(t *testing.T) {
	rely(t, func(_ *shop, re *reader, _ *mirror.Mirror, fo *mirror.Follower) {
		assert.Assert(t, !fo.Doubtful(time.Now()))
		re.doubtful = true
		re.mi.Apply([]core.Change{{Item: core.Item{Key: configuration, Revision: 2}, Gone: true}}, 2, time.Now())
		re.tell(fo, 250*time.Millisecond)
		assert.Assert(t, fo.Doubtful(time.Now()))
		time.Sleep(5 * time.Second)
		assert.Assert(t, !fo.Doubtful(time.Now()))
	})
}

// Guards against copies that differ from the store's after changes were handed on
// in pieces, from any revision, with changes that a listing had before its time.
func TestChangesSinceLeadToTheSameCopy(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		all := map[string]core.Item{}
		one, two := mirror.New(), mirror.New()
		now := time.Unix(1_000_000, 0)
		rev := core.Revision(rapid.IntRange(1, 4).Draw(rt, "first"))
		one.Replace(nil, rev, now)
		two.Replace(nil, rev, now)
		for range rapid.IntRange(1, 400).Draw(rt, "changes") {
			rev++
			key := fmt.Sprint("key-", rapid.IntRange(0, 5).Draw(rt, "key"))
			ch := core.Change{Item: core.Item{Key: key, Value: make([]byte, rapid.IntRange(0, 3000).Draw(rt, "size")), Revision: rev}}
			if _, ok := all[key]; ok && rapid.Bool().Draw(rt, "gone") {
				ch.Gone, ch.Value = true, nil
				delete(all, key)
			} else {
				all[key] = ch.Item
			}
			if rapid.IntRange(0, 99).Draw(rt, "early") == 0 {
				// A listing whose pages are newer than its revision.
				items, _, _ := one.Copy("")
				if !ch.Gone {
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
