package execute

import (
	"context"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
)

// If a suspect ran beside other attempts and crashed the engine, the others would fail and become
// suspects too. It must wait until the upstream is idle, and nothing may start while it runs.
func TestExclusiveAttemptRunsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ga exclusiveGate
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

// A long answer keeps the upstream busy for longer than a suspect may wait. The suspect must be
// refused, and the upstream must accept other work again.
func TestExclusiveAttemptIsRefusedWhileUpstreamStaysBusy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ga exclusiveGate
		ho := core.Host{ID: "desk-1"}
		assert.Assert(t, ga.enter(t.Context(), ho, false) == nil)
		assert.Assert(t, ga.enter(context.Background(), ho, true) != nil)
		assert.Assert(t, ga.enter(t.Context(), ho, false) == nil)
	})
}
