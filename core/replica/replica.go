// Package replica keeps a local replica of the store's keys that a process depends on,
// at a single revision, and notifies subscribers of changes.
//
// The replica is filled from the store, by an initial listing followed by watches, or
// from another entry while the store does not answer this one. A copy with a higher
// revision replaces one with a lower revision and never the reverse, so that a
// configuration in force is never rolled back by stale data. A host that the store
// rejects, or that is cut off from the store, receives the changes from a sibling entry
// instead.
//
// # Usage
//
//	mi := replica.New()
//	mi.Subscribe(func(ch []core.Change) { … })
//	mi.Replace(items, rev, time.Now())  // after a listing
//	mi.Apply(events, rev, time.Now())   // after a watch
//	age := mi.Age(time.Now())           // since the replica was last confirmed up to date
package replica

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"skylarkstand/core"
)

// Replica is a replica of the store's keys. It is safe for concurrent use. Its subscribers
// are called one at a time, in the order of the changes.
type Replica struct {
	mu    sync.Mutex
	items map[string]core.Item
	rev   core.Revision
	// confirmedAt is when the replica was last confirmed up to date.
	confirmedAt time.Time
	// completeAfter is the revision after which no change was skipped.
	completeAfter core.Revision
	log           changeLog
	// publishMu serializes notifications without blocking readers of the replica.
	publishMu sync.Mutex
	subs      []func([]core.Change)
}

// New returns an empty replica.
func New() *Replica { return &Replica{items: map[string]core.Item{}} }

// Subscribe registers a callback for changes. It must be called before the first change.
func (mi *Replica) Subscribe(fn func([]core.Change)) { mi.subs = append(mi.subs, fn) }

// Replace installs a full copy that was up to date at confirmedAt. It returns false and
// keeps the current copy if the new one has a lower revision.
func (mi *Replica) Replace(items []core.Item, rev core.Revision, confirmedAt time.Time) bool {
	mi.publishMu.Lock()
	defer mi.publishMu.Unlock()
	mi.mu.Lock()
	if rev < mi.rev {
		mi.mu.Unlock()
		return false
	}
	fresh := make(map[string]core.Item, len(items))
	var out []core.Change
	completeAfter := rev
	for _, it := range items {
		fresh[it.Key] = it
		completeAfter = max(completeAfter, it.Revision)
		if old, ok := mi.items[it.Key]; !ok || old.Revision < it.Revision {
			out = append(out, core.Change{Item: it, Skipped: true})
		}
	}
	for key, it := range mi.items {
		if _, ok := fresh[key]; !ok {
			out = append(out, core.Change{Item: it, Removed: true, Skipped: true})
		}
	}
	mi.items, mi.rev, mi.completeAfter = fresh, rev, completeAfter
	mi.log.reset(rev)
	mi.confirm(confirmedAt)
	mi.mu.Unlock()
	slices.SortFunc(out, func(a, b core.Change) int { return cmp.Compare(a.Revision, b.Revision) })
	mi.publish(out)
	return true
}

// Apply applies the events of a watch that started at the replica's revision. Events
// that were applied before are skipped.
func (mi *Replica) Apply(events []core.Change, rev core.Revision, confirmedAt time.Time) {
	mi.publishMu.Lock()
	defer mi.publishMu.Unlock()
	mi.mu.Lock()
	var out []core.Change
	for _, ev := range events {
		// Also logs events that were applied before: a listing may contain keys newer
		// than its revision, and an entry that requests the changes since that revision
		// may lack them.
		if ev.Revision > mi.rev {
			mi.log.add(ev)
		}
		old, ok := mi.items[ev.Key]
		if ok && old.Revision >= ev.Revision || !ok && ev.Removed {
			continue
		}
		if ev.Removed {
			// Subscribers need the removed value.
			ev.Value = old.Value
			delete(mi.items, ev.Key)
		} else {
			mi.items[ev.Key] = ev.Item
		}
		ev.Skipped = ev.Revision <= mi.completeAfter
		out = append(out, ev)
	}
	mi.rev = max(mi.rev, rev)
	mi.confirm(confirmedAt)
	mi.mu.Unlock()
	mi.publish(out)
}

func (mi *Replica) publish(out []core.Change) {
	if len(out) == 0 {
		return
	}
	for _, fn := range mi.subs {
		fn(out)
	}
}

func (mi *Replica) confirm(at time.Time) {
	if at.After(mi.confirmedAt) {
		mi.confirmedAt = at
	}
}

// Revision returns the revision of the replica, or 0 before the first copy.
func (mi *Replica) Revision() core.Revision {
	mi.mu.Lock()
	defer mi.mu.Unlock()
	return mi.rev
}

// Age returns the time since the replica was last confirmed up to date.
func (mi *Replica) Age(now time.Time) time.Duration {
	mi.mu.Lock()
	defer mi.mu.Unlock()
	return now.Sub(mi.confirmedAt)
}

// Since returns the changes after a revision and the revision they lead to, or false if
// some of them were already dropped from the log.
func (mi *Replica) Since(after core.Revision) ([]core.Change, core.Revision, bool) {
	mi.mu.Lock()
	defer mi.mu.Unlock()
	changes, ok := mi.log.since(after)
	return changes, mi.rev, ok
}

// Get returns one key of the replica.
func (mi *Replica) Get(key string) (core.Item, bool) {
	mi.mu.Lock()
	defer mi.mu.Unlock()
	it, ok := mi.items[key]
	return it, ok
}

// Copy returns the keys with a prefix in sorted order, the replica's revision, and the
// time at which the replica was last confirmed up to date.
func (mi *Replica) Copy(prefix string) ([]core.Item, core.Revision, time.Time) {
	mi.mu.Lock()
	defer mi.mu.Unlock()
	var out []core.Item
	for key, it := range mi.items {
		if strings.HasPrefix(key, prefix) {
			out = append(out, it)
		}
	}
	slices.SortFunc(out, func(a, b core.Item) int { return strings.Compare(a.Key, b.Key) })
	return out, mi.rev, mi.confirmedAt
}
