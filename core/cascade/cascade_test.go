package cascade_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/cascade"
)

// For each quality target and latency price of a workspace, the mix of its answers
// meets the target, and costs less than the costly stage alone.
func TestMixMeetsTarget(t *testing.T) {
	for _, sc := range []struct {
		testName string
		target   core.Quality
		price    core.Millicents
	}{
		{"low target, low latency price", 0.8, 5},
		{"usual target, low latency price", 0.9, 5},
		{"usual target, high latency price", 0.9, 3000},
		{"high target, low latency price", 0.95, 5},
	} {
		t.Run(sc.testName, func(t *testing.T) {
			requests := generate(12_000, 3, classes[:])
			got := simulate(requests, sc.target, sc.price, 4)
			assert.Assert(t, got.mean() > float64(sc.target)-0.01, "quality %.4f", got.mean())
			assert.Assert(t, got.mean() < float64(sc.target)+0.02, "quality %.4f exceeds the target by more than 0.02 and costs too much", got.mean())
			assert.Assert(t, got.cost < alwaysStage(requests, 1).cost)
		})
	}
}

// A cheap version degrades in operation: from one request to the next, its pass rate
// falls to a third. If old ratings never lost weight, callers would get bad answers for
// as long as the version had been good.
func TestStageQualityDrops(t *testing.T) {
	bad := classes
	for i := range bad {
		bad[i].passRates[0] /= 3
	}
	requests := append(generate(6000, 7, classes[:]), generate(6000, 8, bad[:])...)
	got := simulate(requests, 0.9, 5, 9)
	assert.Assert(t, got.mean() > 0.88, "quality %.4f", got.mean())
}

// A version gets thousands of good ratings within minutes, and then degrades. If each of
// them counted as much as a new one, callers would get bad answers for as long again
// before the estimate changes.
func TestNewRatingsOutweighOldOnes(t *testing.T) {
	le, rq, now := cascade.NewLearner(), newRequest(0, 0.9, 5), time.Unix(1_000_000, 0)
	for i := range 6000 {
		got := core.Quality(1)
		if i >= 5000 {
			got = 0
		}
		now = now.Add(10 * time.Millisecond)
		le.RecordRating(now, rq, 0, cascade.First, got)
	}
	assert.Assert(t, le.Expected(now, rq, 0, cascade.First) < 0.1)
}

// A cheap version degrades, is no longer the first choice, and then recovers. Unless a
// few requests explore it, the recovery is never detected and callers keep paying for
// the costly one. More than a few explorations would cost more than they save.
func TestRecoveredStageIsChosenAgain(t *testing.T) {
	le, rq, now := cascade.NewLearner(), newRequest(0, 0.9, 0), time.Unix(1_000_000, 0)
	run := func(good core.Quality, draw float64) int {
		now = now.Add(100 * time.Millisecond)
		de := le.Start(now, rq, draw)
		le.RecordRun(now, rq, de.Stage, rq.Stages[de.Stage].Cost, time.Second)
		if de.Stage == 0 {
			le.RecordRating(now, rq, 0, cascade.First, good)
		}
		le.RecordResult(rq, rq.Target, time.Second) // Keeps the mix at its target.
		return de.Stage
	}
	for range 400 {
		run(0, 0.5)
	}
	assert.Equal(t, run(0, 0.5), 1)
	now = now.Add(3 * time.Hour) // The old observations have decayed.
	explored, chosen := 0, 0
	for i := range 1000 {
		draw := float64(i%100) / 100
		if run(1, draw) == 0 && draw >= 0.02 {
			chosen++
		} else if draw < 0.02 {
			explored++
		}
	}
	assert.Assert(t, explored <= 20)
	assert.Assert(t, chosen > 900, "the cheap stage was the first choice for %d of 980 requests", chosen)
}

// Without the rating service, a bad cheap answer can't be detected. The cheapest stage
// whose declared quality meets the target answers, so that callers get at least the
// declared quality.
func TestFallback(t *testing.T) {
	for _, sc := range []struct {
		testName string
		target   core.Quality
		stage    int
	}{
		{"the cheap stage meets the target", 0.75, 0},
		{"only the costly stage meets the target", 0.9, 1},
		{"no stage meets the target: the best one", 0.99, 1},
	} {
		t.Run(sc.testName, func(t *testing.T) {
			assert.Equal(t, newRequest(0, sc.target, 5).Fallback(), sc.stage)
		})
	}
}

// The rating service stops responding. If every request waited for it, all answers would
// be late by the full timeout; so after three misses only one request per second waits,
// until a rating arrives.
func TestHealthProbesWhileRaterIsDown(t *testing.T) {
	rh, now := &cascade.RaterHealth{}, time.Unix(1000, 0)
	for i := range 3 {
		assert.Assert(t, rh.AllowWait(now))
		assert.Equal(t, rh.Record(now, false), i == 2)
	}
	waited := 0
	for range 1000 { // 10 s at 100 requests per second.
		now = now.Add(10 * time.Millisecond)
		if rh.AllowWait(now) {
			waited++
			rh.Record(now, false)
		}
	}
	assert.Equal(t, waited, 10)
	rh.Record(now, true)
	for range 2 {
		assert.Assert(t, rh.AllowWait(now))
	}
}
