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
//	re := replica.New()
//	re.Subscribe(func(ch []core.Change) { … })
//	re.Replace(items, rev, time.Now())  // after a listing
//	re.Apply(events, rev, time.Now())   // after a watch
//	age := re.Age(time.Now())           // since the replica was last confirmed up to date
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
	// first is closed by the first copy.
	first chan struct{}
	// publishMu serializes notifications without blocking readers of the replica.
	publishMu sync.Mutex
	subs      []func([]core.Change)
}

// New returns an empty replica.
func New() *Replica { return &Replica{items: map[string]core.Item{}, first: make(chan struct{})} }

// First returns a channel that is closed once the replica has its first copy.
func (re *Replica) First() <-chan struct{} { return re.first }

// Subscribe registers a callback for changes. It must be called before the first change.
func (re *Replica) Subscribe(fn func([]core.Change)) { re.subs = append(re.subs, fn) }

// Replace installs a full copy that was up to date at confirmedAt. It returns false and
// keeps the current copy if the new one has a lower revision.
func (re *Replica) Replace(items []core.Item, rev core.Revision, confirmedAt time.Time) bool {
	re.publishMu.Lock()
	defer re.publishMu.Unlock()
	re.mu.Lock()
	if rev < re.rev {
		re.mu.Unlock()
		return false
	}
	fresh := make(map[string]core.Item, len(items))
	var out []core.Change
	completeAfter := rev
	for _, it := range items {
		fresh[it.Key] = it
		completeAfter = max(completeAfter, it.Revision)
		if old, ok := re.items[it.Key]; !ok || old.Revision < it.Revision {
			out = append(out, core.Change{Item: it, Skipped: true})
		}
	}
	for key, it := range re.items {
		if _, ok := fresh[key]; !ok {
			out = append(out, core.Change{Item: it, Removed: true, Skipped: true})
		}
	}
	if re.rev == 0 && rev > 0 {
		close(re.first)
	}
	re.items, re.rev, re.completeAfter = fresh, rev, completeAfter
	re.log.reset(rev)
	re.confirm(confirmedAt)
	re.mu.Unlock()
	slices.SortFunc(out, func(a, b core.Change) int { return cmp.Compare(a.Revision, b.Revision) })
	re.publish(out)
	return true
}

// Apply applies the events of a watch that started at the replica's revision. Events
// that were applied before are skipped.
func (re *Replica) Apply(events []core.Change, rev core.Revision, confirmedAt time.Time) {
	re.publishMu.Lock()
	defer re.publishMu.Unlock()
	re.mu.Lock()
	var out []core.Change
	for _, ev := range events {
		// Also logs events that were applied before: a listing may contain keys newer
		// than its revision, and an entry that requests the changes since that revision
		// may lack them.
		if ev.Revision > re.rev {
			re.log.add(ev)
		}
		old, ok := re.items[ev.Key]
		if ok && old.Revision >= ev.Revision || !ok && ev.Removed {
			continue
		}
		if ev.Removed {
			// Subscribers need the removed value.
			ev.Value = old.Value
			delete(re.items, ev.Key)
		} else {
			re.items[ev.Key] = ev.Item
		}
		ev.Skipped = ev.Revision <= re.completeAfter
		out = append(out, ev)
	}
	re.rev = max(re.rev, rev)
	re.confirm(confirmedAt)
	re.mu.Unlock()
	re.publish(out)
}

func (re *Replica) publish(out []core.Change) {
	if len(out) == 0 {
		return
	}
	for _, fn := range re.subs {
		fn(out)
	}
}

func (re *Replica) confirm(at time.Time) {
	if at.After(re.confirmedAt) {
		re.confirmedAt = at
	}
}

// Revision returns the revision of the replica, or 0 before the first copy.
func (re *Replica) Revision() core.Revision {
	re.mu.Lock()
	defer re.mu.Unlock()
	return re.rev
}

// Age returns the time since the replica was last confirmed up to date.
func (re *Replica) Age(now time.Time) time.Duration {
	re.mu.Lock()
	defer re.mu.Unlock()
	return now.Sub(re.confirmedAt)
}

// Since returns the changes after a revision and the revision they lead to, or false if
// some of them were already dropped from the log.
func (re *Replica) Since(after core.Revision) ([]core.Change, core.Revision, bool) {
	re.mu.Lock()
	defer re.mu.Unlock()
	changes, ok := re.log.since(after)
	return changes, re.rev, ok
}

// Get returns one key of the replica.
func (re *Replica) Get(key string) (core.Item, bool) {
	re.mu.Lock()
	defer re.mu.Unlock()
	it, ok := re.items[key]
	return it, ok
}

// Copy returns the keys with a prefix in sorted order, the replica's revision, and the
// time at which the replica was last confirmed up to date.
func (re *Replica) Copy(prefix string) ([]core.Item, core.Revision, time.Time) {
	re.mu.Lock()
	defer re.mu.Unlock()
	var out []core.Item
	for key, it := range re.items {
		if strings.HasPrefix(key, prefix) {
			out = append(out, it)
		}
	}
	slices.SortFunc(out, func(a, b core.Item) int { return strings.Compare(a.Key, b.Key) })
	return out, re.rev, re.confirmedAt
}
