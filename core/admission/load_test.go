package admission_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// shorten reduces a scenario's length, since CI runs the tests with the race
// detector.
func shorten(sc scenario) scenario {
	sc.length = 2 * time.Minute
	return sc
}

// The load exceeds the pool's capacity threefold. Without admission control the
// queue grows until most responses arrive after their callers have timed out.
// With it, at least 95% of the tokens of the full load arrive in time, and all
// other requests are refused at once.
func TestSaturationKeepsGoodput(t *testing.T) {
	for _, sh := range shapes() {
		t.Run(sh.name, func(t *testing.T) {
			t.Parallel()
			sc := shorten(sh.make())
			full, over := simulate(sc, policy{}), simulate(sc.atLoad(3), policy{})
			fifo := simulate(sc.atLoad(3), policy{fifo: true})
			assert.Assert(t, over.goodTokens() >= 0.95*full.goodTokens())
			assert.Assert(t, over.goodTokens() >= 1.5*fifo.goodTokens(), "the baseline policy passes too, so the scenario does not reproduce the fault")
			assert.Equal(t, over.lateRefusals(), 0, "refusals sent more than 50ms after arrival")
		})
	}
}

// Compares admission control to an unbounded queue in every scenario that the
// users named: the tokens and responses that arrive in time, and the delay of
// refusals.
func TestScenarios(t *testing.T) {
	scenarios := []struct {
		testName string
		change   func(*scenario)
		load     float64
		better   float64 // least tokens in time, as a multiple of the baseline
		inTime   float64 // least fraction of the requests answered in time
	}{
		{"a burst of five times the load", func(sc *scenario) { sc.burst = 5 }, 0.7, 1, 0.75},
		{"long and short requests mixed", func(sc *scenario) { *sc = sc.withMixedSizes() }, 2, 1.1, 0.8},
		{"half of the pool lost", func(sc *scenario) { sc.halfLost = true }, 0.8, 1, 0.8},
		{"a region's upstreams cut off", func(sc *scenario) { sc.partitioned = true }, 0.6, 0.99, 0.98},
		{"load reports one second old", func(sc *scenario) { sc.stale = true }, 0.8, 0.99, 0.98},
		{"one workspace at ten times its share", func(sc *scenario) { *sc = sc.withNoisyWorkspace() }, 0.8, 1, 0.7},
	}
	for _, tc := range scenarios {
		for _, build := range []func() scenario{landesamt, association} {
			t.Run(tc.testName, func(t *testing.T) {
				t.Parallel()
				sc := shorten(build()).atLoad(tc.load).with(tc.change)
				ours, fifo := simulate(sc, policy{}), simulate(sc, policy{fifo: true})
				answeredShare := float64(ours.count(answered)) / float64(len(ours.requests))
				t.Logf("in time %.3f, fifo %.3f; tokens %.0f, fifo %.0f; late %d; cross-region bytes %d", answeredShare,
					float64(fifo.count(answered))/float64(len(fifo.requests)), ours.goodTokens(), fifo.goodTokens(), ours.lateRefusals(), ours.crossRegionBytes)
				assert.Assert(t, ours.goodTokens() >= tc.better*fifo.goodTokens())
				assert.Assert(t, answeredShare >= tc.inTime)
				assert.Equal(t, ours.lateRefusals(), 0, "refusals sent more than 50ms after arrival")
				assert.Assert(t, float64(ours.crossRegionBytes) <= 2*450*1024*sc.length.Seconds(), "too many bytes over the paid link")
			})
		}
	}
}

// One upstream becomes ten times slower and stays up. Once it is avoided, its load
// report looks idle, so balancing by load keeps sending to it, and one caller in a
// dozen waits ten times as long.
func TestSlowUpstreamIsAvoided(t *testing.T) {
	for _, build := range []func() scenario{landesamt, association} {
		sc := shorten(build()).atLoad(0.6)
		healthy := simulate(sc, policy{})
		slow := simulate(sc.with(func(sc *scenario) { sc.slow = 10 }), policy{})
		random := simulate(sc.with(func(sc *scenario) { sc.slow = 10 }), policy{balancing: "random"})
		assert.Assert(t, slow.percentile(0.99, "", whole) <= 1.5*healthy.percentile(0.99, "", whole))
		assert.Assert(t, random.percentile(0.99, "", whole) > 1.5*healthy.percentile(0.99, "", whole), "the baseline policy passes too, so the scenario does not reproduce the fault")
	}
}

// One workspace sends ten times its share, such as a script in a loop. The p95
// latency of the other workspaces may rise by 15% at most.
func TestNoisyWorkspaceIsContained(t *testing.T) {
	for _, sh := range shapes() {
		t.Run(sh.name, func(t *testing.T) {
			t.Parallel()
			sc := shorten(sh.make()).atLoad(0.6)
			quiet, noisy := simulate(sc, policy{}), simulate(sc.withNoisyWorkspace(), policy{})
			assert.Assert(t, noisy.percentile(0.95, "w9", whole) <= 1.15*quiet.percentile(0.95, "w9", whole))
			fifo := simulate(sc.withNoisyWorkspace(), policy{fifo: true})
			assert.Assert(t, fifo.percentile(0.95, "w9", whole) > 1.5*quiet.percentile(0.95, "w9", whole), "the baseline policy passes too, so the scenario does not reproduce the fault")
		})
	}
}

// A fifth of all attempts fails while the pool is full. Each failed attempt wastes
// capacity; three attempts per request would amplify the overload.
func TestRetriesDoNotAmplify(t *testing.T) {
	sc := shorten(association()).atLoad(3).with(func(sc *scenario) { sc.failing = 0.2 })
	assert.Assert(t, simulate(sc, policy{}).attemptsPerRequest() <= 1.1)
	assert.Assert(t, simulate(sc, policy{retries: true}).attemptsPerRequest() > 1.15, "the baseline policy passes too, so the scenario does not reproduce the fault")
}
