package cascade_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/cascade"
)

// Whatever a workspace asks for and however it weighs waiting, the mix of its
// answers has the quality that it asked for, and costs less than the costly
// stage alone.
func TestMixMeetsTarget(t *testing.T) {
	for _, sc := range []struct {
		testName string
		target   core.Quality
		price    core.Millicents
	}{
		{"low target, patient", 0.8, 5},
		{"usual target, patient", 0.9, 5},
		{"usual target, hasty", 0.9, 3000},
		{"high target, patient", 0.95, 5},
	} {
		t.Run(sc.testName, func(t *testing.T) {
			asks := draw(12_000, 3, shape[:])
			got := learn(asks, sc.target, sc.price, 4)
			assert.Assert(t, got.mean() > float64(sc.target)-0.01, "quality %.4f", got.mean())
			assert.Assert(t, got.mean() < float64(sc.target)+0.02, "quality %.4f is paid for and not asked for", got.mean())
			assert.Assert(t, got.cost < always(asks, 1).cost)
		})
	}
}

// A cheap version turns bad in service: from one request to the next it passes
// a third as often. Were the old ratings kept for good, callers would get bad
// answers for as long as the good days had lasted.
func TestStageThatTurnsBad(t *testing.T) {
	bad := shape
	for i := range bad {
		bad[i].passes[0] /= 3
	}
	asks := append(draw(6000, 7, shape[:]), draw(6000, 8, bad[:])...)
	got := learn(asks, 0.9, 5, 9)
	assert.Assert(t, got.mean() > 0.88, "quality %.4f", got.mean())
}

// Thousands of good ratings came within minutes, and then the version turns
// bad. Were each of them to count as much as a new one, callers would be given
// its answers for as long again before the learner believed the new ones.
func TestOldRatingsDoNotOutvoteNewOnes(t *testing.T) {
	le, qu, now := cascade.NewLearner(), question(0, 0.9, 5), time.Unix(1_000_000, 0)
	for i := range 6000 {
		got := core.Quality(1)
		if i >= 5000 {
			got = 0
		}
		now = now.Add(10 * time.Millisecond)
		le.Rated(now, qu, 0, cascade.First, got)
	}
	assert.Assert(t, le.Expected(now, qu, 0, cascade.First) < 0.1)
}

// A cheap version was bad and so is not the first choice any more; then it is
// mended. Unless a few requests go on trying it, nobody notices, and callers
// pay for the costly one for good. More than a few would be worse than either.
func TestMendedStageIsFoundAgain(t *testing.T) {
	le, qu, now := cascade.NewLearner(), question(0, 0.9, 0), time.Unix(1_000_000, 0)
	run := func(good core.Quality, draw float64) int {
		now = now.Add(100 * time.Millisecond)
		de := le.Start(now, qu, draw)
		le.Ran(now, qu, de.Stage, qu.Stages[de.Stage].Cost, time.Second)
		if de.Stage == 0 {
			le.Rated(now, qu, 0, cascade.First, good)
		}
		le.Done(qu, qu.Target, time.Second) // The mix is kept at its target.
		return de.Stage
	}
	for range 400 {
		run(0, 0.5)
	}
	assert.Equal(t, run(0, 0.5), 1)
	now = now.Add(3 * time.Hour) // What was seen has faded.
	explored, back := 0, 0
	for i := range 1000 {
		draw := float64(i%100) / 100
		if run(1, draw) == 0 && draw >= 0.02 {
			back++
		} else if draw < 0.02 {
			explored++
		}
	}
	assert.Assert(t, explored <= 20)
	assert.Assert(t, back > 900, "back to the cheap stage for %d of 980", back)
}

// The rating service is away, so nobody can tell a good cheap answer from a
// bad one. The answer comes from the cheapest stage that was declared good
// enough; a caller gets no worse answers than were promised.
func TestFallback(t *testing.T) {
	for _, sc := range []struct {
		testName string
		target   core.Quality
		stage    int
	}{
		{"the cheap stage is declared good enough", 0.75, 0},
		{"only the costly one is", 0.9, 1},
		{"none is: the best", 0.99, 1},
	} {
		t.Run(sc.testName, func(t *testing.T) {
			assert.Equal(t, question(0, sc.target, 5).Fallback(), sc.stage)
		})
	}
}

// The rating service stops answering. If every request waited for it, callers
// would see all answers late by the whole limit; so after three misses one
// request a second waits, until one rating comes.
func TestHealthProbes(t *testing.T) {
	he, now := &cascade.Health{}, time.Unix(1000, 0)
	for i := range 3 {
		assert.Assert(t, he.Ask(now))
		assert.Equal(t, he.Note(now, false), i == 2)
	}
	waited := 0
	for range 1000 { // 10 s of 100 requests a second.
		now = now.Add(10 * time.Millisecond)
		if he.Ask(now) {
			waited++
			he.Note(now, false)
		}
	}
	assert.Equal(t, waited, 10)
	he.Note(now, true)
	for range 2 {
		assert.Assert(t, he.Ask(now))
	}
}
