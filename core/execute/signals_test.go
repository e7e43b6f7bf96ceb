package execute_test

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
)

// Guards against an agent that exceeds the rate limit of its upstream, with at-most-once operations
// or others.
func TestAgentKeepsToTheRateLimit(t *testing.T) {
	for _, operation := range []core.OperationID{"survey", "lookup"} {
		t.Run(string(operation), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := newFixture(t)
				limit := core.Rate(1)
				fx.bo.signals.RateLimit = &limit
				var sent []time.Time
				for n := range 400 {
					before := fx.bo.runs
					at := &core.Attempt{
						ID: core.AttemptID(core.NewID()), Workspace: "school", Service: "booking", Operation: operation,
						IdempotencyKey: fmt.Sprint("k", n), Generation: 1, Body: []byte("{}"),
					}
					ans, err := fx.ex.Run(t.Context(), at)
					if err == nil {
						ans.Close()
					}
					if fx.bo.runs > before {
						sent = append(sent, time.Now())
						continue
					}
					var fl *core.Failure
					assert.Assert(t, errors.As(err, &fl))
					assert.Equal(t, fl.Ran, core.NotRun)
					assert.Equal(t, fl.Code, core.CodeOverloaded)
					assert.Assert(t, fl.RetryAfter > 0)
					time.Sleep(50 * time.Millisecond)
				}
				assert.Assert(t, len(sent) >= 15, "%d requests in 20 s", len(sent))
				for i := range sent {
					if last := i + 11; last < len(sent) {
						assert.Assert(t, sent[last].Sub(sent[i]) > 4*time.Second, "12 requests in %s", sent[last].Sub(sent[i]))
					}
				}
			})
		})
	}
}

// Guards against an agent that sends requests before its upstream's Retry-After, with at-most-once
// operations or others.
func TestAgentKeepsToTheRetryAfter(t *testing.T) {
	const retryAfter = 3 * time.Second
	for _, operation := range []core.OperationID{"survey", "lookup"} {
		t.Run(string(operation), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := newFixture(t)
				fx.bo.signals.RetryAfter = retryAfter
				fx.bo.err = &core.Failure{Code: core.CodeUpstream, Ran: core.RanFailed, Message: "refused"}
				var sent []time.Time
				for n := range 200 {
					before := fx.bo.runs
					at := &core.Attempt{
						ID: core.AttemptID(core.NewID()), Workspace: "school", Service: "booking", Operation: operation,
						IdempotencyKey: fmt.Sprint("k", n), Generation: 1, Body: []byte("{}"),
					}
					began := time.Now()
					_, err := fx.ex.Run(t.Context(), at)
					var fl *core.Failure
					assert.Assert(t, errors.As(err, &fl))
					if fx.bo.runs > before {
						sent = append(sent, time.Now())
						continue
					}
					assert.Equal(t, fl.Ran, core.NotRun)
					assert.Equal(t, fl.Code, core.CodeOverloaded)
					last := sent[len(sent)-1]
					assert.Assert(t, fl.RetryAfter >= retryAfter-time.Since(last) && fl.RetryAfter <= max(retryAfter-began.Sub(last), time.Second), "%s", fl.RetryAfter)
					time.Sleep(50 * time.Millisecond)
				}
				assert.Assert(t, len(sent) >= 3)
				for i, at := range sent[1:] {
					assert.Assert(t, at.Sub(sent[i]) >= retryAfter, "%s", at.Sub(sent[i]))
				}
			})
		})
	}
}

// Guards against new work for a draining upstream, and against an upstream that gets none after it
// has restarted.
func TestAgentOfADrainingUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t)
		keys := 0
		call := func() result {
			keys++
			return fx.call(t.Context(), fmt.Sprint("k", keys))
		}
		fx.bo.signals.Draining = true
		assert.Equal(t, call().text, "booked")
		assert.Assert(t, fx.ex.Draining(), "the agent reports it to entries")
		for range 29 {
			assert.Equal(t, call(), result{core.NotRun, string(core.CodeLeaving)})
			time.Sleep(time.Second)
		}
		time.Sleep(time.Second)
		assert.Equal(t, call().text, "booked", "one trial; the upstream is still draining")
		assert.Equal(t, call(), result{core.NotRun, string(core.CodeLeaving)})
		assert.Equal(t, fx.bo.runs, 2)
		fx.bo.signals.Draining, fx.bo.down = false, errors.New("connection refused")
		assert.Assert(t, fx.ex.Probe() != nil)
		assert.Assert(t, !fx.ex.Draining())
		assert.Equal(t, call().text, "booked")
	})
}

// Guards against a rate limit that outlives its upstream.
func TestRestartEndsTheRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t)
		limit := core.Rate(0)
		fx.bo.signals.RateLimit = &limit
		assert.Equal(t, fx.call(t.Context(), "k1").text, "booked")
		assert.Equal(t, fx.call(t.Context(), "k2"), result{core.NotRun, string(core.CodeOverloaded)})
		fx.bo.signals, fx.bo.down = core.Signals{}, errors.New("connection refused")
		assert.Assert(t, fx.ex.Probe() != nil)
		assert.Equal(t, fx.call(t.Context(), "k2").text, "booked")
	})
}

// Guards against a cooldown that outlives its upstream.
func TestRestartEndsTheCooldown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t)
		fx.bo.signals.RetryAfter = time.Hour
		assert.Equal(t, fx.call(t.Context(), "k1").text, "booked")
		assert.Equal(t, fx.call(t.Context(), "k2"), result{core.NotRun, string(core.CodeOverloaded)})
		fx.bo.signals, fx.bo.down = core.Signals{}, errors.New("connection refused")
		assert.Assert(t, fx.ex.Probe() != nil)
		assert.Equal(t, fx.call(t.Context(), "k2").text, "booked")
	})
}

// Guards against a caller that is refused its stored answer, as not run, while the upstream accepts no
// request.
func TestStoredAnswerDuringACooldown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t)
		assert.Equal(t, fx.call(t.Context(), "k1").text, "booked")
		limit := core.Rate(0)
		fx.bo.signals = core.Signals{RateLimit: &limit, RetryAfter: time.Minute}
		fx.call(t.Context(), "k2")
		assert.Equal(t, fx.call(t.Context(), "k1").text, "booked")
		assert.Equal(t, fx.call(t.Context(), "k3"), result{core.NotRun, string(core.CodeOverloaded)})
		assert.Equal(t, fx.bo.runs, 2)
	})
}
