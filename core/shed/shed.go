// Package shed decides which requests a pool of engines takes when more come
// than it can answer, and tells the others when to come back.
//
// It is made for several times the load that a pool can carry: a burst, or half
// of the pool lost. Engines take whatever comes into their queues; without a
// bound the queue grows until nobody is answered in time, although the engines
// work all the while. A bound at the time in which answers are still good costs
// them no work, since there is always some waiting.
//
// The bound is one for all routes of a service. Were each request held to its own
// route's aim, the routes with long aims would fill the queue, and those with
// short ones would never be let in.
//
// All of it is pure.
//
// # Usage
//
//	ga := shed.New()
//	back, ok := ga.Offer(now, shed.Request{Wait: wait, Aim: aim, Workspace: ws, Urgent: urgent, Draw: draw})
package shed

import (
	"time"

	"skylarkstand/core"
	"skylarkstand/core/mechanism"
)

const (
	// aimPart is the expected wait, in tightest aims of the service, from which
	// requests are refused. It is that much above 1 since the expectation adds up
	// what is known of all entries, of which a part has been read meanwhile, and
	// since the longest aims are twice the tightest: what is refused here would
	// hardly be in time anywhere.
	aimPart = 3.0
	// laterPart is the part of that bound for requests that are not among the
	// most urgent, and hogPart for those of a workspace that sends more than its
	// share. Waits swing around the bound under load, so that a slightly lower one
	// means many fewer places.
	laterPart = 0.85
	hogPart   = 0.6
	// spared is the share of those requests that are held to the full bound, so
	// that no route and no workspace gets nothing at all.
	spared = 0.3
	// hogTimes is how many times the mean of the others one may send before it
	// counts as a hog.
	hogTimes = 4
	// span is the time over which rates are taken: long enough for some ten
	// requests of an entry, and short beside a burst of some seconds.
	span = time.Second
	// follow weighs the newest span: three of them make up nearly all of a rate.
	follow = 0.5
	// leastRate is the requests a second that are taken to be let in while no
	// rate is known.
	leastRate = 1
)

// Request is what a decision goes by.
type Request struct {
	// Wait is the least expected wait before an engine begins with the prompt.
	Wait time.Duration
	// Aim is the tightest of the service's routes; 0 is no bound.
	Aim       time.Duration
	Workspace core.WorkspaceID
	// Urgent says that no request of the service goes before this one.
	Urgent bool
	// Draw is a random number from 0 to 1.
	Draw float64
}

// Gate decides for one service at one entry. It belongs to one goroutine at a
// time.
type Gate struct {
	off mechanism.Off
	// turn is when the last refused caller was told to come back.
	turn time.Time
	// began is the start of the present span, let in the requests admitted in it,
	// and sent those that came, by workspace.
	began time.Time
	letIn int
	sent  map[core.WorkspaceID]int
	// rate is the requests a second that are let in, rates those that come.
	rate  float64
	rates map[core.WorkspaceID]float64
}

// Option changes a Gate at construction.
type Option func(*Gate)

// Without switches mechanisms off.
func Without(off mechanism.Off) Option { return func(ga *Gate) { ga.off = off } }

// New returns a gate.
func New(opts ...Option) *Gate {
	ga := &Gate{sent: map[core.WorkspaceID]int{}, rates: map[core.WorkspaceID]float64{}}
	for _, opt := range opts {
		opt(ga)
	}
	return ga
}

// Offer reports whether a request is let in, or else when its caller should come
// back.
//
// Each refused caller gets a turn of its own, behind those who were told before,
// at the pace at which requests are let in now. Callers that are all told the
// wait of the moment come back together, into the same queue.
func (ga *Gate) Offer(now time.Time, rq Request) (back time.Duration, ok bool) {
	ga.roll(now)
	ga.sent[rq.Workspace]++
	if rq.Aim <= 0 || ga.off.Has(mechanism.Gate) || rq.Wait <= ga.bound(rq) {
		ga.letIn++
		return 0, true
	}
	if first := now.Add(rq.Wait); ga.turn.Before(first) {
		ga.turn = first
	}
	ga.turn = ga.turn.Add(time.Duration(float64(time.Second) / max(ga.rate, leastRate)))
	return ga.turn.Sub(now), false
}

// bound is the wait up to which a request is let in.
func (ga *Gate) bound(rq Request) time.Duration {
	part := aimPart
	if rq.Draw >= spared {
		if !rq.Urgent {
			part *= laterPart
		}
		if ga.hog(rq.Workspace) && !ga.off.Has(mechanism.HogPart) {
			part *= hogPart
		}
	}
	return time.Duration(part * float64(rq.Aim))
}

// hog reports whether a workspace sends many times what the others do.
func (ga *Gate) hog(ws core.WorkspaceID) bool {
	others := 0.0
	for name, rate := range ga.rates {
		if name != ws {
			others += rate
		}
	}
	count := len(ga.rates) - 1
	return count > 0 && ga.rates[ws] > hogTimes*others/float64(count)
}

// roll ends the spans that are over.
func (ga *Gate) roll(now time.Time) {
	if ga.began.IsZero() {
		ga.began = now
	}
	past := now.Sub(ga.began)
	if past < span {
		return
	}
	ga.rate += follow * (float64(ga.letIn)/past.Seconds() - ga.rate)
	for ws, rate := range ga.rates {
		ga.rates[ws] = (1 - follow) * rate
		if rate < forgotten {
			delete(ga.rates, ws)
		}
	}
	for ws, n := range ga.sent {
		ga.rates[ws] += follow * float64(n) / past.Seconds()
	}
	ga.began, ga.letIn = now, 0
	clear(ga.sent)
}

// forgotten is the rate, in requests a second, below which a workspace that
// sends nothing is dropped.
const forgotten = 0.05
