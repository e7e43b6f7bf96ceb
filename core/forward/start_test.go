package forward_test

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
)

// All entries were lost, and their callers come back to one that has just
// started. Its configuration is a few round trips away. Were they refused for
// want of it, most would have used up their only retry and get no answer at all.
func TestCallersOfAnEntryThatStarts(t *testing.T) {
	play(t, func(t *testing.T) {
		wo := newUnconfiguredWorld(t, answers(http.StatusOK, "done"))
		time.AfterFunc(160*time.Millisecond, func() { wo.inf.Adopt(wo.tb) })
		began := time.Now()
		status, text, err := wo.ask(t.Context(), "/claim/1")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, text, "done")
		assert.Assert(t, time.Since(began) < 200*time.Millisecond)
	})
}

// The store and the other entries are away when an entry starts. Its callers
// must hear within a second that their requests did not run and when to come
// back, and those who come later at once: nothing better can be hoped for.
func TestEntryThatGetsNoConfiguration(t *testing.T) {
	play(t, func(t *testing.T) {
		wo := newUnconfiguredWorld(t, answers(http.StatusOK, "done"))
		for _, limit := range []time.Duration{time.Second, time.Millisecond} {
			began := time.Now()
			_, _, err := wo.ask(t.Context(), "/claim/1")
			var fl *core.Failure
			assert.Assert(t, errors.As(err, &fl), "%v", err)
			assert.Equal(t, fl.Code, core.CodeNoConfig)
			assert.Equal(t, fl.Ran, core.NotRun)
			assert.Assert(t, fl.RetryAfter > 0)
			assert.Assert(t, time.Since(began) < limit, "after %s", time.Since(began))
		}
	})
}
