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
func (bo *SlotQueue) Acquire(now time.Time, priority int, left time.Duration) (pl *Ticket, started bool, fl *core.Failure) {
	pl = &Ticket{priority: priority, ready: make(chan struct{})}
	if bo.running < bo.slots {
		bo.start(now, pl)
		return pl, true, nil
	}
	at := bo.position(priority)
	wait := bo.wait(at)
	if len(bo.waiting) >= bo.limit {
		return nil, false, core.Refuse(core.CodeOverloaded, max(wait/2, minRetryAfter), "the queue of the upstream is full")
	}
	// The attempt itself is assumed to take at least half of the mean hold time. With the whole
	// mean, short work would be refused by an upstream whose work is mostly long.
	if need := wait + bo.meanHold/2; left > 0 && need > left {
		return nil, false, core.Refuse(core.CodeOverloaded, max(need-left, minRetryAfter), "the attempt would wait %s here, which its deadline does not allow", wait)
	}
	bo.waiting = slices.Insert(bo.waiting, at, pl)
	return pl, false, nil
}

// position returns the queue position of a new attempt: after all attempts of the same or a higher
// priority.
func (bo *SlotQueue) position(priority int) int {
	for ix, pl := range bo.waiting {
		if pl.priority < priority {
			return ix
		}
	}
	return len(bo.waiting)
}

// wait returns the expected time until the attempt at a queue position starts: each slot starts a
// new attempt once per hold time.
func (bo *SlotQueue) wait(at int) time.Duration {
	return time.Duration(at+1) * bo.meanHold / time.Duration(bo.slots)
}

func (bo *SlotQueue) start(now time.Time, pl *Ticket) {
	bo.running++
	pl.started = now
	close(pl.ready)
}

// Release frees a slot and returns the waiting attempt that starts in it, or nil.
func (bo *SlotQueue) Release(now time.Time, pl *Ticket) *Ticket {
	bo.meanHold += (now.Sub(pl.started) - bo.meanHold) / holdDivisor
	bo.running--
	if len(bo.waiting) == 0 {
		return nil
	}
	next := bo.waiting[0]
	bo.waiting = slices.Delete(bo.waiting, 0, 1)
	bo.start(now, next)
	return next
}

// Cancel removes a waiting attempt. It returns false if the attempt has already started.
func (bo *SlotQueue) Cancel(pl *Ticket) bool {
	ix := slices.Index(bo.waiting, pl)
	if ix < 0 {
		return false
	}
	bo.waiting = slices.Delete(bo.waiting, ix, ix+1)
	return true
}

// Load returns the numbers of running and waiting attempts.
func (bo *SlotQueue) Load() core.Load {
	return core.Load{Running: bo.running, Queued: len(bo.waiting), Slots: bo.slots}
}

// sharedSlotQueue makes a SlotQueue safe for concurrent use.
type sharedSlotQueue struct {
	mu sync.Mutex
	bo *SlotQueue
}

// acquire waits for a slot and returns the function that frees it, which may be called more than
// once.
func (bd *sharedSlotQueue) acquire(ctx context.Context, at *core.Attempt) (release func(), err error) {
	bd.mu.Lock()
	pl, _, fl := bd.bo.Acquire(time.Now(), at.Priority, at.Deadline)
	bd.mu.Unlock()
	if fl != nil {
		return nil, fl
	}
	select {
	case <-pl.ready:
	case <-ctx.Done():
		if bd.cancel(pl) {
			return nil, core.Refuse(core.CodeCallerGone, 0, "the caller gave up while the request waited")
		}
	}
	return sync.OnceFunc(func() {
		bd.mu.Lock()
		defer bd.mu.Unlock()
		bd.bo.Release(time.Now(), pl)
	}), nil
}

// full reports whether a new attempt would be refused because the queue is full.
func (bd *sharedSlotQueue) full() bool {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	return bd.bo.running >= bd.bo.slots && len(bd.bo.waiting) >= bd.bo.limit
}

func (bd *sharedSlotQueue) cancel(pl *Ticket) bool {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	return bd.bo.Cancel(pl)
}

func (bd *sharedSlotQueue) load() core.Load {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	return bd.bo.Load()
}
