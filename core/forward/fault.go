package forward

import (
	"net/http"
	"time"

	"skylarkstand/core/balance"
)

// Some failures are caused by the request: an error that occurs at every upstream that runs it,
// or a time limit that is too short for its work. Counted against the upstreams, they make a
// small pool look as if a quarter of it were failing while nothing is wrong: calls that may run
// only once then go to another region, and the remaining upstream becomes the busiest.

// enoughTimeFactor is the least time limit of a call, as a multiple of the usual time of its route,
// for its timeout to count against the upstream. The usual time is a mean, which healthy upstreams
// exceed too.
const enoughTimeFactor = 2

// deferVerdict defers the verdict on a failed attempt's upstream until the next attempt has ended;
// see resolveDeferred. When no other upstream can be tried, the cause stays unknown and the failure
// does not count against the upstream.
func (at *attempt) deferVerdict() {
	if !at.loadMayBeCause() {
		at.jb.deferred = at
	}
}

// loadMayBeCause reports whether a failure may come from the load of the upstream: its version came with a
// roll-out and may fail under load, and the upstream was at work. If such failures counted against the
// upstream, all entries would send their requests to the others, and these would fail under that load.
func (at *attempt) loadMayBeCause() bool {
	return at.rq.LoadLimit.Watched() && !at.rq.Engine && at.othersAtStart > 0
}

// resolveDeferred returns the outcome of an attempt for the load balancer, and decides about the
// failed attempt before it: when both failed with the same status, the request is the cause,
// otherwise the first upstream. The forwarder's lock is held.
func (at *attempt) resolveDeferred(now time.Time, ve verdict) balance.Outcome {
	out := ve.outcome()
	if ve == failed && (at.timeLimitTooShort() || at.loadMayBeCause()) {
		out = balance.Abandoned
	}
	if prev := at.jb.deferred; prev != nil && prev != at {
		at.jb.deferred = nil
		if ve == failed && prev.reply.Status == at.reply.Status {
			return balance.Abandoned
		}
		prev.countFailure(now)
	}
	return out
}

// countFailure counts a failed attempt against its upstream.
func (at *attempt) countFailure(now time.Time) {
	change, failureRate := at.jb.fw.picker.RecordFailure(now, at.flight)
	at.logAvoidanceChange(change, failed, failureRate)
}

// timeLimitTooShort reports whether the upstream's timeout (504) was probably caused by the time
// limit that the attempt gave it: a limit that is short for this route. While the usual time of the
// route is unknown, the limit is taken to be the cause.
func (at *attempt) timeLimitTooShort() bool {
	if at.reply == nil || at.reply.Status != http.StatusGatewayTimeout || !at.bounded {
		return false
	}
	usual := at.jb.fw.picker.MeanHeaderTime(at.rq)
	return usual == 0 || at.left < enoughTimeFactor*usual
}
