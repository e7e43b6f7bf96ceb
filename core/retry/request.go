package retry

import (
	"time"

	"skylarkstand/core"
)

// Request counts the attempts of one request in its service's window. An attempt is free while none
// before it may have arrived; each other one needs a retry of the budget.
type Request struct {
	wi *Window
	// sent counts the attempts that may have arrived, and confirmed those of them that have arrived for
	// certain, or will not any more.
	sent, confirmed int
	// retries counts the retries taken by sent attempts, and settled those that have certainly arrived.
	retries, settled int
	// held is set while a granted retry waits for its attempt, since heldAt.
	held    bool
	heldAt  int64
	purpose Purpose
	// borrowedUntil is until when a retry lent by a sibling may be sent; zero without one. borrowed counts
	// those that were sent. The lender counts them in its window.
	borrowedUntil time.Time
	borrowed      int
}

// Attempt is one attempt that may arrive at an upstream.
type Attempt struct {
	rq       *Request
	upstream core.UpstreamID
	at       time.Time
	// retry is whether it took a retry of this entry's budget, and borrowed whether it took one of a sibling's.
	retry, borrowed bool
	confirmed       bool
}

// Begin counts a request.
func (wi *Window) Begin(now time.Time) *Request {
	wi.mu.Lock()
	defer wi.mu.Unlock()
	wi.advance(now)
	wi.requests[place(wi.head)]++
	return &Request{wi: wi}
}

// Window returns the window in which the request counts.
func (rq *Request) Window() *Window { return rq.wi }

// Spend takes a retry from the budget for the next attempt, or returns false when there is none left.
func (rq *Request) Spend(now time.Time, pu Purpose) bool {
	rq.wi.mu.Lock()
	defer rq.wi.mu.Unlock()
	return rq.spend(now, pu)
}

func (rq *Request) spend(now time.Time, pu Purpose) bool {
	wi := rq.wi
	wi.advance(now)
	rq.release()
	if wi.left(now, pu) < 1 {
		return false
	}
	wi.outstanding++
	rq.held, rq.heldAt, rq.purpose = true, wi.head, pu
	return true
}

// Release returns a retry that was taken and not used.
func (rq *Request) Release() {
	rq.wi.mu.Lock()
	defer rq.wi.mu.Unlock()
	rq.release()
}

func (rq *Request) release() {
	rq.borrowedUntil = time.Time{}
	if rq.held {
		rq.held = false
		rq.wi.outstanding--
	}
}

// Send records that the next attempt is sent, immediately before it is. It returns false if the attempt must
// not be sent: it needs a retry, and none is left. A retry that was taken some time ago, as before a pause of
// the process, is taken anew.
func (rq *Request) Send(now time.Time, up core.UpstreamID) (*Attempt, bool) {
	wi := rq.wi
	wi.mu.Lock()
	defer wi.mu.Unlock()
	wi.advance(now)
	at := &Attempt{rq: rq, upstream: up, at: now}
	switch {
	case rq.sent == 0:
		rq.release()
	case now.Before(rq.borrowedUntil):
		rq.borrowedUntil, at.borrowed = time.Time{}, true
		rq.borrowed++
	case (!rq.held || wi.head-rq.heldAt > wi.hold) && !rq.spend(now, rq.purpose):
		return nil, false
	default:
		rq.held, at.retry = false, true
		rq.retries++
	}
	rq.sent++
	wi.unconfirmed[up] = append(wi.unconfirmed[up], at)
	return at, true
}

// NotSent records that nothing of the attempt was sent after all. Its retry serves the next attempt; one of a sibling's
// budget is lost.
func (at *Attempt) NotSent() {
	if at == nil {
		return
	}
	rq := at.rq
	rq.wi.mu.Lock()
	defer rq.wi.mu.Unlock()
	if at.confirmed {
		return
	}
	at.confirmed = true
	rq.sent--
	switch {
	case at.retry:
		rq.release()
		rq.retries--
		rq.held = true
	case at.borrowed:
		rq.borrowed--
	}
}

// Confirm records that the attempt has arrived, or will not any more.
func (at *Attempt) Confirm(now time.Time) {
	if at == nil {
		return
	}
	wi := at.rq.wi
	wi.mu.Lock()
	defer wi.mu.Unlock()
	wi.advance(now)
	at.confirm()
}

// confirm settles the retries of which it is now certain that they have arrived. Which attempt of a request
// arrived first is unknown while one of them is unconfirmed, so that one retry stays outstanding for it.
func (at *Attempt) confirm() {
	if at.confirmed {
		return
	}
	at.confirmed = true
	rq := at.rq
	rq.confirmed++
	for rq.settled < min(rq.retries, rq.confirmed-1-rq.borrowed) {
		rq.settled++
		rq.wi.outstanding--
		rq.wi.settled[place(rq.wi.head)]++
	}
}
