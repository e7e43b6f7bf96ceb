// Package retry decides whether a failed attempt may be tried on another
// upstream.
//
// Retries are meant for the odd failure. When a whole pool fails or is full,
// they multiply the work at the worst moment: three tries for each request
// turn an overload of 1.2 into one of 3.6, which then does not end by itself.
// One notices it as a pool that stays full although callers send no more than
// usual. So retries draw on a budget that only successes fill.
//
// # Usage
//
//	bu := retry.NewBudget()
//	bu.Succeeded()
//	tr := retry.NewTries(bu)
//	for { err := attempt(); if !tr.Again(err, repeatable) { break } }
package retry

import (
	"sync"

	"skylarkstand/core"
)

const (
	// share of the recent successes may be retries. A tenth hides the usual
	// rate of single failures many times over, and bounds what retries add to
	// a full pool to a tenth.
	share = 0.1
	// saved bounds what is kept of a quiet time: enough to carry over the
	// attempts of one lost upstream, and no more.
	saved = 32
	// first is the budget of a new entry, for failures before any success.
	first = 16
	// maxTries bounds the attempts of one request, so that its caller hears in
	// time.
	maxTries = 3
)

// Budget is shared by the requests of an entry. It is safe for concurrent use.
type Budget struct {
	mu   sync.Mutex
	left float64
}

// NewBudget returns a budget.
func NewBudget() *Budget { return &Budget{left: first} }

// Succeeded adds a success.
func (bu *Budget) Succeeded() {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.left = min(bu.left+share, saved)
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

// Tries follows the attempts of one request. It belongs to one goroutine.
type Tries struct {
	budget   *Budget
	done     int
	overload bool
}

// NewTries returns the tries of a request.
func NewTries(bu *Budget) Tries { return Tries{budget: bu} }

// Again reports whether another upstream may be tried after a failure.
//
// Work that reached no upstream because the link was down or the upstream is
// leaving costs the pool nothing, so it needs no budget. A refusal for
// overload is tried elsewhere once: a second one says that the pool is full,
// and each further try would only load it with refusals.
func (tr *Tries) Again(fl *core.Failure, repeatable bool) bool {
	tr.done++
	if tr.done >= maxTries {
		return false
	}
	switch fl.Code {
	case core.CodeLeaving, core.CodeNoUpstream, core.CodeStaleConfig, core.CodeEvacuated, core.CodeNoRegion:
		return fl.Ran == core.NotRun
	case core.CodeOverloaded:
		if fl.Ran != core.NotRun || tr.overload {
			return false
		}
		tr.overload = true
		return tr.budget.spend()
	case core.CodeStoreDown:
		return fl.Ran == core.NotRun && tr.budget.spend()
	case core.CodeOutcomeLost, core.CodeUpstream, core.CodeCrashed:
		return (fl.Ran == core.NotRun || repeatable) && tr.budget.spend()
	default:
		return false
	}
}
