// Package shed implements load shedding for a pool of engines: it decides which requests are
// admitted when more arrive than the pool can answer, and sets the Retry-After of the others.
//
// It is made for several times the load that a pool can carry: a burst, or the loss of half of
// the pool. Engines queue every request. Without a bound, the queue grows until no request is
// answered in time, although the engines are busy all the while. A bound on the wait at which
// answers still meet their target costs no throughput, since there is always some queue.
//
// The bound is the same for all routes of a service. If it followed from the target latency of
// each request's own route, the routes with long targets would fill the queue, and those with
// short ones would never be admitted.
//
// The package does no I/O and has no clock or random source of its own.
//
// # Usage
//
//	ga := shed.New()
//	retryAfter, ok := ga.Admit(now, shed.Request{Wait: wait, Target: target, Workspace: ws, Urgent: urgent, Draw: draw})
package shed

import (
	"time"

	"skylarkstand/core"
	"skylarkstand/core/mechanism"
)

const (
	// maxWaitFactor is the expected wait, in multiples of the tightest target latency of the
	// service, above which requests are refused. It is that much above 1 since the estimate adds
	// up the reports of all entries, whose prompts have been prefilled in part meanwhile, and
	// since the longest targets are twice the tightest: what is refused here would hardly be in
	// time at any upstream.
	maxWaitFactor = 3.0
	// lessUrgentShare is the fraction of that bound for requests that are not among the most urgent,
	// and noisyShare for those of a workspace that sends more than its share. Waits fluctuate
	// around the bound under load, so a slightly lower bound admits far fewer requests.
	lessUrgentShare = 0.85
	noisyShare      = 0.6
	// exemptShare is the share of those requests to which the full bound applies, so that no route
	// and no workspace is starved.
	exemptShare = 0.3
	// noisyFactor is how many times the mean rate of the other workspaces a workspace may send
	// before it counts as noisy.
	noisyFactor = 4
	// ratePeriod is the period over which rates are measured: long enough for some ten requests
	// of an entry, and short compared with a burst of some seconds.
	ratePeriod = time.Second
	// newestWeight is the weight of the newest period in a rate: three of them make up nearly
	// all of it.
	newestWeight = 0.5
	// minRate is the assumed rate of admitted requests per second while none is known.
	minRate = 1
)

// Request holds the inputs to a decision.
type Request struct {
	// Wait is the shortest expected wait before an engine starts the prefill.
	Wait time.Duration
	// Target is the tightest target latency of the service's routes; 0 means no bound.
	Target    time.Duration
	Workspace core.WorkspaceID
	// Urgent means that no request of the service has a higher priority.
	Urgent bool
	// Draw is a random number from 0 to 1.
	Draw float64
}

// Gate is the admission control of one service at one entry. It is not safe for concurrent use.
type Gate struct {
	off mechanism.Disabled
	// nextRetry is the time to which the last Retry-After points.
	nextRetry time.Time
	// periodStart is the start of the current period, admitted the number of requests admitted
	// in it, and arrivals the requests that arrived in it, by workspace.
	periodStart time.Time
	admitted    int
	arrivals    map[core.WorkspaceID]int
	// admitRate is the rate of admitted requests per second, arrivalRates that of arriving ones,
	// by workspace.
	admitRate    float64
	arrivalRates map[core.WorkspaceID]float64
}

// Option changes a Gate at construction.
type Option func(*Gate)

// Without disables mechanisms.
func Without(off mechanism.Disabled) Option { return func(ga *Gate) { ga.off = off } }

// New returns a Gate.
func New(opts ...Option) *Gate {
	ga := &Gate{arrivals: map[core.WorkspaceID]int{}, arrivalRates: map[core.WorkspaceID]float64{}}
	for _, opt := range opts {
		opt(ga)
	}
	return ga
}

// Admit reports whether a request is admitted, and otherwise its Retry-After.
//
// Each refused caller gets a later Retry-After than those refused before it, spaced at the rate
// at which requests are admitted now. Callers that all got the current wait would retry at the
// same time, into the same queue.
func (ga *Gate) Admit(now time.Time, rq Request) (retryAfter time.Duration, ok bool) {
	ga.rollPeriod(now)
	ga.arrivals[rq.Workspace]++
	if rq.Target <= 0 || ga.off.Has(mechanism.AdmissionControl) || rq.Wait <= ga.maxWait(rq) {
		ga.admitted++
		return 0, true
	}
	if first := now.Add(rq.Wait); ga.nextRetry.Before(first) {
		ga.nextRetry = first
	}
	ga.nextRetry = ga.nextRetry.Add(time.Duration(float64(time.Second) / max(ga.admitRate, minRate)))
	return ga.nextRetry.Sub(now), false
}

// maxWait is the wait up to which a request is admitted.
func (ga *Gate) maxWait(rq Request) time.Duration {
	part := maxWaitFactor
	if rq.Draw >= exemptShare {
		if !rq.Urgent {
			part *= lessUrgentShare
		}
		if ga.isNoisy(rq.Workspace) && !ga.off.Has(mechanism.NoisyWorkspaceLimit) {
			part *= noisyShare
		}
	}
	return time.Duration(part * float64(rq.Target))
}

// isNoisy reports whether a workspace sends many times as much as the others.
func (ga *Gate) isNoisy(ws core.WorkspaceID) bool {
	others := 0.0
	for name, rate := range ga.arrivalRates {
		if name != ws {
			others += rate
		}
	}
	count := len(ga.arrivalRates) - 1
	return count > 0 && ga.arrivalRates[ws] > noisyFactor*others/float64(count)
}

// rollPeriod ends the current period when it is over.
func (ga *Gate) rollPeriod(now time.Time) {
	if ga.periodStart.IsZero() {
		ga.periodStart = now
	}
	elapsed := now.Sub(ga.periodStart)
	if elapsed < ratePeriod {
		return
	}
	ga.admitRate += newestWeight * (float64(ga.admitted)/elapsed.Seconds() - ga.admitRate)
	for ws, rate := range ga.arrivalRates {
		ga.arrivalRates[ws] = (1 - newestWeight) * rate
		if rate < forgetRate {
			delete(ga.arrivalRates, ws)
		}
	}
	for ws, n := range ga.arrivals {
		ga.arrivalRates[ws] += newestWeight * float64(n) / elapsed.Seconds()
	}
	ga.periodStart, ga.admitted = now, 0
	clear(ga.arrivals)
}

// forgetRate is the rate, in requests per second, below which a workspace that sends nothing is
// removed.
const forgetRate = 0.05
