package execute_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/execute"
)

// Several entries saw the same old report and all come to one upstream. What
// cannot be served in time is told so on arrival; were it to wait, its entry
// could no longer go elsewhere, and its caller would hear nothing until its
// deadline.
func TestBoundRefusesEarlyAndServesByPriority(t *testing.T) {
	now := time.Unix(0, 0)
	bo := execute.NewBound(2, 4)
	enter := func(priority int, left time.Duration) (*execute.Place, *core.Failure) {
		pl, _, fl := bo.Enter(now, priority, left)
		return pl, fl
	}
	first, _ := enter(0, 0)
	second, _ := enter(0, 0)
	now = now.Add(time.Second) // An attempt is taken to hold its slot for 1s.

	_, fl := enter(0, 600*time.Millisecond)
	assert.Equal(t, fl.Code, core.CodeOverloaded)
	assert.Equal(t, fl.Ran, core.NotRun)
	assert.Assert(t, fl.RetryAfter > 0)
	low, fl := enter(-1, 2*time.Second)
	assert.Assert(t, fl == nil)
	normal, fl := enter(0, 2*time.Second)
	assert.Assert(t, fl == nil)
	_, fl = enter(-1, 1500*time.Millisecond)
	assert.Assert(t, fl != nil, "behind two others it would wait 1.5s")
	high, fl := enter(1, 1500*time.Millisecond)
	assert.Assert(t, fl == nil, "before the others it waits 0.5s")
	gone, _ := enter(0, 0)
	_, fl = enter(0, 0)
	assert.Equal(t, fl.Code, core.CodeOverloaded, "the queue is full")
	assert.Equal(t, bo.Load(), core.Load{Running: 2, Queued: 4, Slots: 2})

	assert.Assert(t, bo.Cancel(gone))
	assert.Equal(t, bo.Exit(now, first), high)
	assert.Equal(t, bo.Exit(now, second), normal)
	assert.Assert(t, !bo.Cancel(normal), "it has started")
	assert.Equal(t, bo.Exit(now, high), low)
	assert.Assert(t, bo.Exit(now, low) == nil)
}
