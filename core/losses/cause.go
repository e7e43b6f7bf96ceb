package losses

import (
	"cmp"
	"strconv"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/event"
)

// Cause is why a request earned less than it could.
type Cause string

// The causes.
const (
	// OnTime is no loss.
	OnTime Cause = "on time"
	// NotAllowed: no route, or a key that belongs to nobody.
	NotAllowed Cause = "not allowed"
	// Unconfigured: the entry had no configuration, or an old one.
	Unconfigured Cause = "refused: no configuration"
	// Overloaded: turned away at the gate, or by all upstreams.
	Overloaded Cause = "refused: overloaded"
	// Stopping: turned away or cut off by a planned stop.
	Stopping Cause = "planned stop"
	// ProcessEnded: the entry's process ended, and the request with it.
	ProcessEnded Cause = "process ended"
	// CallerGone: its caller left.
	CallerGone Cause = "caller gone"
	// OverDeadline: nothing came before the deadline.
	OverDeadline Cause = "over the deadline"
	// NoUpstream: no upstream took it.
	NoUpstream Cause = "no upstream"
	// LostAtUpstream: the answer was lost or broken off and could not be repeated.
	LostAtUpstream Cause = "lost at an upstream"
	// UpstreamError: an upstream answered with an error of its own.
	UpstreamError Cause = "error of an upstream"
	// LateByUpstream: late, since an upstream failed or was silent first.
	LateByUpstream Cause = "late: upstream failed first"
	// LateByClimb: late, since a smaller model's answer was doubted first.
	LateByClimb Cause = "late: smaller model first"
	// LateByQueue: late, since other prompts were read before it.
	LateByQueue Cause = "late: queue and reading"
	// LateAtUpstream: late at an upstream that was expected to be quick.
	LateAtUpstream Cause = "late: slow upstream"
	// Paused: too long between two events.
	Paused Cause = "paused"
	// Doubtful: answered by a model that was not sure, though there are larger. The
	// others say why none of these was asked.
	Doubtful          Cause = "doubtful answer"
	DoubtfulSufficed  Cause = "doubtful: sufficed under load"
	DoubtfulTooLate   Cause = "doubtful: a larger model would be late"
	DoubtfulAttempts  Cause = "doubtful: attempts used up"
	DoubtfulNoRepeats Cause = "doubtful: no repeats left"
	// Unknown: an end that none of the others describes.
	Unknown Cause = "unknown"
)

// doubtfulBelow is the confidence below which an answer is more likely wrong
// than right: that of answers to what a model is just able to, by its own
// opinion.
const doubtfulBelow = 50

// byCode are the causes of refusals and failures.
var byCode = map[core.Code]Cause{
	core.CodeNoConfig: Unconfigured, core.CodeStaleConfig: Unconfigured,
	core.CodeUnknownRoute: NotAllowed, core.CodeUnauthorized: NotAllowed,
	core.CodeOverloaded: Overloaded, core.CodeLeaving: Stopping, core.CodeDeadline: OverDeadline,
	core.CodeCallerGone: CallerGone, core.CodeNoUpstream: NoUpstream, core.CodeNoRegion: NoUpstream, core.CodeEvacuated: NoUpstream, core.CodeOutcomeLost: LostAtUpstream,
}

// byKept are the causes of doubtful answers by why they were given.
var byKept = map[string]Cause{
	"sufficed": DoubtfulSufficed, "too-late": DoubtfulTooLate, "attempts": DoubtfulAttempts, "repeats": DoubtfulNoRepeats,
}

// cause returns why a request earned less than it could.
func (rq *request) cause() Cause {
	switch {
	case rq.end == nil:
		return ProcessEnded
	case rq.end.Event != event.ExchangeEnded.Name:
		if ca, ok := byCode[core.Code(rq.end.Get("code"))]; ok {
			return ca
		}
		return Unknown
	case number(rq.end.Get("status")) >= errorStatus:
		return UpstreamError
	}
	first, aim := seconds(rq.end.Get("first")), seconds(rq.end.Get("aim"))
	pause, gap := seconds(rq.end.Get("pause")), seconds(rq.end.Get("gap"))
	confidence := number(rq.end.Get("confidence"))
	switch {
	case aim > 0 && first > aim:
		return rq.late(first)
	case gap > 0 && pause > gap:
		return Paused
	case confidence >= 0 && confidence < doubtfulBelow && number(rq.end.Get("larger")) > 0:
		return cmp.Or(byKept[rq.end.Get("kept-answer")], Doubtful)
	}
	return OnTime
}

const errorStatus = 500

// late returns what took most of the time before the first piece: attempts whose
// answer was lost, attempts whose answer was doubted, or the last one.
func (rq *request) late(first time.Duration) Cause {
	var failed, doubted time.Duration
	for _, at := range rq.attempts {
		switch at.verdict {
		case "":
		case "unsure":
			doubted += at.took
		default:
			failed += at.took
		}
	}
	last := first - failed - doubted
	switch {
	case failed >= max(doubted, last):
		return LateByUpstream
	case doubted >= last:
		return LateByClimb
	case len(rq.attempts) > 0 && rq.attempts[len(rq.attempts)-1].read >= last/2:
		return LateByQueue
	}
	return LateAtUpstream
}

// number and seconds read a value of a line; one that is not there is 0. Lines
// are written by the product, so that another value is none.
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
