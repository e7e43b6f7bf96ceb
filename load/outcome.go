package load

import (
	"time"

	"skylarkstand/core"
)

// Outcome is how a request ended for its caller.
type Outcome string

// The outcomes.
const (
	// Whole: the answer came with its end mark.
	Whole Outcome = "whole"
	// NotRun, Ran and Unknown are the endings that an error body names.
	NotRun  Outcome = "not-run"
	Ran     Outcome = "ran"
	Unknown Outcome = "unknown"
	// Cut: the answer broke off without its end mark or an error.
	Cut Outcome = "cut"
	// Unsent: the driver had too many in flight, or could not connect.
	Unsent Outcome = "unsent"
)

// Outcomes lists them in the order of the report.
func Outcomes() []Outcome { return []Outcome{Whole, NotRun, Ran, Unknown, Cut, Unsent} }

// Attempt is what one try of a request came to.
type Attempt struct {
	Outcome Outcome
	Code    core.Code
	// RetryAfter is what the answer asked for, 0 if it asked for nothing.
	RetryAfter time.Duration
	// First is the time to the first byte of an answer.
	First   time.Duration
	Version string
	Pin     string
}

const (
	// firstBackOff is the wait after the first try that got no answer at all;
	// it doubles with each.
	firstBackOff = 100 * time.Millisecond
	// spread lengthens waits by up to this share. Callers who were refused in
	// one moment would otherwise all come back in one moment.
	spread = 0.25
)

// Again decides whether a client sends a request again after a try, and after
// which wait. Tries counts those made; left is what remains of the deadline;
// draw is from 0 to 1.
//
// A refusal that says when to come back is honoured to the second. One that
// does not is final: the same request would fail again. A broken connection
// tells nothing, so the client asks again; its idempotency key keeps that from
// running an order twice.
func Again(at Attempt, tries, retries int, left time.Duration, draw float64) (time.Duration, bool) {
	if at.Outcome == Whole || tries > retries {
		return 0, false
	}
	wait := at.RetryAfter
	if at.Outcome == Cut || at.Outcome == Unsent {
		wait = max(wait, firstBackOff<<(tries-1))
	}
	if wait == 0 {
		return 0, false
	}
	wait += time.Duration(float64(wait) * spread * draw)
	return wait, wait < left
}
