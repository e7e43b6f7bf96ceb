package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core/retry"
)

// simulation runs entries that share a budget and report their remaining budget to one another,
// with loss.
type simulation struct {
	seed    uint64
	entries int
	// retriesPerRequest is the mean number of retries that each request needs.
	retriesPerRequest float64
	// lossRate is the share of reports that are lost; isolated means that none are sent.
	lossRate float64
	isolated bool
	// restarts means that an entry is restarted with empty state every 400 requests.
	restarts bool
}

const (
	simRatio  = 0.9
	simSlack  = 100.0
	simWindow = 10 * time.Second
)

// run returns the retries that were refused and those that were requested. It fails the test
// when all entries together made more retries in some interval than the budget allows.
func (si simulation) run(t *testing.T) (refused, requested int) {
	t.Helper()
	rnd := rand.New(rand.NewPCG(si.seed, 9))
	start := func() *retry.Window {
		return retry.NewWindow(simWindow, simRatio, func() float64 { return retry.BurstShare(simSlack, si.entries) })
	}
	windows := make([]*retry.Window, si.entries)
	for i := range windows {
		windows[i] = start()
	}
	now := time.Unix(1_000_000, 0)
	var requests, retries []time.Time
	for n := range 6_000 { // Half a minute at 200 requests a second.
		now = now.Add(5 * time.Millisecond)

		wi := windows[rnd.IntN(si.entries)]
		wi.Arrived(now)
		requests = append(requests, now)
		for p := si.retriesPerRequest; p > 0; p-- {
			if rnd.Float64() >= p {
				continue
			}
			requested++
			if wi.Spend(now, retry.Escalation) {
				retries = append(retries, now)
			} else {
				refused++
			}
		}
		if n%50 == 0 && !si.isolated {
			si.gossip(rnd, now, windows)
		}
		if si.restarts && n%400 == 0 {
			windows[rnd.IntN(si.entries)] = start()
		}
	}
	for i := 0; i < len(retries); i += 211 {
		from := retries[i]
		got := float64(between(retries, from, from.Add(simWindow)))
		most := simRatio*float64(between(requests, from.Add(-simWindow/2), from.Add(simWindow))) + simSlack
		assert.Assert(t, got <= most, "seed %d: %v retries, bound %v", si.seed, got, most)
	}
	return refused, requested
}

func (si simulation) gossip(rnd *rand.Rand, now time.Time, windows []*retry.Window) {
	for i, wi := range windows {
		left := wi.Report(now)
		for j, other := range windows {
			if i != j && rnd.Float64() >= si.lossRate {
				other.ReceiveReport(now, uint64(i), left)
			}
		}
	}
}

// Reports are lost at any rate, and entries are killed. Guards against borrowing by which all entries
// together exceed the shared bound.
func TestBorrowingKeepsToTheSharedBound(t *testing.T) {
	for seed := range uint64(4) {
		for _, perRequest := range []float64{0.7, 3} {
			for _, lossRate := range []float64{0, 0.4, 1} {
				si := simulation{seed: seed, entries: 33, retriesPerRequest: perRequest, lossRate: lossRate, restarts: seed%2 == 1}
				si.run(t)
			}
		}
	}
}

// Guards against borrowing when the siblings have used their shares, or have not reported lately.
func TestNoBorrowingWithoutSiblingBudget(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	scenarios := []struct {
		testName string
		left     float64
		age      time.Duration
		want     bool
	}{
		{"siblings have budget left", 8, 0, true},
		{"siblings have used theirs", 0, 0, false},
		{"siblings have exceeded theirs", -3, 0, false},
		{"reports are outdated", 8, 2 * time.Second, false},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			wi := retry.NewWindow(simWindow, 0.5, fixedBurst(0))
			for range 40 {
				wi.Arrived(now)
			}
			for wi.Spend(now, retry.Escalation) {
			}
			for from := range uint64(5) {
				wi.ReceiveReport(now, from, sc.left)
			}
			assert.Equal(t, wi.Spend(now.Add(sc.age), retry.Escalation), sc.want)
		})
	}
}

// One entry has no budget left while its siblings have plenty. Guards against returning
// low-confidence answers to its callers.
func TestBorrowingUsesSiblingBudget(t *testing.T) {
	si := simulation{entries: 33, retriesPerRequest: 0.66}
	refused, requested := si.run(t)
	si.isolated = true
	isolated, _ := si.run(t)
	assert.Assert(t, refused < isolated/2, "%d of %d retries were refused, %d without borrowing", refused, requested, isolated)
	assert.Assert(t, refused < requested/50)
}
