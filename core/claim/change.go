package claim

import "sync/atomic"

// changeKind is the effect of a change on its key's claim.
type changeKind int

const (
	claiming changeKind = iota
	finishing
	releasing
)

// The states of a claiming change. The caller that waits for it and the goroutine that serves its
// bucket race to move it out of pending.
const (
	pending int32 = iota
	delivered
	abandoned
)

// change is one claim, answer or release that waits to be written to a bucket.
type change struct {
	kind   changeKind
	req    Request
	answer Answer
	result chan result
	state  atomic.Int32
	// maybeWritten reports whether the change was part of a write whose outcome is unknown. Only
	// the bucket's goroutine uses it.
	maybeWritten bool
}

func newChange(ki changeKind, req Request) *change {
	return &change{kind: ki, req: req, result: make(chan result, 1)}
}

// abandon marks the change as abandoned by its caller. It reports false when the result has already
// been delivered; after true, none ever will be.
func (ch *change) abandon() bool { return ch.state.CompareAndSwap(pending, abandoned) }

func (ch *change) isAbandoned() bool { return ch.state.Load() == abandoned }

// deliver sends the result to the caller. It reports false when the caller has abandoned the
// change; the result is then dropped.
func (ch *change) deliver(res result) bool {
	if !ch.state.CompareAndSwap(pending, delivered) {
		return false
	}
	ch.result <- res
	return true
}
