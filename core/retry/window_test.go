package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core/retry"
	"skylarkstand/core/share"
)

var start = time.Unix(1_000_000, 0)

func fixedSlack(slack float64) func(time.Time) float64 {
	return func(time.Time) float64 { return slack }
}

// sent counts requests whose first attempts have arrived, and returns the last one.
func sent(wi *retry.Window, now time.Time, n int) (rq *retry.Request) {
	for range n {
		rq = wi.Begin(now)
		if at, ok := rq.Send(now, "up"); ok {
			at.Confirm(now)
		}
	}
	return rq
}

// spendAll makes as many retries as are left, which arrive at once, and returns their number.
func spendAll(rq *retry.Request, now time.Time, pu retry.Purpose) (n int) {
	for rq.Spend(now, pu) {
		if at, ok := rq.Send(now, "up"); ok {
			at.Confirm(now)
			n++
		}
	}
	return n
}

// Upstreams fail most of their requests, and every failure is retried. Guards against a pool
// that gets several times the requests of its callers and does not recover: in any interval of
// the window's length, the retries must stay below the ratio of the requests plus the burst,
// also when requests come in bursts.
func TestWindowBoundsEveryInterval(t *testing.T) {
	const length, ratio, burst = 10 * time.Second, 0.9, 13.0
	for seed := range uint64(20) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		wi := retry.NewWindow(length, ratio, fixedSlack(burst))
		now := start
		sv := &service{window: length, ratio: ratio, slack: burst}
		for range 4000 {
			now = now.Add(time.Duration(rnd.ExpFloat64() * float64(20*time.Millisecond)))
			if rnd.Float64() < 0.01 {
				now = now.Add(time.Duration(rnd.IntN(6)) * time.Second)
			}
			rq := sent(wi, now, 1)
			sv.requests = append(sv.requests, now)
			for rq.Spend(now, retry.Retry) && rnd.Float64() < 0.8 {
				at, ok := rq.Send(now, "up")
				assert.Assert(t, ok)
				at.Confirm(now)
				sv.retries = append(sv.retries, now)
			}
			rq.Release()
		}
		assert.Assert(t, len(sv.retries) > 100)
		got, bound := sv.worstSpan()
		assert.Assert(t, float64(got) <= bound, "seed %d: %d retries, bound %.1f", seed, got, bound)
	}
}

// Many entries serve a few requests each, and all of these fail; some entries have discovered
// all siblings, others have just started and none. Guards against more retries by all together
// than the pool may get, after which it does not recover.
func TestEntriesKeepToTheSharedBurst(t *testing.T) {
	for _, entries := range []int{1, 4, 20, 100, 360} {
		for _, each := range []int{1, 2, 5, 20, 100} {
			sv := &service{window: 10 * time.Second, ratio: 0.9, slack: 80}
			var all []*entry
			for n := range entries {
				en := sv.start(start)
				if n%2 == 1 || entries > 20 {
					sv.register(en)
				}
				all = append(all, en)
			}
			for _, now := range []time.Time{start, start.Add(30 * time.Second)} {
				for _, en := range all {
					sv.readList(en, start)
					for range each {
						sv.request(en, now, 0)
						sv.retry(en, now, 2, 0)
					}
				}
			}
			got, bound := sv.worstSpan()
			assert.Assert(t, float64(got) <= bound, "%d entries, %d requests each: %d retries, bound %.0f", entries, each, got, bound)
		}
	}
}

// A pool has nearly used up its retry budget. Guards against escalations that leave no budget
// for retries: after a refused escalation the caller gets the present answer, after a refused
// retry it gets none.
func TestRetryPrecedesEscalation(t *testing.T) {
	wi := retry.NewWindow(10*time.Second, 0.5, fixedSlack(0))
	rq := sent(wi, start, 100)
	assert.Assert(t, spendAll(rq, start, retry.Escalation) > 0)
	assert.Assert(t, rq.Spend(start, retry.Retry))
}

// Guards against a budget that steady traffic cannot use: nearly the ratio of its requests.
func TestSteadyTrafficUsesItsRatio(t *testing.T) {
	const ratio = 0.9
	wi := retry.NewWindow(10*time.Second, ratio, fixedSlack(0))
	requests, retries := 0, 0
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(20 * time.Millisecond) {
		rq := sent(wi, now, 1)
		if now.Before(start.Add(20 * time.Second)) {
			continue
		}
		requests++
		if rq.Spend(now, retry.Retry) {
			at, ok := rq.Send(now, "up")
			assert.Assert(t, ok)
			at.Confirm(now)
			retries++
		}
	}
	used := float64(retries) / float64(requests)
	assert.Assert(t, used > 0.95*ratio && used <= ratio, "%.3f retries for each request", used)
}

// Guards against a part of the slack that another entry takes while a retry paid for by it may still arrive.
func TestRetriesArriveWithinTheSettleTime(t *testing.T) {
	assert.Assert(t, retry.HoldTime+retry.TransitTime <= share.SettleTime)
}
