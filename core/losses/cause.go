package losses

import (
	"cmp"
	"strconv"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/event"
)

// Cause is the reason why a request got no answer, or a worse one than possible.
type Cause string

// The causes.
const (
	// OnTime is an answer without a loss.
	OnTime Cause = "on time"
	// NotAllowed is a request without a route or with an unknown API key.
	NotAllowed Cause = "not allowed"
	// Unconfigured is a request to an entry without a configuration, or with an outdated one.
	Unconfigured Cause = "refused: no configuration"
	// Overloaded is a request that the admission control or all upstreams refused.
	Overloaded Cause = "refused: overloaded"
	// Stopping is a request that was refused or cut off by a planned stop.
	Stopping Cause = "planned stop"
	// ProcessEnded is a request that was lost when the process of its entry ended.
	ProcessEnded Cause = "process ended"
	// CallerGone is a request whose caller disconnected.
	CallerGone Cause = "caller gone"
	// OverDeadline is a request without an answer before its deadline.
	OverDeadline Cause = "over the deadline"
	// NoUpstream is a request that no upstream accepted.
	NoUpstream Cause = "no upstream"
	// LostAtUpstream is a request whose answer was lost or broken off, and that could not be
	// retried.
	LostAtUpstream Cause = "lost at an upstream"
	// UpstreamError is an error that an upstream returned itself.
	UpstreamError Cause = "error of an upstream"
	// LateByUpstream is an answer that was late because another upstream failed or did not respond
	// before.
	LateByUpstream Cause = "late: upstream failed first"
	// LateByEscalation is an answer that was late because the request was escalated from a smaller
	// model.
	LateByEscalation Cause = "late: smaller model first"
	// LateByQueue is an answer that was late because of the prefill of other prompts before it.
	LateByQueue Cause = "late: queue and prefill"
	// LateAtUpstream is an answer that was late at an upstream that was expected to be fast.
	LateAtUpstream Cause = "late: slow upstream"
	// Paused is an answer with too much time between two events.
	Paused Cause = "paused"
	// Doubtful is an answer of low confidence although a larger model exists. The other Doubtful
	// causes are the known reasons why the request was not escalated.
	Doubtful           Cause = "doubtful answer"
	DoubtfulSufficed   Cause = "doubtful: sufficed under load"
	DoubtfulTooLate    Cause = "doubtful: a larger model would be late"
	DoubtfulAttempts   Cause = "doubtful: attempts used up"
	DoubtfulNoRetries  Cause = "doubtful: no retries left"
	DoubtfulNoUpstream Cause = "doubtful: no upstream for a larger model"
	// Unknown is an end that none of the other causes describes.
	Unknown Cause = "unknown"
)

// minConfidence is the confidence, out of 100, below which an answer is more likely wrong than
// right. Models report it for answers to tasks that they are only just capable of.
const minConfidence = 50

// causesByCode maps the codes of refusals and failures to their causes.
var causesByCode = map[core.Code]Cause{
	core.CodeNoConfig: Unconfigured, core.CodeStaleConfig: Unconfigured,
	core.CodeUnknownRoute: NotAllowed, core.CodeUnauthorized: NotAllowed,
	core.CodeOverloaded: Overloaded, core.CodeLeaving: Stopping, core.CodeDeadline: OverDeadline,
	core.CodeCallerGone: CallerGone, core.CodeNoUpstream: NoUpstream, core.CodeNoRegion: NoUpstream, core.CodeEvacuated: NoUpstream, core.CodeOutcomeLost: LostAtUpstream,
}

// causesByReason maps the reasons for returning a doubtful answer to its causes.
var causesByReason = map[string]Cause{
	"sufficed": DoubtfulSufficed, "too-late": DoubtfulTooLate, "attempts": DoubtfulAttempts, "repeats": DoubtfulNoRetries, "no-upstream": DoubtfulNoUpstream,
}

// cause returns the cause of the request's loss, or [OnTime].
func (rq *request) cause() Cause {
	switch {
	case rq.end == nil:
		return ProcessEnded
	case rq.end.Event != event.ExchangeEnded.Name:
		if ca, ok := causesByCode[core.Code(rq.end.Get("code"))]; ok {
			return ca
		}
		return Unknown
	case number(rq.end.Get("status")) >= minErrorStatus:
		return UpstreamError
	}
	first, target := seconds(rq.end.Get("first")), seconds(rq.end.Get("aim"))
	pause, gap := seconds(rq.end.Get("pause")), seconds(rq.end.Get("gap"))
	confidence := number(rq.end.Get("confidence"))
	switch {
	case target > 0 && first > target:
		return rq.latenessCause(first)
	case gap > 0 && pause > gap:
		return Paused
	case confidence >= 0 && confidence < minConfidence && number(rq.end.Get("larger")) > 0:
		return cmp.Or(causesByReason[rq.end.Get("kept-answer")], Doubtful)
	}
	return OnTime
}

const minErrorStatus = 500

// latenessCause returns the cause of a late first chunk by what took most of the time before it:
// failed attempts, attempts whose answer was dropped for a larger model's, or the last attempt.
func (rq *request) latenessCause(first time.Duration) Cause {
	var failed, escalated time.Duration
	for _, at := range rq.attempts {
		switch at.verdict {
		case "":
		case "unsure":
			escalated += at.took
		default:
			failed += at.took
		}
	}
	last := first - failed - escalated
	switch {
	case failed >= max(escalated, last):
		return LateByUpstream
	case escalated >= last:
		return LateByEscalation
	case len(rq.attempts) > 0 && rq.attempts[len(rq.attempts)-1].prefillWait >= last/2:
		return LateByQueue
	}
	return LateAtUpstream
}

// number parses the value of an attribute, seconds a duration in seconds. A missing or malformed
// value is 0: only this program writes the lines, so no other format is expected.
func number(text string) float64 {
	val, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0
	}
	return val
}

func seconds(text string) time.Duration {
	return time.Duration(number(text) * float64(time.Second))
}
