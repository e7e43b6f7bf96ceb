package shed_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/shed"
)

// pool is an engine pool that prefills one prompt after the other: a request waits until all
// prompts before it are prefilled.
type pool struct {
	now     time.Time
	readyAt time.Time
	prefill time.Duration
}

func newPool() *pool {
	now := time.Unix(0, 0)
	return &pool{now: now, readyAt: now, prefill: 20 * time.Millisecond}
}

func (po *pool) wait() time.Duration { return max(po.readyAt.Sub(po.now), 0) }

// process prefills a prompt and returns the time from its arrival to its first token.
func (po *pool) process() time.Duration {
	wait := po.wait()
	po.readyAt = po.now.Add(wait + po.prefill)
	return wait + po.prefill
}

const (
	target = 2 * time.Second
)

// counts holds the outcomes of a workspace's requests.
type counts struct{ arrived, inTime, refused int }

// overload simulates a multiple of the pool's capacity for 20 seconds, with callers of three
// workspaces, of which the first sends more than the others.
func overload(times float64, noisyShare float64, shedding bool) map[core.WorkspaceID]*counts {
	po, ga, rn := newPool(), shed.New(), rand.New(rand.NewPCG(1, 2))
	out := map[core.WorkspaceID]*counts{"a": {}, "b": {}, "c": {}}
	interval := time.Duration(float64(po.prefill) / times)
	for range int(20 * time.Second / interval) {
		po.now = po.now.Add(time.Duration(2 * rn.Float64() * float64(interval)))
		ws := core.WorkspaceID([]string{"a", "b", "c"}[rn.IntN(3)])
		if rn.Float64() < noisyShare {
			ws = "a"
		}
		co := out[ws]
		co.arrived++
		rq := shed.Request{Wait: po.wait(), Target: target, Workspace: ws, Urgent: true, Draw: rn.Float64()}
		if _, ok := ga.Admit(po.now, rq); shedding && !ok {
			co.refused++
			continue
		}
		if po.process() <= 3*target+po.prefill {
			co.inTime++
		}
	}
	return out
}

func sum(all map[core.WorkspaceID]*counts) counts {
	var out counts
	for _, co := range all {
		out.arrived, out.inTime, out.refused = out.arrived+co.arrived, out.inTime+co.inTime, out.refused+co.refused
	}
	return out
}

// More requests arrive than the engines can answer, for twenty seconds. Guards against a queue
// in which late requests wait behind all earlier ones, so that none is answered in time any
// more. With admission control the engines answer as many as they can, and the other requests
// are refused at once.
func TestOverloadKeepsGoodput(t *testing.T) {
	scenarios := []struct {
		testName string
		times    float64
		least    float64 // share of the pool's capacity
	}{
		{"one and a half times", 1.5, 0.9},
		{"twice", 2, 0.9},
		{"three times", 3, 0.9},
		{"seven times", 7, 0.9},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			with, without := sum(overload(sc.times, 0, true)), sum(overload(sc.times, 0, false))
			required := sc.least * float64(with.arrived) / sc.times
			assert.Assert(t, float64(with.inTime) >= required, "%d of %d answered in time, the pool's capacity is %.0f", with.inTime, with.arrived, required/sc.least)
			if sc.times >= 2 {
				assert.Assert(t, with.inTime > 3*without.inTime/2, "%d answered in time, %d without load shedding", with.inTime, without.inTime)
			}
		})
	}
}

// The load is below the pool's capacity. Guards against refusals after chance bursts of
// arrivals.
func TestNoRefusalBelowCapacity(t *testing.T) {
	for _, times := range []float64{0.3, 0.7, 0.95} {
		assert.Equal(t, sum(overload(times, 0.5, true)).refused, 0, "refusals at %.2f of the capacity", times)
	}
}

// One workspace sends most of the requests that overload the pool. Guards against starving the
// other workspaces, and against refusing the noisy one altogether.
func TestNoisyWorkspaceDoesNotStarveOthers(t *testing.T) {
	all := overload(3, 0.9, true)
	served := func(co *counts) float64 { return float64(co.inTime) / float64(co.arrived) }
	assert.Assert(t, served(all["b"]) > 1.3*served(all["a"]), "answered in time: %.2f of another workspace's requests, %.2f of the noisy one's", served(all["b"]), served(all["a"]))
	assert.Assert(t, served(all["a"]) > 0.15, "answered in time: %.2f of the noisy workspace's requests", served(all["a"]))
}

// Hundreds of callers are refused within a second. Guards against a Retry-After that is the same
// for all: they would retry together and meet the same queue.
func TestRetryAfterIsStaggered(t *testing.T) {
	ga, now := shed.New(), time.Unix(0, 0)
	for range 200 { // Fifty requests per second are admitted.
		now = now.Add(20 * time.Millisecond)
		_, ok := ga.Admit(now, shed.Request{Target: target})
		assert.Assert(t, ok)
	}
	var retries []time.Time
	for range 300 {
		retryAfter, ok := ga.Admit(now, shed.Request{Wait: 4 * target, Target: target})
		assert.Assert(t, !ok && retryAfter >= 4*target)
		retries = append(retries, now.Add(retryAfter))
		now = now.Add(time.Millisecond)
	}
	assert.Assert(t, slices.IsSortedFunc(retries, time.Time.Compare))
	span := retries[len(retries)-1].Sub(retries[0]).Seconds()
	assert.Assert(t, span > 4.5 && span < 8, "retries spread over %.1f s for 300 callers at 50 per second", span)
}
