// Package retry decides whether a failed attempt may be retried at another upstream, and bounds
// the retries at a service by its requests.
//
// Retries are meant for occasional failures. When a whole pool fails or is full, they multiply its
// work at the worst moment: three attempts for each request turn an overload of 1.2 into one of 3.6,
// which then does not end by itself. It shows as a pool that stays full although callers send no
// more than usual. So retries draw on a budget: that of a [Budget], which successes fill, or that of a
// [Window], which bounds the retries at a service in any span, over all entries.
//
// # Usage
//
// A retry of a Window is taken before the attempt is prepared, checked again immediately before the first byte
// is sent, and counts until the attempt has certainly arrived:
//
//	rq := window.Begin(now)
//	at, _ := rq.Send(now, upstream) // the first attempt is free
//	at.Confirm(now)                 // or at.NotSent()
//	if rq.Spend(now, retry.Retry) {
//		if at, ok := rq.Send(now, other); ok { send(); at.Confirm(now) }
//	}
//	rq.Release()
//
// A Budget is for entries that share nothing:
//
//	bu := retry.NewBudget()
//	bu.Succeeded()
//	at := retry.NewAttempts(bu)
//	for { fl := attempt(); if fl == nil || !at.MayRetry(fl, repeatable) { break } }
package retry

import (
	"sync"

	"skylarkstand/core"
)

const (
	// successRatio is the share of the recent successes that may be retries. A tenth is many
	// times the usual rate of single failures, and bounds the work that retries add to a full
	// pool to a tenth.
	successRatio = 0.1
	// maxBudget bounds the budget that accumulates in a quiet time: enough for the attempts of
	// one lost upstream, and no more.
	maxBudget = 32
	// initialBudget is the budget of a new entry, for failures before any success.
	initialBudget = 16
	// maxAttempts bounds the attempts of one request, so that its caller gets a response in
	// time.
	maxAttempts = 3
)

// Budget is the retry budget that the requests of an entry share. It is safe for concurrent use.
type Budget struct {
	mu   sync.Mutex
	left float64
}

// NewBudget returns a Budget with the initial budget of a new entry.
func NewBudget() *Budget { return &Budget{left: initialBudget} }

// Succeeded adds to the budget for a success.
func (bu *Budget) Succeeded() {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.left = min(bu.left+successRatio, maxBudget)
}

func (bu *Budget) spend() bool {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	if bu.left < 1 {
		return false
	}
	bu.left--
	return true
}

// Attempts counts the attempts of one request. It must be used by one goroutine at a time.
type Attempts struct {
	budget     *Budget
	attempts   int
	overloaded bool
}

// NewAttempts returns the Attempts of a request.
func NewAttempts(bu *Budget) Attempts { return Attempts{budget: bu} }

// MayRetry reports whether another upstream may be tried after a failure.
//
// A call that was not run because the link was down or the upstream is leaving costs the pool
// nothing, so its retry needs no budget. A refusal for overload is retried elsewhere once: a
// second one shows that the pool is full, and more attempts would only load it with refusals.
func (at *Attempts) MayRetry(fl *core.Failure, repeatable bool) bool {
	at.attempts++
	if at.attempts >= maxAttempts {
		return false
	}
	switch fl.Code {
	case core.CodeLeaving, core.CodeNoUpstream, core.CodeStaleConfig, core.CodeEvacuated, core.CodeNoRegion:
		return fl.Ran == core.NotRun
	case core.CodeOverloaded:
		if fl.Ran != core.NotRun || at.overloaded {
			return false
		}
		at.overloaded = true
		return at.budget.spend()
	case core.CodeStoreDown:
		return fl.Ran == core.NotRun && at.budget.spend()
	case core.CodeOutcomeLost, core.CodeUpstream, core.CodeCrashed:
		return (fl.Ran == core.NotRun || repeatable) && at.budget.spend()
	default:
		return false
	}
}
