package core

import (
	"fmt"
	"time"
)

// Ran reports whether the work of a failed request was run.
type Ran string

// The possible outcomes of a request that got no answer.
const (
	// NotRun is reported only if no byte was sent to an upstream, or if the agent refused before
	// its call. The caller can safely send the request again.
	NotRun Ran = "not-run"
	// RanFailed means that the upstream ran the request and failed.
	RanFailed Ran = "ran"
	// RanUnknown means that the request was sent and its outcome was lost. An operation that may
	// run at most once is not run again.
	RanUnknown Ran = "unknown"
)

// Code is the machine-readable class of a failure.
type Code string

// The failure codes that are returned to callers.
const (
	CodeBadRequest    Code = "bad-request"
	CodeUnauthorized  Code = "unauthorized"
	CodeNotAllowed    Code = "not-allowed"
	CodeUnknownModel  Code = "unknown-model"
	CodeUnknownRoute  Code = "unknown-route"
	CodeHeaderTooLong Code = "header-too-long"
	CodeTooLarge      Code = "too-large"
	CodeOverloaded    Code = "overloaded"
	CodeDeadline      Code = "deadline"
	CodeNoUpstream    Code = "no-upstream"
	CodeNoRegion      Code = "no-allowed-region"
	CodeEvacuated     Code = "evacuated"
	CodeUpstream      Code = "upstream-failed"
	CodeOutcomeLost   Code = "outcome-unknown"
	CodeCrashed       Code = "upstream-crashed"
	CodeSuspected     Code = "suspected"
	CodeWithdrawn     Code = "withdrawn"
	CodeLeaving       Code = "leaving"
	CodeKeyReused     Code = "key-reused"
	CodeKeyExpired    Code = "key-expired"
	CodeStoreDown     Code = "store-unavailable"
	CodeQuarantined   Code = "quarantined"
	CodeNoConfig      Code = "no-configuration"
	CodeStaleConfig   Code = "stale-configuration"
	CodeCallerGone    Code = "caller-gone"
	CodeInternalError Code = "internal"
)

// Failure is the only error type that is returned to callers. An agent also sends it to an entry in
// place of an answer.
type Failure struct {
	Code    Code
	Ran     Ran
	Message string
	// RetryAfter is the time after which a retry makes sense. Zero means that a retry of the same
	// request does not help.
	RetryAfter time.Duration
}

// Error implements error.
func (fl *Failure) Error() string {
	return fmt.Sprintf("%s (%s): %s", fl.Code, fl.Ran, fl.Message)
}

// Refuse returns a failure of a request that was certainly not run.
func Refuse(code Code, retryAfter time.Duration, format string, args ...any) *Failure {
	return &Failure{Code: code, Ran: NotRun, RetryAfter: retryAfter, Message: fmt.Sprintf(format, args...)}
}

// OutcomeUnknown returns a failure of a request that may or may not have run.
func OutcomeUnknown(format string, args ...any) *Failure {
	return &Failure{Code: CodeOutcomeLost, Ran: RanUnknown, Message: fmt.Sprintf(format, args...)}
}

// Problem is the JSON form of a failure that callers receive.
type Problem struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Ran is "not-run", "ran" or "unknown".
	Ran Ran `json:"ran"`
	// RetryAfter is in seconds; 0 if a retry does not help.
	RetryAfter float64   `json:"retry-after"`
	Request    RequestID `json:"request-id"`
}

// Problem returns the JSON form of the failure for the request with the given id.
func (fl *Failure) Problem(id RequestID) Problem {
	return Problem{Code: fl.Code, Message: fl.Message, Ran: fl.Ran, RetryAfter: fl.RetryAfter.Seconds(), Request: id}
}
