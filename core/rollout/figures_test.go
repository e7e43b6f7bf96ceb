package rollout_test

import (
	"os"
	"slices"
	"testing"

	"skylarkstand/test/figure"
)

// exposure simulates a roll-out many times and returns the number of callers that were assigned the
// candidate before its halt, at the median and at p95. A run that was never halted counts with all
// its callers.
func exposure(t *testing.T, si simulation, runs int) (median, p95 float64) {
	var all []int
	for seed := range runs {
		exposed, _ := si.simulate(t, uint64(seed))
		all = append(all, exposed)
	}
	slices.Sort(all)
	return float64(all[runs/2]), float64(all[runs*95/100])
}

// falseHalts simulates harmless roll-outs and returns the fraction that was halted.
func falseHalts(t *testing.T, si simulation, runs int) float64 {
	halts := 0
	for seed := range runs {
		if _, halted := si.simulate(t, uint64(10_000+seed)); halted {
			halts++
		}
	}
	return float64(halts) / float64(runs)
}

// fixedThreshold halts when the candidate's share of bad answers is a tenth
// above the stable version's after at least thirty ratings.
func fixedThreshold(seen [2][2]int) bool {
	if seen[1][0] < 30 || seen[0][0] == 0 {
		return false
	}
	return float64(seen[1][1])/float64(seen[1][0]) > float64(seen[0][1])/float64(seen[0][0])+0.1
}

func noGuard([2][2]int) bool { return false }

func TestFiguresQualityRollOut(t *testing.T) {
	if os.Getenv("SKYLARKSTAND_MEASURE") != "1" {
		t.Skip("figures are measured by make measure")
	}
	const runs, harmlessRuns, fewRuns, callers, maxCallers = 1000, 1000, 300, 2000, 9000
	bad := simulation{stable: 0.9, candidate: 0.7, percent: 5, entries: 3, callers: maxCallers}
	median, p95 := exposure(t, bad, runs)
	figure.AtMost("roll-out-exposed-median", median, "callers", 60)
	figure.AtMost("roll-out-exposed-p95", p95, "callers", 150)
	harmless := simulation{stable: 0.9, candidate: 0.9, percent: 5, entries: 3, callers: callers}
	figure.AtMost("roll-out-false-halts", falseHalts(t, harmless, harmlessRuns), "share", 0.01)

	separate, separateHarmless := bad, harmless
	separate.noHome, separateHarmless.noHome = true, true
	median, p95 = exposure(t, separate, runs)
	figure.Unbounded("roll-out-exposed-median-each-entry-alone", median, "callers")
	figure.Unbounded("roll-out-exposed-p95-each-entry-alone", p95, "callers")
	figure.Unbounded("roll-out-false-halts-each-entry-alone", falseHalts(t, separateHarmless, fewRuns), "share")

	slight := bad
	slight.candidate = 0.8
	median, p95 = exposure(t, slight, fewRuns)
	figure.Unbounded("roll-out-exposed-median-quality-0.80", median, "callers")
	figure.Unbounded("roll-out-exposed-p95-quality-0.80", p95, "callers")
	half := bad
	half.percent = 50
	median, p95 = exposure(t, half, fewRuns)
	figure.Unbounded("roll-out-exposed-median-at-half", median, "callers")
	figure.Unbounded("roll-out-exposed-p95-at-half", p95, "callers")

	threshold, thresholdHarmless := bad, harmless
	threshold.decide, thresholdHarmless.decide = fixedThreshold, fixedThreshold
	median, p95 = exposure(t, threshold, runs)
	figure.Unbounded("roll-out-fixed-threshold-exposed-median", median, "callers")
	figure.Unbounded("roll-out-fixed-threshold-exposed-p95", p95, "callers")
	figure.Unbounded("roll-out-fixed-threshold-false-halts", falseHalts(t, thresholdHarmless, fewRuns), "share")
	unguarded := bad
	unguarded.decide = noGuard
	median, _ = exposure(t, unguarded, 1)
	figure.Unbounded("roll-out-no-guard-exposed-in-half-an-hour", median, "callers")
}
