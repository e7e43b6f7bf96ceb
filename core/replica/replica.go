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
// An upstream's key may also be removed because its lease expired while the store was down. Such a
// doubtful removal is published at once, and once more as a certain one when it is known that the
// upstream has not registered again in time, see [Replica.Settle].
//
// # Usage
//
//	re := replica.New()
//	re.Subscribe(func(ch []core.Change) { … })
//	re.Replace(items, rev, time.Now())  // after a listing
//	re.Apply(events, rev, time.Now())   // after a watch
//	re.Settle(rev)                      // once no removal up to rev is doubtful any more
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
	// held are the doubtful removals by key.
	held map[string]heldRemoval
	// unsettledUntil is the revision up to which removals may be doubtful, also those of keys that this
	// replica never had; 0 if none is.
	unsettledUntil core.Revision
	// first is closed by the first copy.
	first chan struct{}
	// publishMu serializes notifications without blocking readers of the replica.
	publishMu sync.Mutex
	subs      []func([]core.Change)
}

// heldRemoval is a doubtful removal that was received with a revision.
type heldRemoval struct {
	change core.Change
	with   core.Revision
}

// New returns an empty replica.
func New() *Replica {
	return &Replica{items: map[string]core.Item{}, held: map[string]heldRemoval{}, first: make(chan struct{})}
}

// First returns a channel that is closed once the replica has its first copy.
func (re *Replica) First() <-chan struct{} { return re.first }

// Subscribe registers a callback for changes. It must be called before the first change.
func (re *Replica) Subscribe(fn func([]core.Change)) { re.subs = append(re.subs, fn) }

// Replace installs a full copy that was up to date at confirmedAt. It returns false and
// keeps the current copy if the new one has a lower revision.
func (re *Replica) Replace(items []core.Item, rev core.Revision, confirmedAt time.Time) bool {
	return re.replace(items, rev, confirmedAt, true)
}

// ReplaceDoubtfully is like [Replica.Replace], for a copy from which keys may be missing because of
// an outage of the store.
func (re *Replica) ReplaceDoubtfully(items []core.Item, rev core.Revision, confirmedAt time.Time) bool {
	return re.replace(items, rev, confirmedAt, false)
}

func (re *Replica) replace(items []core.Item, rev core.Revision, confirmedAt time.Time, certain bool) bool {
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
		delete(re.held, it.Key)
		completeAfter = max(completeAfter, it.Revision)
		if old, ok := re.items[it.Key]; !ok || old.Revision < it.Revision {
			out = append(out, core.Change{Item: it, Skipped: true})
		}
	}
	for key, it := range re.items {
		if _, ok := fresh[key]; !ok {
			ch := core.Change{Item: it, Removed: true, Skipped: true, Certain: certain}
			out = append(out, ch)
			re.hold(ch, rev)
		}
	}
	if !certain {
		re.unsettledUntil = max(re.unsettledUntil, rev)
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
		if ev.Removed && !ev.Certain {
			re.unsettledUntil = max(re.unsettledUntil, ev.Revision)
		}
		old, ok := re.items[ev.Key]
		if ok && old.Revision >= ev.Revision || !ok && ev.Removed {
			continue
		}
		ev.Skipped = ev.Revision <= re.completeAfter
		if ev.Removed {
			// Subscribers need the removed value.
			ev.Value = old.Value
			delete(re.items, ev.Key)
			re.hold(ev, ev.Revision)
		} else {
			re.items[ev.Key] = ev.Item
			delete(re.held, ev.Key)
		}
		out = append(out, ev)
	}
	re.rev = max(re.rev, rev)
	re.confirm(confirmedAt)
	re.mu.Unlock()
	re.publish(out)
}

// hold keeps a removal that was received with a revision until it is settled, unless it is certain.
func (re *Replica) hold(ch core.Change, with core.Revision) {
	if !ch.Certain {
		re.held[ch.Key] = heldRemoval{ch, with}
	}
}

// Settle states that no removal up to a revision is doubtful any more. Keys that are still missing are
// published as certainly removed.
func (re *Replica) Settle(rev core.Revision) {
	re.publishMu.Lock()
	defer re.publishMu.Unlock()
	re.mu.Lock()
	var out []core.Change
	for key, hr := range re.held {
		if hr.with > rev {
			continue
		}
		delete(re.held, key)
		hr.change.Certain, hr.change.Settled = true, true
		out = append(out, hr.change)
	}
	if re.unsettledUntil <= rev {
		re.unsettledUntil = 0
	}
	re.mu.Unlock()
	slices.SortFunc(out, func(a, b core.Change) int { return cmp.Compare(a.Revision, b.Revision) })
	re.publish(out)
}

// IsSettled reports whether no removal is doubtful.
func (re *Replica) IsSettled() bool {
	re.mu.Lock()
	defer re.mu.Unlock()
	return re.unsettledUntil == 0
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
