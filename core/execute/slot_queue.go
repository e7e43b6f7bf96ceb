package execute

import (
	"context"
	"slices"
	"sync"
	"time"

	"skylarkstand/core"
)

const (
	// defaultHold is the assumed time for which an attempt holds a slot until the first attempt has
	// ended.
	defaultHold = time.Second
	// holdDivisor is the inverse of the newest attempt's weight in the moving average of the hold
	// time.
	holdDivisor = 8
	// minRetryAfter is the shortest Retry-After of a refusal: a retry before it would meet the same
	// queue.
	minRetryAfter = time.Second
)

// SlotQueue is the agent's queue in front of its upstream: a limited number of slots and of waiting
// attempts, ordered by priority. It performs no I/O and takes the time as an argument. It must
// not be used by several goroutines at the same time.
//
// Several entries may act on the same outdated report of a free upstream and send attempts at
// once. Only the agent receives all of them, so it decides, and it decides early: an attempt whose
// deadline would pass in the queue is refused on arrival, while its entry still has time to
// try another upstream.
type SlotQueue struct {
	slots, limit int
	running      int
	meanHold     time.Duration
	waiting      []*Ticket
}

// Ticket is an attempt that runs or waits in a SlotQueue.
type Ticket struct {
	priority int
	started  time.Time
	ready    chan struct{}
}

// NewSlotQueue returns a SlotQueue with the given numbers of slots and of waiting attempts.
func NewSlotQueue(slots, limit int) *SlotQueue {
	return &SlotQueue{slots: max(slots, 1), limit: limit, meanHold: defaultHold}
}

// Acquire takes a slot or a place in the queue, or returns a refusal. Left is the time until the
// caller's deadline, 0 if there is none. Started is true if the attempt has got its slot.
func (sq *SlotQueue) Acquire(now time.Time, priority int, left time.Duration) (ti *Ticket, started bool, fl *core.Failure) {
	ti = &Ticket{priority: priority, ready: make(chan struct{})}
	if sq.running < sq.slots {
		sq.start(now, ti)
		return ti, true, nil
	}
	at := sq.position(priority)
	wait := sq.wait(at)
	if len(sq.waiting) >= sq.limit {
		return nil, false, core.Refuse(core.CodeOverloaded, max(wait/2, minRetryAfter), "the queue of the upstream is full")
	}
	// The attempt itself is assumed to take at least half of the mean hold time. With the whole
	// mean, short work would be refused by an upstream whose work is mostly long.
	if need := wait + sq.meanHold/2; left > 0 && need > left {
		return nil, false, core.Refuse(core.CodeOverloaded, max(need-left, minRetryAfter), "the attempt would wait %s here, which its deadline does not allow", wait)
	}
	sq.waiting = slices.Insert(sq.waiting, at, ti)
	return ti, false, nil
}

// position returns the queue position of a new attempt: after all attempts of the same or a higher
// priority.
func (sq *SlotQueue) position(priority int) int {
	for ix, ti := range sq.waiting {
		if ti.priority < priority {
			return ix
		}
	}
	return len(sq.waiting)
}

// wait returns the expected time until the attempt at a queue position starts: each slot starts a
// new attempt once per hold time.
func (sq *SlotQueue) wait(at int) time.Duration {
	return time.Duration(at+1) * sq.meanHold / time.Duration(sq.slots)
}

func (sq *SlotQueue) start(now time.Time, ti *Ticket) {
	sq.running++
	ti.started = now
	close(ti.ready)
}

// Release frees a slot and returns the waiting attempt that starts in it, or nil.
func (sq *SlotQueue) Release(now time.Time, ti *Ticket) *Ticket {
	sq.meanHold += (now.Sub(ti.started) - sq.meanHold) / holdDivisor
	sq.running--
	if len(sq.waiting) == 0 {
		return nil
	}
	next := sq.waiting[0]
	sq.waiting = slices.Delete(sq.waiting, 0, 1)
	sq.start(now, next)
	return next
}

// Cancel removes a waiting attempt. It returns false if the attempt has already started.
func (sq *SlotQueue) Cancel(ti *Ticket) bool {
	ix := slices.Index(sq.waiting, ti)
	if ix < 0 {
		return false
	}
	sq.waiting = slices.Delete(sq.waiting, ix, ix+1)
	return true
}

// Load returns the numbers of running and waiting attempts.
func (sq *SlotQueue) Load() core.Load {
	return core.Load{Running: sq.running, Queued: len(sq.waiting), Slots: sq.slots}
}

// sharedSlotQueue makes a SlotQueue safe for concurrent use.
type sharedSlotQueue struct {
	mu sync.Mutex
	sq *SlotQueue
}

// acquire waits for a slot and returns the function that frees it, which may be called more than
// once.
func (ss *sharedSlotQueue) acquire(ctx context.Context, at *core.Attempt) (release func(), err error) {
	ss.mu.Lock()
	ti, _, fl := ss.sq.Acquire(time.Now(), at.Priority, at.Deadline)
	ss.mu.Unlock()
	if fl != nil {
		return nil, fl
	}
	select {
	case <-ti.ready:
	case <-ctx.Done():
		if ss.cancel(ti) {
			return nil, core.Refuse(core.CodeCallerGone, 0, "the caller gave up while the request waited")
		}
	}
	return sync.OnceFunc(func() {
		ss.mu.Lock()
		defer ss.mu.Unlock()
		ss.sq.Release(time.Now(), ti)
	}), nil
}

// full reports whether a new attempt would be refused because the queue is full.
func (ss *sharedSlotQueue) full() bool {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	return ss.sq.running >= ss.sq.slots && len(ss.sq.waiting) >= ss.sq.limit
}

func (ss *sharedSlotQueue) cancel(ti *Ticket) bool {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	return ss.sq.Cancel(ti)
}

func (ss *sharedSlotQueue) load() core.Load {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	return ss.sq.Load()
}
