// Package mirror keeps a copy of the small part of the store that a process
// decides by, at one revision, and tells its parts what changed.
//
// The copy comes from the store, by a first listing and then a watch, or from
// another entry when the store does not answer this one. A copy of a higher
// revision replaces one of a lower; it is never the other way round, so that
// nothing that was in force is forgotten again. A store that turns away single
// hosts, or a cut between a host and the store, then costs that host only the
// way over a sibling.
//
// # Usage
//
//	mi := mirror.New()
//	mi.Subscribe(func(ch []core.Change) { … })
//	mi.Replace(items, rev)              // after a listing
//	mi.Apply(events, rev)               // after a watch
//	age := mi.Age(now)                  // since the copy was known to be newest
package mirror

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"skylarkstand/core"
)

// Mirror is safe for concurrent use. Its subscribers are called one at a time,
// in the order of the changes.
type Mirror struct {
	mu    sync.Mutex
	items map[string]core.Item
	rev   core.Revision
	heard time.Time
	// settled is the revision from which on no change was missed.
	settled core.Revision
	log     changeLog
	// tell keeps subscribers in order without holding up readers.
	tell sync.Mutex
	subs []func([]core.Change)
}

// New returns an empty mirror.
func New() *Mirror { return &Mirror{items: map[string]core.Item{}} }

// Subscribe adds what is told of changes. It is called before the first one.
func (mi *Mirror) Subscribe(fn func([]core.Change)) { mi.subs = append(mi.subs, fn) }

// Replace takes over a whole copy, and reports whether it was as new as the
// one that was held.
func (mi *Mirror) Replace(items []core.Item, rev core.Revision, heard time.Time) bool {
	mi.tell.Lock()
	defer mi.tell.Unlock()
	mi.mu.Lock()
	if rev < mi.rev {
		mi.mu.Unlock()
		return false
	}
	fresh := make(map[string]core.Item, len(items))
	var out []core.Change
	settled := rev
	for _, it := range items {
		fresh[it.Key] = it
		settled = max(settled, it.Revision)
		if old, ok := mi.items[it.Key]; !ok || old.Revision < it.Revision {
			out = append(out, core.Change{Item: it, Skipped: true})
		}
	}
	for key, it := range mi.items {
		if _, ok := fresh[key]; !ok {
			out = append(out, core.Change{Item: it, Gone: true, Skipped: true})
		}
	}
	mi.items, mi.rev, mi.settled = fresh, rev, settled
	mi.log.restart(rev)
	mi.hear(heard)
	mi.mu.Unlock()
	slices.SortFunc(out, func(a, b core.Change) int { return cmp.Compare(a.Revision, b.Revision) })
	mi.publish(out)
	return true
}

// Apply takes in the events of a watch that began at the mirror's revision.
// Events that are known already are passed over.
func (mi *Mirror) Apply(events []core.Change, rev core.Revision, heard time.Time) {
	mi.tell.Lock()
	defer mi.tell.Unlock()
	mi.mu.Lock()
	var out []core.Change
	for _, ev := range events {
		// Also one that is known: a listing holds keys that are newer than its
		// revision, and who asks for the changes since then may not have them.
		if ev.Revision > mi.rev {
			mi.log.add(ev)
		}
		old, ok := mi.items[ev.Key]
		if ok && old.Revision >= ev.Revision || !ok && ev.Gone {
			continue
		}
		if ev.Gone {
			// Who is told of a removal needs what was removed.
			ev.Value = old.Value
			delete(mi.items, ev.Key)
		} else {
			mi.items[ev.Key] = ev.Item
		}
		ev.Skipped = ev.Revision <= mi.settled
		out = append(out, ev)
	}
	mi.rev = max(mi.rev, rev)
	mi.hear(heard)
	mi.mu.Unlock()
	mi.publish(out)
}

func (mi *Mirror) publish(out []core.Change) {
	if len(out) == 0 {
		return
	}
	for _, fn := range mi.subs {
		fn(out)
	}
}

func (mi *Mirror) hear(at time.Time) {
	if at.After(mi.heard) {
		mi.heard = at
	}
}

// Revision returns the revision of the copy; 0 is none yet.
func (mi *Mirror) Revision() core.Revision {
	mi.mu.Lock()
	defer mi.mu.Unlock()
	return mi.rev
}

// Age returns how long ago the copy was known to be the newest.
func (mi *Mirror) Age(now time.Time) time.Duration {
	mi.mu.Lock()
	defer mi.mu.Unlock()
	return now.Sub(mi.heard)
}

// Since returns the changes after a revision and the revision that they reach,
// or false when some of them are not kept any more.
func (mi *Mirror) Since(after core.Revision) ([]core.Change, core.Revision, bool) {
	mi.mu.Lock()
	defer mi.mu.Unlock()
	changes, ok := mi.log.since(after)
	return changes, mi.rev, ok
}

// Get returns one key of the copy.
func (mi *Mirror) Get(key string) (core.Item, bool) {
	mi.mu.Lock()
	defer mi.mu.Unlock()
	it, ok := mi.items[key]
	return it, ok
}

// Copy returns the keys with a prefix, in order, the copy's revision, and when
// it was known to be the newest.
func (mi *Mirror) Copy(prefix string) ([]core.Item, core.Revision, time.Time) {
	mi.mu.Lock()
	defer mi.mu.Unlock()
	var out []core.Item
	for key, it := range mi.items {
		if strings.HasPrefix(key, prefix) {
			out = append(out, it)
		}
	}
	slices.SortFunc(out, func(a, b core.Item) int { return strings.Compare(a.Key, b.Key) })
	return out, mi.rev, mi.heard
}
