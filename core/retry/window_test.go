package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core/retry"
)

// Upstreams fail most of what they get, and every failure is tried again. The
// pool then gets several times the requests of its callers and does not
// recover. In any span of the window's length, the repeats must stay below the
// ratio of the requests and the slack, also when requests come in bursts.
func TestWindowHoldsInEverySpan(t *testing.T) {
	const length, ratio, slack = 10 * time.Second, 0.9, 13.0
	for seed := range uint64(20) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		wi := retry.NewWindow(length, ratio, fixed(slack))
		now := time.Unix(1_000_000, 0)
		var requests, repeats []time.Time
		for range 4000 {
			now = now.Add(time.Duration(rnd.ExpFloat64() * float64(20*time.Millisecond)))
			if rnd.Float64() < 0.01 {
				now = now.Add(time.Duration(rnd.IntN(6)) * time.Second)
			}
			wi.Arrived(now)
			requests = append(requests, now)
			for wi.Spend(now, retry.Retry) && rnd.Float64() < 0.8 {
				repeats = append(repeats, now)
			}
		}
		assert.Assert(t, len(repeats) > 100)
		for i := 0; i < len(repeats); i += 37 {
			from := repeats[i]
			got := float64(between(repeats, from, from.Add(length)))
			most := ratio*float64(between(requests, from.Add(-length/2), from.Add(length))) + slack
			assert.Assert(t, got <= most, "seed %d: %v repeats, bound %v", seed, got, most)
		}
	}
}

func fixed(slack float64) func() float64 { return func() float64 { return slack } }

// Many entries serve a few requests each, and all of these fail; some entries
// know all others, some have just started and know none. Together they must not
// repeat more than the pool may get, or it does not recover.
func TestEntriesKeepToTheSharedSlack(t *testing.T) {
	const length, ratio, slack = 10 * time.Second, 0.9, 80.0
	for _, entries := range []int{1, 4, 20, 100, 360} {
		for _, each := range []int{1, 2, 5, 20, 100} {
			now := time.Unix(1_000_000, 0)
			repeats := 0
			for n := range entries {
				known := entries
				if n%2 == 0 && entries <= 20 {
					known = 0
				}
				wi := retry.NewWindow(length, ratio, func() float64 { return retry.Share(slack, known) })
				for range each {
					wi.Arrived(now)
					for tries := 0; tries < 2 && wi.Spend(now, retry.Retry); tries++ {
						repeats++
					}
				}
			}
			most := ratio*float64(entries*each) + slack
			assert.Assert(t, float64(repeats) <= most, "%d entries, %d requests each: %d repeats of %.0f", entries, each, repeats, most)
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

// A pool has nearly used what may be repeated. A climb in a cascade then gives
// way, since its caller has an answer to get, and a failed request is still
// tried again.
func TestClimbGivesWayToRetry(t *testing.T) {
	wi := retry.NewWindow(10*time.Second, 0.5, fixed(0))
	now := time.Unix(1_000_000, 0)
	for range 100 {
		wi.Arrived(now)
	}
	for wi.Spend(now, retry.Climb) {
	}
	assert.Assert(t, wi.Spend(now, retry.Retry))
}
