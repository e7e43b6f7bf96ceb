package forward

import (
	"time"

	"skylarkstand/core"
	"skylarkstand/core/route"
)

const (
	// targetShare is the share of a route's target latency that an attempt may use before
	// another upstream is tried. Less than half leaves the second attempt enough time to meet
	// the target.
	targetShare = 0.45
	// streamTargetShare is that share for streams. Their first event takes seconds when the
	// engine prefills long prompts, and canceling loses the finished prefill; an engine that
	// lost power is detected by its connections.
	streamTargetShare = 0.9
	// usualTimeFactor gives the timeout a lower bound in terms of the usual time to an answer:
	// under load all upstreams are slow, and canceling attempts would only add work.
	usualTimeFactor = 4
	// prefillFactor gives the timeout a lower bound in terms of the time that the upstream needs
	// to prefill this prompt and those before it. The longest prompts take six times the usual
	// time, at any upstream.
	prefillFactor = 5
	// busyFactor multiplies the timeout for an upstream that answers other requests meanwhile.
	busyFactor = 4
	// remainingShare is the largest share of the time left that a header timeout may take: later it
	// is of no use to cancel an attempt.
	remainingShare = 0.7
	// stallGapFactor is how long a stream may make no progress before it is resumed elsewhere, as a
	// multiple of the route's MaxEventGap, and minStallTimeout the lower bound.
	stallGapFactor  = 2.5
	minStallTimeout = 2 * time.Second
	// minTimeLeft is the time left below which no attempt is started: a round trip and the
	// shortest work.
	minTimeLeft = 15 * time.Millisecond
)

// headerTimeout returns how long an attempt may take to its response header before another
// upstream is tried; 0 means no limit of its own. usual is the route's usual time to a header, 0
// when it is unknown, and prefill the expected time for the prompts at the upstream.
//
// Some upstreams accept a request and never answer it while their health check passes, and some
// lose power with the request in hand. Without a timeout the caller would wait until its
// deadline. Work that may not run twice has to wait.
func headerTimeout(rt *route.Route, usual, prefill, left time.Duration) time.Duration {
	if !rt.Retry.Retryable() || rt.TargetLatency <= 0 {
		return 0
	}
	share := targetShare
	if rt.Stream {
		share = streamTargetShare
	}
	wait := max(time.Duration(share*float64(rt.TargetLatency)), usualTimeFactor*usual, prefillFactor*prefill)
	if wait > time.Duration(remainingShare*float64(left)) {
		return 0
	}
	return wait
}

// stallTimeout returns how long a stream may make no progress once it has begun; 0 means no limit.
func stallTimeout(rt *route.Route) time.Duration {
	if rt.Retry != core.Resumable || rt.MaxEventGap <= 0 {
		return 0
	}
	return max(time.Duration(stallGapFactor*float64(rt.MaxEventGap)), minStallTimeout)
}
