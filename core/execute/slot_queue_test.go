package execute_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/execute"
)

// Several entries act on the same outdated report and send attempts to one upstream. An attempt
// that cannot be served in time must be refused on arrival: if it waited, its entry would have no
// time left to try another upstream, and its caller would get no answer before its deadline.
func TestSlotQueueRefusesOnArrivalAndOrdersByPriority(t *testing.T) {
	now := time.Unix(0, 0)
	sq := execute.NewSlotQueue(2, 4)
	acquire := func(priority int, left time.Duration) (*execute.Ticket, *core.Failure) {
		ti, _, fl := sq.Acquire(now, priority, left)
		return ti, fl
	}
	first, _ := acquire(0, 0)
	second, _ := acquire(0, 0)
	now = now.Add(time.Second) // The assumed hold time is 1s.

	_, fl := acquire(0, 600*time.Millisecond)
	assert.Equal(t, fl.Code, core.CodeOverloaded)
	assert.Equal(t, fl.Ran, core.NotRun)
	assert.Assert(t, fl.RetryAfter > 0)
	low, fl := acquire(-1, 2*time.Second)
	assert.Assert(t, fl == nil)
	normal, fl := acquire(0, 2*time.Second)
	assert.Assert(t, fl == nil)
	_, fl = acquire(-1, 1500*time.Millisecond)
	assert.Assert(t, fl != nil, "behind two others, the attempt would wait 1.5s")
	high, fl := acquire(1, 1500*time.Millisecond)
	assert.Assert(t, fl == nil, "ahead of the others, the attempt waits 0.5s")
	canceled, _ := acquire(0, 0)
	_, fl = acquire(0, 0)
	assert.Equal(t, fl.Code, core.CodeOverloaded, "the queue is full")
	assert.Equal(t, sq.Load(), core.Load{Running: 2, Queued: 4, Slots: 2})

	assert.Assert(t, sq.Cancel(canceled))
	assert.Equal(t, sq.Release(now, first), high)
	assert.Equal(t, sq.Release(now, second), normal)
	assert.Assert(t, !sq.Cancel(normal), "an attempt that has started cannot be canceled")
	assert.Equal(t, sq.Release(now, high), low)
	assert.Assert(t, sq.Release(now, low) == nil)
}
