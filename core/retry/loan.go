package retry

import "time"

const (
	// LoanTTL is how long after it was asked for a borrowed retry may be sent.
	LoanTTL = 250 * time.Millisecond
	// askInterval is the pause after a loan was refused.
	askInterval = 100 * time.Millisecond
)

// loan is a retry that was lent, and the bucket from which it has certainly arrived or expired.
type loan struct{ until int64 }

// Lend takes a retry from this entry's budget for a sibling, which may use it for [LoanTTL] after it asked.
// It counts here until it has certainly arrived, so that a loan that is lost on the way is lost to both.
func (wi *Window) Lend(now time.Time) bool {
	wi.mu.Lock()
	defer wi.mu.Unlock()
	wi.advance(now)
	if wi.left(now, Escalation) < 1 {
		return false
	}
	wi.outstanding++
	wi.lent = append(wi.lent, loan{wi.head + wi.bucketsIn(LoanTTL) + 1 + wi.transit})
	return true
}

// settleLoans settles the loans that have certainly arrived or expired.
func (wi *Window) settleLoans() {
	n := 0
	for n < len(wi.lent) && wi.lent[n].until <= wi.head {
		wi.outstanding--
		if until := wi.lent[n].until; until > wi.head-ringLength {
			wi.settled[place(until)]++
		}
		n++
	}
	wi.lent = wi.lent[n:]
}

// MayAsk reports whether a sibling should be asked for a loan: not while the last one was refused lately.
func (wi *Window) MayAsk(now time.Time) bool {
	wi.mu.Lock()
	defer wi.mu.Unlock()
	return now.Sub(wi.refusedAt) >= askInterval
}

// LoanRefused records that no sibling lent a retry.
func (wi *Window) LoanRefused(now time.Time) {
	wi.mu.Lock()
	defer wi.mu.Unlock()
	wi.refusedAt = now
}

// Borrow records a retry lent by a sibling, for the next attempt. It was asked for at askedAt.
func (rq *Request) Borrow(askedAt time.Time) {
	rq.wi.mu.Lock()
	defer rq.wi.mu.Unlock()
	rq.release()
	rq.borrowedUntil = askedAt.Add(LoanTTL)
}
