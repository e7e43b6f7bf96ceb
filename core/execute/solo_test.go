package execute

import (
	"context"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
)

// A suspect runs while others do, and crashes the engine: the others would go
// down with it and be suspected in turn. It waits for an empty upstream, and
// nothing new starts beside it.
func TestSoloRunsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ga gate
		ctx, ho := t.Context(), core.Host{ID: "desk-1"}
		assert.Assert(t, ga.enter(ctx, ho, false) == nil)
		entered := make(chan *core.Failure)
		go func() { entered <- ga.enter(ctx, ho, true) }()
		synctest.Wait()
		assert.Assert(t, ga.enter(ctx, ho, false) != nil)
		ga.exit(false)
		assert.Assert(t, <-entered == nil)
		assert.Assert(t, ga.enter(ctx, ho, false) != nil)
		ga.exit(true)
		assert.Assert(t, ga.enter(ctx, ho, false) == nil)
	})
}

// A long answer keeps the upstream busy for longer than a suspect may wait. The
// suspect is refused, and the upstream takes other work again.
func TestSoloGivesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ga gate
		ho := core.Host{ID: "desk-1"}
		assert.Assert(t, ga.enter(t.Context(), ho, false) == nil)
		assert.Assert(t, ga.enter(context.Background(), ho, true) != nil)
		assert.Assert(t, ga.enter(t.Context(), ho, false) == nil)
	})
}
