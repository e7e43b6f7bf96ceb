package forward

import "sync/atomic"

const (
	// freeBuffer is the number of bytes that each answer may hold, and defaultBuffers the number that all answers
	// may hold beyond that; see [AnswerBuffers].
	freeBuffer     = 16 << 10
	defaultBuffers = 32 << 20
)

// AnswerBuffers bounds the memory, in bytes, for parts of answers that are not passed on yet. Beyond it, answers are
// passed on sooner and streams with long events are broken off.
func AnswerBuffers(size int64) Option { return func(fw *Forwarder) { fw.buffers.left.Store(size) } }

// bufferBudget is the memory for parts of answers in the whole process. It is safe for concurrent use.
type bufferBudget struct{ left atomic.Int64 }

func (bb *bufferBudget) take(size int) bool {
	if bb.left.Add(-int64(size)) >= 0 {
		return true
	}
	bb.left.Add(int64(size))
	return false
}

// heldBuffer is what one answer holds of the budget.
type heldBuffer struct {
	budget *bufferBudget
	size   int
}

// grow reports whether the answer may hold a buffer of a size, and takes what that needs.
func (hb *heldBuffer) grow(size int) bool {
	more := size - freeBuffer - hb.size
	if more <= 0 {
		return true
	}
	if !hb.budget.take(more) {
		return false
	}
	hb.size += more
	return true
}

func (hb *heldBuffer) release() {
	hb.budget.left.Add(int64(hb.size))
	hb.size = 0
}
