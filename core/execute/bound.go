package execute

import (
	"context"
	"slices"
	"sync"
	"time"

	"skylarkstand/core"
)

const (
	// firstHold is taken for the time an attempt holds a slot before the
	// first one has ended.
	firstHold = time.Second
	// holdPart is the weight of the newest attempt in the learned hold time.
	holdPart = 8
	// minRetry is the shortest Retry-After with a refusal: below it the next
	// try meets the same queue.
	minRetry = time.Second
)

// Bound is the agent's own queue before its upstream: so many slots, so many
// places to wait, the highest priority first. It is pure; time comes in as an
// argument. It belongs to one goroutine at a time.
//
// It is made for several entries that all saw the same old report of a free
// upstream and come at once. Only the agent sees them together, so it has the
// last word, and has it early: an attempt whose deadline would pass in the
// queue is refused on arrival, while its entry still has time to go elsewhere.
type Bound struct {
	slots, limit int
	running      int
	hold         time.Duration
	waiting      []*Place
}

// Place is an attempt's place in a Bound.
type Place struct {
	priority int
	started  time.Time
	ready    chan struct{}
}

// NewBound returns a bound of so many slots and waiting places.
func NewBound(slots, limit int) *Bound {
	return &Bound{slots: max(slots, 1), limit: limit, hold: firstHold}
}

// Enter takes a slot or a place in the queue, or returns the refusal. Left is
// the time left to the caller; 0 is no deadline. Started is true when the
// attempt has its slot.
func (bo *Bound) Enter(now time.Time, priority int, left time.Duration) (pl *Place, started bool, fl *core.Failure) {
	pl = &Place{priority: priority, ready: make(chan struct{})}
	if bo.running < bo.slots {
		bo.start(now, pl)
		return pl, true, nil
	}
	at := bo.position(priority)
	wait := bo.wait(at)
	if len(bo.waiting) >= bo.limit {
		return nil, false, core.Refuse(core.CodeOverloaded, max(wait/2, minRetry), "the queue of the upstream is full")
	}
	// Half of the usual time is the least that the attempt itself will take;
	// the usual time would turn short work away from an upstream that mostly
	// has long work.
	if need := wait + bo.hold/2; left > 0 && need > left {
		return nil, false, core.Refuse(core.CodeOverloaded, max(need-left, minRetry), "the attempt would wait %s here, which its deadline does not allow", wait)
	}
	bo.waiting = slices.Insert(bo.waiting, at, pl)
	return pl, false, nil
}

// position is behind all of the same or a higher priority.
func (bo *Bound) position(priority int) int {
	for ix, pl := range bo.waiting {
		if pl.priority < priority {
			return ix
		}
	}
	return len(bo.waiting)
}

// wait is the time until the attempt at a position starts: the slots drain one
// attempt each hold time.
func (bo *Bound) wait(at int) time.Duration {
	return time.Duration(at+1) * bo.hold / time.Duration(bo.slots)
}

func (bo *Bound) start(now time.Time, pl *Place) {
	bo.running++
	pl.started = now
	close(pl.ready)
}

// Exit frees a slot and returns the attempt that starts in it, or nil.
func (bo *Bound) Exit(now time.Time, pl *Place) *Place {
	bo.hold += (now.Sub(pl.started) - bo.hold) / holdPart
	bo.running--
	if len(bo.waiting) == 0 {
		return nil
	}
	next := bo.waiting[0]
	bo.waiting = slices.Delete(bo.waiting, 0, 1)
	bo.start(now, next)
	return next
}

// Cancel takes a waiting attempt out. It returns false when the attempt has
// started already.
func (bo *Bound) Cancel(pl *Place) bool {
	ix := slices.Index(bo.waiting, pl)
	if ix < 0 {
		return false
	}
	bo.waiting = slices.Delete(bo.waiting, ix, ix+1)
	return true
}

// Load returns what runs and waits.
func (bo *Bound) Load() core.Load {
	return core.Load{Running: bo.running, Queued: len(bo.waiting), Slots: bo.slots}
}

// bound lets the attempts' goroutines share a Bound.
type bound struct {
	mu sync.Mutex
	bo *Bound
}

// enter waits for a slot and returns the function that frees it. That function
// may be called more than once.
func (bd *bound) enter(ctx context.Context, at *core.Attempt) (exit func(), err error) {
	bd.mu.Lock()
	pl, _, fl := bd.bo.Enter(time.Now(), at.Priority, at.Deadline)
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
		bd.bo.Exit(time.Now(), pl)
	}), nil
}

// full reports whether an attempt would be refused for want of a place now.
func (bd *bound) full() bool {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	return bd.bo.running >= bd.bo.slots && len(bd.bo.waiting) >= bd.bo.limit
}

func (bd *bound) cancel(pl *Place) bool {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	return bd.bo.Cancel(pl)
}

func (bd *bound) load() core.Load {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	return bd.bo.Load()
}
