package forward

import (
	"context"
	"time"

	"skylarkstand/core/balance"
	"skylarkstand/core/mechanism"
	"skylarkstand/core/retry"
)

// retryWindow returns the retry budget of the job's service.
func (jb *job) retryWindow() *retry.Window { return jb.retries.Window() }

const (
	// listingTime is how long after its start a process may be missing on the list of entries, and listingWait
	// how long a retry waits for that.
	listingTime = 5 * time.Second
	listingWait = 1500 * time.Millisecond
	// listingInterval is how often it looks.
	listingInterval = 20 * time.Millisecond
)

// spendRetry takes a retry from the budget for the next attempt.
func (jb *job) spendRetry(ctx context.Context, pu retry.Purpose) bool {
	ok := jb.retries.Spend(time.Now(), pu) || jb.borrowRetry()
	if !ok && pu != retry.Escalation && jb.awaitListing(ctx) {
		ok = jb.retries.Spend(time.Now(), pu)
	}
	jb.fw.meters.budgetDecision(jb.service, pu, ok)
	if ok {
		jb.purpose = pu.String()
	} else {
		jb.budgetRefused.Store(true)
	}
	return ok
}

// awaitListing waits until a process that has just started is on the list of entries, from when on it has a part
// of the slack: its first failures would not be retried otherwise. It returns false if there was nothing to wait for.
func (jb *job) awaitListing(ctx context.Context) bool {
	sh, began := jb.fw.components.Shares, time.Now()
	if sh == nil || began.Sub(jb.fw.started) > listingTime || sh.Listed(began) {
		return false
	}
	wait := listingWait
	if left, bounded := jb.timeLeft(began); bounded {
		wait = min(wait, left/2)
	}
	ti := time.NewTicker(listingInterval)
	defer ti.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case now := <-ti.C:
			if sh.Listed(now) {
				return true
			}
			if now.Sub(began) >= wait {
				return false
			}
		}
	}
}

// borrowRetry asks sibling entries for a retry.
func (jb *job) borrowRetry() bool {
	fw, now := jb.fw, time.Now()
	if fw.components.BorrowRetry == nil || jb.disabled(mechanism.BorrowedRetries) || !jb.retryWindow().MayAsk(now) {
		return false
	}
	if !fw.components.BorrowRetry(jb.service) {
		jb.retryWindow().LoanRefused(time.Now())
		return false
	}
	jb.retries.Borrow(now)
	return true
}

// LendRetry takes a retry from this entry's budget for a sibling entry. The service is given by its hash.
func (fw *Forwarder) LendRetry(service uint64) bool {
	if fw.components.Off.Has(mechanism.BorrowedRetries) {
		return false
	}
	fw.mu.Lock()
	var window *retry.Window
	for sv, wi := range fw.retryWindows {
		if balance.Hash(sv) == service {
			window = wi
		}
	}
	fw.mu.Unlock()
	return window != nil && window.Lend(time.Now())
}

// retriesLeft returns what this entry reports to its siblings as left of its budgets. The forwarder's lock is
// held.
func (fw *Forwarder) retriesLeft(now time.Time) []balance.RetryBudget {
	var out []balance.RetryBudget
	for sv, wi := range fw.retryWindows {
		out = append(out, balance.RetryBudget{Service: balance.Hash(sv), Left: wi.Left(now, retry.Escalation)})
	}
	return out
}

// beforeSend records in the retry budget that the attempt is sent. It returns false if it must not be: the
// time since it was granted was too long and no retry is left by now, or its request may not be sent any more.
func (at *attempt) beforeSend() bool {
	if !at.jb.fw.components.Suspects.MaySend(at.jb.traits, at.trial, time.Now()) {
		at.withheld, at.confined = true, true
		return false
	}
	budgeted, ok := at.jb.retries.Send(time.Now(), at.to.ID)
	if !ok {
		at.withheld = true
		at.jb.budgetRefused.Store(true)
		return false
	}
	at.budgeted = budgeted
	return true
}

// recordAlive records in the retry budget that the attempt's upstream has sent something.
func (at *attempt) recordAlive(now time.Time) { at.jb.retryWindow().Alive(now, at.to.ID) }
