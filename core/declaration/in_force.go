package declaration

import (
	"sync"
	"sync/atomic"
	"time"

	"skylarkstand/core"
)

// InForce is the configuration that a process works by. It is safe for
// concurrent use.
type InForce struct {
	cur atomic.Pointer[Snapshot]
	// heard is when the newest generation was last confirmed, in Unix
	// nanoseconds.
	heard atomic.Int64

	mu      sync.Mutex
	changed chan struct{}
	// asked is the newest generation whose body was asked for, and askedAt
	// when.
	asked   core.Generation
	askedAt time.Time
}

// NewInForce returns an InForce without a configuration.
func NewInForce() *InForce { return &InForce{changed: make(chan struct{})} }

// Current returns the snapshot in force, or nil before the first one.
func (inf *InForce) Current() *Snapshot { return inf.cur.Load() }

// Number returns the generation in force, 0 before the first one.
func (inf *InForce) Number() core.Generation {
	if sn := inf.cur.Load(); sn != nil {
		return sn.Number
	}
	return 0
}

// Adopt puts an encoded generation in force if it is newer than the current
// one and reports whether it did.
//
// Links and watches deliver generations late, doubled and out of order. Without
// the comparison a late message would bring back a configuration that was
// replaced: a withdrawn version would serve again.
func (inf *InForce) Adopt(raw []byte) (bool, error) {
	gen, err := Decode(raw)
	if err != nil {
		return false, err
	}
	inf.mu.Lock()
	defer inf.mu.Unlock()
	if gen.Number <= inf.Number() {
		return false, nil
	}
	inf.cur.Store(NewSnapshot(gen, raw))
	close(inf.changed)
	inf.changed = make(chan struct{})
	return true, nil
}

// AskAgain is when a body that was asked for and did not come is asked for
// again, of another peer perhaps.
const AskAgain = time.Second

// Asks reports whether the body of a newer generation should be asked for now,
// and notes that it is.
//
// A process hears of a new generation from all its peers within milliseconds.
// Were each asked, an agent with forty links would get forty copies of a
// document that may have a megabyte.
func (inf *InForce) Asks(gen core.Generation, now time.Time) bool {
	inf.mu.Lock()
	defer inf.mu.Unlock()
	if gen <= inf.Number() || gen <= inf.asked && now.Sub(inf.askedAt) < AskAgain {
		return false
	}
	inf.asked, inf.askedAt = gen, now
	return true
}

// Confirm notes that the generation in force was the newest at a time: the
// store, or a peer that had just asked the store, said so.
func (inf *InForce) Confirm(at time.Time) {
	for {
		old := inf.heard.Load()
		if at.UnixNano() <= old || inf.heard.CompareAndSwap(old, at.UnixNano()) {
			return
		}
	}
}

// Heard returns when the generation in force was last confirmed, or the zero
// time if it never was.
func (inf *InForce) Heard() time.Time {
	if at := inf.heard.Load(); at != 0 {
		return time.Unix(0, at)
	}
	return time.Time{}
}

// Fresh reports whether the generation in force was confirmed within a bound.
func (inf *InForce) Fresh(now time.Time, bound time.Duration) bool {
	heard := inf.Heard()
	return !heard.IsZero() && now.Sub(heard) <= bound
}

// Changed returns a channel that is closed at the next adoption.
func (inf *InForce) Changed() <-chan struct{} {
	inf.mu.Lock()
	defer inf.mu.Unlock()
	return inf.changed
}
