package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core/retry"
)

// Upstreams fail most of their requests, and every failure is retried. Guards against a pool
// that gets several times the requests of its callers and does not recover: in any interval of
// the window's length, the retries must stay below the ratio of the requests plus the burst,
// also when requests come in bursts.
func TestWindowBoundsEveryInterval(t *testing.T) {
	const length, ratio, burst = 10 * time.Second, 0.9, 13.0
	for seed := range uint64(20) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		wi := retry.NewWindow(length, ratio, fixedBurst(burst))
		now := time.Unix(1_000_000, 0)
		var requests, retries []time.Time
		for range 4000 {
			now = now.Add(time.Duration(rnd.ExpFloat64() * float64(20*time.Millisecond)))
			if rnd.Float64() < 0.01 {
				now = now.Add(time.Duration(rnd.IntN(6)) * time.Second)
			}
			wi.Arrived(now)
			requests = append(requests, now)
			for wi.Spend(now, retry.Retry) && rnd.Float64() < 0.8 {
				retries = append(retries, now)
			}
		}
		assert.Assert(t, len(retries) > 100)
		for i := 0; i < len(retries); i += 37 {
			from := retries[i]
			got := float64(between(retries, from, from.Add(length)))
			most := ratio*float64(between(requests, from.Add(-length/2), from.Add(length))) + burst
			assert.Assert(t, got <= most, "seed %d: %v retries, bound %v", seed, got, most)
		}
	}
}

func fixedBurst(burst float64) func() float64 { return func() float64 { return burst } }

// Many entries serve a few requests each, and all of these fail; some entries have discovered
// all siblings, others have just started and none. Guards against more retries by all together
// than the pool may get, after which it does not recover.
func TestEntriesKeepToTheSharedBurst(t *testing.T) {
	const length, ratio, burst = 10 * time.Second, 0.9, 80.0
	for _, entries := range []int{1, 4, 20, 100, 360} {
		for _, each := range []int{1, 2, 5, 20, 100} {
			now := time.Unix(1_000_000, 0)
			retries := 0
			for n := range entries {
				known := entries
				if n%2 == 0 && entries <= 20 {
					known = 0
				}
				wi := retry.NewWindow(length, ratio, func() float64 { return retry.BurstShare(burst, known) })
				for range each {
					wi.Arrived(now)
					for tries := 0; tries < 2 && wi.Spend(now, retry.Retry); tries++ {
						retries++
					}
				}
			}
			most := ratio*float64(entries*each) + burst
			assert.Assert(t, float64(retries) <= most, "%d entries, %d requests each: %d retries, bound %.0f", entries, each, retries, most)
		}
	}
}

func between(list []time.Time, from, to time.Time) int {
	n := 0
	for _, at := range list {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// A pool has nearly used up its retry budget. Guards against escalations that leave no budget
// for retries: after a refused escalation the caller gets the present answer, after a refused
// retry it gets none.
func TestRetryPrecedesEscalation(t *testing.T) {
	wi := retry.NewWindow(10*time.Second, 0.5, fixedBurst(0))
	now := time.Unix(1_000_000, 0)
	for range 100 {
		wi.Arrived(now)
	}
	for wi.Spend(now, retry.Escalation) {
	}
	assert.Assert(t, wi.Spend(now, retry.Retry))
}
