package retry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core/retry"
)

const left = 4

// budget returns a window with some retries left and no requests that pay for more.
func budget() *retry.Window { return retry.NewWindow(10*time.Second, 0, fixedSlack(left)) }

func leftAt(wi *retry.Window, at time.Duration) float64 { return wi.Left(start.Add(at), retry.Retry) }

// Guards against a budget that shrinks by attempts which reach no upstream, so that later failures are not
// retried.
func TestAttemptsThatReachNoUpstreamAreFree(t *testing.T) {
	wi := budget()
	rq := wi.Begin(start)
	for range 3 {
		at, ok := rq.Send(start, "up")
		assert.Assert(t, ok)
		at.NotSent()
	}
	assert.Equal(t, leftAt(wi, 0), float64(left))
	at, ok := rq.Send(start, "up")
	assert.Assert(t, ok)
	at.Confirm(start)
	assert.Equal(t, leftAt(wi, 0), float64(left))

	assert.Assert(t, rq.Spend(start, retry.Retry))
	at, ok = rq.Send(start, "up")
	assert.Assert(t, ok)
	at.NotSent()
	at, ok = rq.Send(start, "other")
	assert.Assert(t, ok)
	at.Confirm(start)
	assert.Equal(t, leftAt(wi, 0), float64(left-1))

	assert.Assert(t, rq.Spend(start, retry.Escalation))
	rq.Release()
	assert.Equal(t, leftAt(wi, 0), float64(left-1))
}

// Guards against retries that count for ever after a borrowed one was not sent.
func TestUnsentLoanLeavesNothingBehind(t *testing.T) {
	wi := budget()
	rq := sent(wi, start, 1)
	rq.Borrow(start)
	at, ok := rq.Send(start, "up")
	assert.Assert(t, ok)
	at.NotSent()
	assert.Equal(t, spendAll(rq, start, retry.Retry), left)
	assert.Equal(t, leftAt(wi, time.Minute), float64(left))
}

// Guards against an attempt that is sent beyond the budget: after a pause of the process, or without a retry.
func TestNoAttemptIsSentWithoutARetry(t *testing.T) {
	wi := budget()
	rq := sent(wi, start, 1)
	for range left {
		assert.Assert(t, rq.Spend(start, retry.Retry))
		_, ok := rq.Send(start, "up")
		assert.Assert(t, ok)
	}
	_, ok := rq.Send(start, "up")
	assert.Assert(t, !ok, "an attempt was sent without a retry")

	wi = retry.NewWindow(10*time.Second, 1, fixedSlack(0))
	paused := sent(wi, start, 10)
	assert.Assert(t, paused.Spend(start, retry.Retry))
	_, ok = paused.Send(start.Add(30*time.Second), "up")
	assert.Assert(t, !ok, "the requests that paid for the retry are out of reach")

	wi = budget()
	released, other := sent(wi, start, 1), sent(wi, start, 1)
	assert.Assert(t, released.Spend(start, retry.Retry))
	released.Release()
	assert.Equal(t, spendAll(other, start, retry.Retry), left)
	_, ok = released.Send(start, "up")
	assert.Assert(t, !ok, "a retry that was given back was used")
}

// Guards against a retry that is forgotten while it, or the attempt before it, may still arrive: at an upstream
// that is frozen, or over a link that is cut.
func TestRetryCountsUntilAllAttemptsHaveArrived(t *testing.T) {
	const late = 25 * time.Second
	scenarios := []struct {
		testName string
		confirm  func(wi *retry.Window, first, second *retry.Attempt, now time.Time)
		freed    bool
	}{
		{"both confirmed", func(_ *retry.Window, first, second *retry.Attempt, now time.Time) {
			first.Confirm(now)
			second.Confirm(now)
		}, true},
		{"the first may still arrive", func(_ *retry.Window, _, second *retry.Attempt, now time.Time) { second.Confirm(now) }, false},
		{"the second may still arrive", func(_ *retry.Window, first, _ *retry.Attempt, now time.Time) { first.Confirm(now) }, false},
		{"signs of life of both upstreams", func(wi *retry.Window, _, _ *retry.Attempt, now time.Time) {
			wi.Alive(now.Add(3*time.Second), "frozen")
			wi.Alive(now.Add(3*time.Second), "up")
		}, true},
		{"a sign of life while packets may be repeated", func(wi *retry.Window, _, second *retry.Attempt, now time.Time) {
			wi.Alive(now.Add(2*time.Second), "frozen")
			second.Confirm(now)
		}, false},
		{"a sign of life that may have been sent before", func(wi *retry.Window, _, second *retry.Attempt, now time.Time) {
			wi.Alive(now.Add(100*time.Millisecond), "frozen")
			second.Confirm(now)
		}, false},
		{"the upstream has ended", func(wi *retry.Window, _, second *retry.Attempt, now time.Time) {
			wi.Gone(now, "frozen")
			second.Confirm(now)
		}, true},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			wi := budget()
			rq := wi.Begin(start)
			first, ok := rq.Send(start, "frozen")
			assert.Assert(t, ok)
			assert.Assert(t, rq.Spend(start, retry.Retry))
			second, ok := rq.Send(start, "up")
			assert.Assert(t, ok)
			sc.confirm(wi, first, second, start)
			assert.Equal(t, leftAt(wi, 9*time.Second), float64(left-1))
			assert.Equal(t, leftAt(wi, late) == left, sc.freed)
			_ = leftAt(wi, time.Minute)
			assert.Equal(t, leftAt(wi, 2*time.Minute), float64(left))
		})
	}
}
