package load

import (
	"time"

	"skylarkstand/core"
)

// Outcome is how a request ended for its caller.
type Outcome string

// The outcomes.
const (
	// Complete: the response has status 200 and arrived completely; a stream ended with [DONE].
	Complete Outcome = "whole"
	// NotRun, Ran and Unknown: an error body states that the request was not run, ran and failed,
	// or that neither is known.
	NotRun  Outcome = "not-run"
	Ran     Outcome = "ran"
	Unknown Outcome = "unknown"
	// Truncated: the response broke off, or ended without [DONE] or an error body.
	Truncated Outcome = "cut"
	// Unsent: the load generator had too many requests in flight, or could not connect.
	Unsent Outcome = "unsent"
)

// AllOutcomes lists all outcomes in the order of the report.
func AllOutcomes() []Outcome { return []Outcome{Complete, NotRun, Ran, Unknown, Truncated, Unsent} }

// Attempt is the result of one attempt at a request.
type Attempt struct {
	Outcome Outcome
	Code    core.Code
	// RetryAfter is the value of the Retry-After header, 0 without one.
	RetryAfter time.Duration
	// FirstByte is the time to the first byte of the response body.
	FirstByte time.Duration
	Version   string
	Pin       string
}

const (
	// initialBackoff is the wait after a first attempt that was cut off or not sent; it doubles
	// with each further attempt.
	initialBackoff = 100 * time.Millisecond
	// maxJitter is the largest share by which a wait is lengthened. Callers that were refused at
	// the same moment would otherwise all retry at the same moment.
	maxJitter = 0.25
)

// RetryDelay returns how long a client waits after an attempt before it retries the request, and
// whether it retries at all. Of its arguments, attempts is the number made so far, remaining the
// time until the deadline, and draw a random number from 0 to 1.
//
// A refusal with Retry-After is retried after that many seconds, plus jitter. One without is
// final: the same request would fail again. A broken connection leaves the outcome open, so the
// client retries; its idempotency key prevents an operation from running twice.
func RetryDelay(at Attempt, attempts, retries int, remaining time.Duration, draw float64) (time.Duration, bool) {
	if at.Outcome == Complete || attempts > retries {
		return 0, false
	}
	wait := at.RetryAfter
	if at.Outcome == Truncated || at.Outcome == Unsent {
		wait = max(wait, initialBackoff<<(attempts-1))
	}
	if wait == 0 {
		return 0, false
	}
	wait += time.Duration(float64(wait) * maxJitter * draw)
	return wait, wait < remaining
}
