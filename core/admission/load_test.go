package admission_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// brief shortens a situation: the tests run in CI with the race detector.
func brief(sit situation) situation {
	sit.length = 2 * time.Minute
	return sit
}

// More work arrives than a pool can do: before Advent for the wholesalers, at
// the end of a budget year for the offices. Without admission the queue grows
// until most answers come after their callers have gone, and a caller notices
// nothing but silence. With it, as many tokens reach callers in time as at the
// full load, and all others are told at once.
func TestSaturationKeepsGoodput(t *testing.T) {
	for _, sh := range shapes() {
		t.Run(sh.name, func(t *testing.T) {
			t.Parallel()
			sit := brief(sh.make())
			full, over := simulate(sit, policy{}), simulate(sit.at(3), policy{})
			fifo := simulate(sit.at(3), policy{fifo: true})
			assert.Assert(t, over.goodUnits() >= 0.95*full.goodUnits())
			assert.Assert(t, over.goodUnits() >= 1.5*fifo.goodUnits(), "the fault does not show without the remedy")
			assert.Equal(t, over.late(), 0, "refusals that came late")
		})
	}
}

// Every situation that the users name, beside a queue without refusal. What a
// caller notices is whether its answer comes in time, and when it is told that
// it will not.
func TestSituations(t *testing.T) {
	scenarios := []struct {
		testName string
		change   func(*situation)
		load     float64
		better   float64 // tokens in time over those of the baseline
		inTime   float64 // least part of the requests answered in time
	}{
		{"a burst of five times the load", func(sit *situation) { sit.burst = 5 }, 0.7, 1, 0.75},
		{"long and short work mixed", func(sit *situation) { *sit = sit.mixed() }, 2, 1.1, 0.8},
		{"half of the pool lost", func(sit *situation) { sit.lostHalf = true }, 0.8, 1, 0.8},
		{"a region's upstreams cut off", func(sit *situation) { sit.cut = true }, 0.6, 0.99, 0.98},
		{"reports of a second ago", func(sit *situation) { sit.stale = true }, 0.8, 0.99, 0.98},
		{"one workspace at ten times its share", func(sit *situation) { *sit = sit.hog() }, 0.8, 1, 0.7},
	}
	for _, sc := range scenarios {
		for _, make := range []func() situation{landesamt, association} {
			t.Run(sc.testName, func(t *testing.T) {
				t.Parallel()
				sit := brief(make()).at(sc.load).with(sc.change)
				ours, fifo := simulate(sit, policy{}), simulate(sit, policy{fifo: true})
				part := float64(ours.count(answered)) / float64(len(ours.requests))
				t.Logf("in time %.3f, fifo %.3f; tokens %.0f, fifo %.0f; late %d; crossed %d", part,
					float64(fifo.count(answered))/float64(len(fifo.requests)), ours.goodUnits(), fifo.goodUnits(), ours.late(), ours.crossed)
				assert.Assert(t, ours.goodUnits() >= sc.better*fifo.goodUnits())
				assert.Assert(t, part >= sc.inTime)
				assert.Equal(t, ours.late(), 0, "refusals that came late")
				assert.Assert(t, float64(ours.crossed) <= 2*450*1024*sit.length.Seconds(), "bytes over the paid link")
			})
		}
	}
}

// One upstream becomes ten times slower and stays up. Its report looks idle
// once it is avoided, so balancing by load keeps sending to it, and one caller
// in a dozen waits ten times as long.
func TestSlowUpstreamIsAvoided(t *testing.T) {
	for _, make := range []func() situation{landesamt, association} {
		sit := brief(make()).at(0.6)
		sound := simulate(sit, policy{})
		slow := simulate(sit.with(func(sit *situation) { sit.slow = 10 }), policy{})
		random := simulate(sit.with(func(sit *situation) { sit.slow = 10 }), policy{place: "random"})
		assert.Assert(t, slow.percentile(0.99, "", whole) <= 1.5*sound.percentile(0.99, "", whole))
		assert.Assert(t, random.percentile(0.99, "", whole) > 1.5*sound.percentile(0.99, "", whole), "the fault does not show without the remedy")
	}
}

// One workspace sends ten times its share, by a loop in somebody's script. The
// others' callers must hardly notice.
func TestHogIsContained(t *testing.T) {
	for _, sh := range shapes() {
		t.Run(sh.name, func(t *testing.T) {
			t.Parallel()
			sit := brief(sh.make()).at(0.6)
			calm, hog := simulate(sit, policy{}), simulate(sit.hog(), policy{})
			assert.Assert(t, hog.percentile(0.95, "w9", whole) <= 1.15*calm.percentile(0.95, "w9", whole))
			fifo := simulate(sit.hog(), policy{fifo: true})
			assert.Assert(t, fifo.percentile(0.95, "w9", whole) > 1.5*calm.percentile(0.95, "w9", whole), "the fault does not show without the remedy")
		})
	}
}

// A fifth of all attempts fails while the pool is full. Each failed attempt is
// work for nothing; three tries for each request would turn the overload into
// a larger one.
func TestRetriesDoNotAmplify(t *testing.T) {
	sit := brief(association()).at(3).with(func(sit *situation) { sit.failing = 0.2 })
	assert.Assert(t, simulate(sit, policy{}).amplified() <= 1.1)
	assert.Assert(t, simulate(sit, policy{retries: true}).amplified() > 1.15, "the fault does not show without the remedy")
}
