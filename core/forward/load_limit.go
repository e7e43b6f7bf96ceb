package forward

import (
	"time"

	"skylarkstand/core"
	"skylarkstand/core/balance"
)

const (
	// limitPatience is the part of the target latency for which a request waits for an upstream below its
	// load limit, and minLimitPatience the time if the route has none.
	limitPatience    = 0.25
	minLimitPatience = 50 * time.Millisecond
	// limitPoll is how often a waiting request checks the load at the other entries.
	limitPoll = 5 * time.Millisecond
)

// awaitLoadLimit waits until one of the upstreams is below its load limit, for a short time at most: a
// version that fails under load fails more callers than the wait delays. Beyond that time the request is
// sent all the same. It reports whether the version still receives work. The forwarder's lock is held on
// entry and return, so that two requests do not take the same place, and released meanwhile.
func (jb *job) awaitLoadLimit(hosts []core.Host, rq balance.Request) bool {
	if rq.Engine || rq.LoadLimit.Limit == 0 {
		return true
	}
	fw := jb.fw
	patience := max(time.Duration(limitPatience*float64(jb.rt.TargetLatency)), minLimitPatience)
	if left, bounded := jb.timeLeft(time.Now()); bounded {
		patience = min(patience, time.Duration(limitPatience*float64(left)))
	}
	for until := time.Now().Add(patience); ; {
		now := time.Now()
		if !now.Before(until) || !fw.picker.AtLimit(now, fw.accepting(now, hosts), rq) {
			return fw.components.Canary.LoadLimit(jb.service, hosts[0].Version).Watched()
		}
		ended := fw.attemptEnded
		fw.mu.Unlock()
		select {
		case <-ended:
		case <-time.After(min(limitPoll, until.Sub(now))):
		}
		fw.mu.Lock()
	}
}

// signalAttemptEnded wakes the requests that wait for an upstream. The forwarder's lock is held.
func (fw *Forwarder) signalAttemptEnded() {
	close(fw.attemptEnded)
	fw.attemptEnded = make(chan struct{})
}
