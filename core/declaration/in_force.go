package declaration

import (
	"sync"
	"sync/atomic"
	"time"

	"skylarkstand/core"
)

// InForce holds the configuration that a process uses. It is safe for
// concurrent use.
type InForce struct {
	cur atomic.Pointer[Snapshot]
	// confirmed is when the current generation was last confirmed to be the
	// newest, in Unix nanoseconds; 0 if it never was.
	confirmed atomic.Int64

	mu      sync.Mutex
	changed chan struct{}
	// requested is the newest generation whose body was requested, at
	// requestedAt.
	requested   core.Generation
	requestedAt time.Time
}

// NewInForce returns an InForce without a configuration.
func NewInForce() *InForce { return &InForce{changed: make(chan struct{})} }

// Current returns the current snapshot, or nil before the first generation.
func (inf *InForce) Current() *Snapshot { return inf.cur.Load() }

// Number returns the current generation, or 0 before the first one.
func (inf *InForce) Number() core.Generation {
	if sn := inf.cur.Load(); sn != nil {
		return sn.Number
	}
	return 0
}

// Adopt makes an encoded generation the current one if it is newer, and reports
// whether it did. The error is for a generation that cannot be decoded.
//
// Links and watches deliver generations late, duplicated and out of order.
// Without the comparison a late message would restore a configuration that was
// replaced, and a withdrawn version would serve again.
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

// FetchRetryDelay is the time after which a generation's body that was requested and
// did not arrive is requested again, possibly from another peer.
const FetchRetryDelay = time.Second

// ShouldFetch reports whether the body of a generation should be requested now. If so,
// it records the request.
//
// All peers of a process announce a new generation within milliseconds. If the
// body were requested from each, an agent with 40 links would receive 40 copies
// of a document that may have a megabyte.
func (inf *InForce) ShouldFetch(gen core.Generation, now time.Time) bool {
	inf.mu.Lock()
	defer inf.mu.Unlock()
	if gen <= inf.Number() || gen <= inf.requested && now.Sub(inf.requestedAt) < FetchRetryDelay {
		return false
	}
	inf.requested, inf.requestedAt = gen, now
	return true
}

// Confirm records that the current generation was the newest at a time,
// according to the store or to a peer that had just queried the store. An
// earlier time than the last one is ignored.
func (inf *InForce) Confirm(at time.Time) {
	for {
		old := inf.confirmed.Load()
		if at.UnixNano() <= old || inf.confirmed.CompareAndSwap(old, at.UnixNano()) {
			return
		}
	}
}

// ConfirmedAt returns when the current generation was last confirmed to be the
// newest, or the zero time if it never was.
func (inf *InForce) ConfirmedAt() time.Time {
	if at := inf.confirmed.Load(); at != 0 {
		return time.Unix(0, at)
	}
	return time.Time{}
}

// Fresh reports whether the current generation was confirmed to be the newest
// within a bound before now.
func (inf *InForce) Fresh(now time.Time, bound time.Duration) bool {
	confirmed := inf.ConfirmedAt()
	return !confirmed.IsZero() && now.Sub(confirmed) <= bound
}

// Changed returns a channel that is closed when the next generation is adopted.
func (inf *InForce) Changed() <-chan struct{} {
	inf.mu.Lock()
	defer inf.mu.Unlock()
	return inf.changed
}
