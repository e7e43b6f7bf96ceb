package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core/retry"
)

// Guards against a loan that counts nowhere: the lender counts it until it has certainly arrived, whether it is
// used, late or lost.
func TestLenderCountsItsLoans(t *testing.T) {
	lender, borrower := retry.NewWindow(10*time.Second, 0, fixedSlack(5)), retry.NewWindow(10*time.Second, 0, fixedSlack(0))
	rq := sent(borrower, start, 1)
	assert.Assert(t, !rq.Spend(start, retry.Retry))
	assert.Assert(t, lender.Lend(start))
	assert.Equal(t, leftAt(lender, 12*time.Second), 4.0)
	assert.Equal(t, leftAt(lender, 13*time.Second), 5.0)
	rq.Borrow(start)
	_, ok := rq.Send(start.Add(retry.LoanTTL/2), "up")
	assert.Assert(t, ok)
	_, ok = rq.Send(start.Add(retry.LoanTTL/2), "up")
	assert.Assert(t, !ok, "a loan was used twice")
	rq.Borrow(start)
	_, ok = rq.Send(start.Add(retry.LoanTTL), "up")
	assert.Assert(t, !ok, "a loan was used after its end")
}

// Guards against loans that leave the lender's own requests without retries.
func TestLenderKeepsAReserve(t *testing.T) {
	wi := retry.NewWindow(10*time.Second, 0, fixedSlack(10))
	for wi.Lend(start) {
	}
	assert.Assert(t, sent(wi, start, 1).Spend(start, retry.Retry))
}

// borrowing runs entries that share a budget and lend retries to one another, with loss.
type borrowing struct {
	seed    uint64
	entries int
	// retriesPerRequest is the mean number of retries that each request needs.
	retriesPerRequest float64
	// lossRate is the share of loans that are lost; isolated means that none are asked for.
	lossRate float64
	isolated bool
	// restarts means that an entry is restarted with empty state every 400 requests.
	restarts bool
}

// run returns the retries that were refused and those that were requested, after ten seconds that only fill the
// windows. It fails the test when all entries together made more retries in some interval than the budget
// allows.
func (bo borrowing) run(t *testing.T) (refused, requested int) {
	t.Helper()
	rnd := rand.New(rand.NewPCG(bo.seed, 9))
	sv := &service{window: 10 * time.Second, ratio: 0.9, slack: 100}
	now := start
	entries := make([]*entry, bo.entries)
	begin := func(i int) {
		entries[i] = sv.start(now)
		sv.register(entries[i])
	}
	for i := range entries {
		begin(i)
	}
	for n := range 8_000 { // At 200 requests a second.
		now = now.Add(5 * time.Millisecond)
		if n%50 == 0 {
			for _, en := range entries {
				en.reported = en.Left(now, retry.Escalation)
			}
		}
		en := entries[rnd.IntN(len(entries))]
		sv.readList(en, now)
		sv.request(en, now, 0)
		for p := bo.retriesPerRequest; p > 0; p-- {
			if rnd.Float64() >= p {
				continue
			}
			granted := bo.retry(rnd, now, en, entries)
			if granted {
				sv.retries = append(sv.retries, now)
			}
			if n >= 2_000 {
				requested++
				if !granted {
					refused++
				}
			}
		}
		if bo.restarts && n%400 == 0 {
			begin(rnd.IntN(len(entries)))
		}
	}
	sv.check(t)
	return refused, requested
}

// retry makes a retry for the newest request of an entry, and borrows it if need be from the entry that reported most
// as left.
func (bo borrowing) retry(rnd *rand.Rand, now time.Time, en *entry, entries []*entry) bool {
	rq := en.open[len(en.open)-1]
	if !rq.Spend(now, retry.Escalation) {
		lender := entries[0]
		for _, other := range entries {
			if other.reported > lender.reported {
				lender = other
			}
		}
		lender.reported--
		if bo.isolated || lender == en || !lender.Lend(now) || rnd.Float64() < bo.lossRate {
			return false
		}
		rq.Borrow(now)
	}
	at, ok := rq.Send(now, "up")
	if ok {
		at.Confirm(now)
	}
	return ok
}

// Loans are lost at any rate, and entries are killed. Guards against borrowing by which all entries
// together exceed the shared bound.
func TestBorrowingKeepsToTheSharedBound(t *testing.T) {
	for seed := range uint64(4) {
		for _, perRequest := range []float64{0.7, 3} {
			for _, lossRate := range []float64{0, 0.4, 1} {
				bo := borrowing{seed: seed, entries: 33, retriesPerRequest: perRequest, lossRate: lossRate, restarts: seed%2 == 1}
				bo.run(t)
			}
		}
	}
}

// One entry has no budget left while its siblings have plenty. Guards against returning
// low-confidence answers to its callers.
func TestBorrowingUsesSiblingBudget(t *testing.T) {
	bo := borrowing{entries: 33, retriesPerRequest: 0.66}
	refused, requested := bo.run(t)
	bo.isolated = true
	isolated, _ := bo.run(t)
	assert.Assert(t, refused < isolated/2, "%d of %d retries were refused, %d without borrowing", refused, requested, isolated)
	assert.Assert(t, refused < requested/50)
}
