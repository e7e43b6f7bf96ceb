package claim

import "sync/atomic"

// kind is what a change does to its key's claim.
type kind int

const (
	claiming kind = iota
	finishing
	releasing
)

// The states of a claiming change, which its caller and its bucket race to
// move out of pending.
const (
	pending int32 = iota
	told
	abandoned
)

// change is one claim, answer or release on its way into a bucket.
type change struct {
	kind   kind
	req    Request
	answer Answer
	result chan result
	state  atomic.Int32
	// sent tells that it was part of a write whose outcome is unknown. Only
	// the bucket's goroutine uses it.
	sent bool
}

func newChange(ki kind, req Request) *change {
	return &change{kind: ki, req: req, result: make(chan result, 1)}
}

// giveUp reports whether the caller was first; nothing is told to it then.
func (ch *change) giveUp() bool { return ch.state.CompareAndSwap(pending, abandoned) }

func (ch *change) givenUp() bool { return ch.state.Load() == abandoned }

// tell reports whether the bucket was first; the result is then the caller's.
func (ch *change) tell(res result) bool {
	if !ch.state.CompareAndSwap(pending, told) {
		return false
	}
	ch.result <- res
	return true
}
