package rollout

import (
	"math"

	"skylarkstand/core"
)

// MaxFalseHaltChance bounds the chance that a version that is no worse is halted, over its
// complete roll-out.
const MaxFalseHaltChance = 0.01

// Kind is the kind of evidence that an outcome provides.
type Kind int

// The kinds of evidence.
const (
	// Rating: the rating service rated an answer.
	Rating Kind = iota
	// Error: an attempt ended with or without an error of the upstream.
	Error
	// Crash: the upstream was or was not lost during an attempt.
	Crash
	kinds
)

// Valid reports whether a kind is one of these: an entry of another release may send others.
func (ki Kind) Valid() bool { return ki >= Rating && ki < kinds }

// String returns the text for a kind in the evidence that operators read.
func (ki Kind) String() string { return [...]string{"rated badly", "failed", "lost"}[ki] }

// kindWeights divide the chance of a false halt among the kinds. Ratings receive most of it: a
// worse version far more often answers wrongly than breaks, and one that breaks shows it in nearly
// every attempt.
var kindWeights = [kinds]float64{0.7, 0.15, 0.15}

// effects are the regressions that the test looks for, as differences of the rates of bad outcomes,
// and their weights. A regression well below the smallest effect lowers all products in the long
// run, so that a version is not halted for a difference that operators would accept. Most of the
// weight is on regressions that are both likely and worth a quick halt.
var effects = [...]struct{ diff, weight float64 }{{0.05, 0.1}, {0.1, 0.2}, {0.2, 0.4}, {0.4, 0.3}}

const (
	// maxControls bounds the stable version's outcomes in a block with one of the new version's.
	// Each costs a rating; beyond eight, nearly all of the remaining variance comes from the new
	// version's own outcomes.
	maxControls = 8
	// maxStable bounds the stable outcomes that wait for a block: a few seconds' worth, since they
	// arrive in batches. Older ones are dropped, because both sides must come from the same period.
	maxStable = 32 * maxControls
	// maxWaiting is how many of the new version's outcomes wait for a full block; beyond it a
	// smaller block is used.
	maxWaiting = 4
	// maxUncontrolled is how many of the new version's outcomes may arrive in a row without a
	// stable outcome. After that they are tested against the stable version's earlier rate,
	// observed or declared: once all sessions have moved to the new version, the guard must still
	// detect a fault. It is well above what a batch brings by chance. It also bounds the outcomes
	// that wait.
	maxUncontrolled = 64
	// priorWeight is the number of outcomes that the declared rate counts for, and rateWindow
	// bounds the weight of the observed ones.
	priorWeight = 10
	rateWindow  = 500
	// initialFaultRate is the rate of failed and of lost attempts before any was observed.
	initialFaultRate = 0.005
	// minRate and maxRate prevent a single outcome from deciding a test: at a rate of 0 the first
	// bad one would be infinitely unlikely.
	minRate = 0.005
	maxRate = 0.9
)

// sequentialTest tests one kind of evidence. For each effect it accumulates the likelihood ratio
// between "the new version is worse by that much" and "both versions are alike". Each product is an
// e-process: if the version is no worse, its expected value never grows, so by Ville's inequality
// it ever exceeds 1/a with a chance of at most a.
//
// The outcomes come in blocks of one of the new version and several of the stable one. Within a
// block the common rate under "both are alike" is the mean of the two assumed rates, which keeps
// the product valid whatever the true rate is, and even if it changes from block to block (Turner,
// Ly, Grünwald 2021).
type sequentialTest struct {
	// controls is how many stable outcomes make a full block. With 0, the new version's outcomes
	// are tested without any.
	controls int
	// declaredOnly tests the new version against its own declared rate alone.
	declaredOnly bool
	declared     float64
	bad, all     float64
	stable       []bool
	waiting      []bool
	// uncontrolled counts the new version's outcomes since the last stable one.
	uncontrolled int
	logProducts  [len(effects)]float64
	// seen counts the outcomes of the stable version (0) and of the new one (1).
	seen [2]tally
}

// tally counts outcomes for the evidence that operators read.
type tally struct{ bad, all int }

func newSequentialTest(declared float64, controls int) *sequentialTest {
	return &sequentialTest{declared: clamp(declared), controls: controls, bad: priorWeight * clamp(declared), all: priorWeight}
}

func clamp(rate float64) float64 { return min(max(rate, minRate), maxRate) }

// observe records one outcome and reports whether the products have changed.
func (st *sequentialTest) observe(candidate, bad bool) bool {
	st.recordOutcome(candidate, bad)
	if candidate {
		st.waiting = append(st.waiting, bad)
		st.uncontrolled++
	} else {
		st.stable = append(st.stable, bad)
		st.uncontrolled = 0
		if st.controls == 0 {
			st.updateRate(st.stable)
			st.stable = nil
		}
	}
	if len(st.stable) > maxStable {
		st.stable = st.stable[1:]
	}
	changed := false
	for len(st.waiting) > 0 && st.blockReady() {
		st.testOldest()
		changed = true
	}
	if len(st.waiting) > maxUncontrolled {
		st.waiting = st.waiting[1:]
	}
	return changed
}

// recordOutcome counts an outcome of the candidate version or of the stable one.
func (st *sequentialTest) recordOutcome(candidate, bad bool) {
	ta := &st.seen[0]
	if candidate {
		ta = &st.seen[1]
	}
	ta.all++
	if bad {
		ta.bad++
	}
}

// blockReady depends on the number of outcomes only, never on whether they are bad: blocks cut
// according to their content would invalidate the test.
func (st *sequentialTest) blockReady() bool {
	switch {
	case st.controls == 0 || st.uncontrolled > maxUncontrolled:
		return true
	case len(st.stable) == 0:
		return false
	default:
		return len(st.stable) >= st.controls || len(st.waiting) > maxWaiting
	}
}

// testOldest tests the oldest waiting outcome of the candidate against a block of the newest stable
// ones. It uses the stable version's rate from before the block.
func (st *sequentialTest) testOldest() {
	bad := st.waiting[0]
	st.waiting = st.waiting[1:]
	from := max(len(st.stable)-st.controls, 0)
	controls := st.stable[from:]
	if len(controls) == 0 {
		st.updateProducts(st.referenceRate(), bad, nil)
		return
	}
	st.updateProducts(clamp(st.bad/st.all), bad, controls)
	st.updateRate(controls)
	st.stable = st.stable[:from]
}

// referenceRate is the rate that an outcome without controls is tested against: the observed rate
// of the stable version plus its uncertainty. A version must not be halted because the stable one
// was observed too rarely.
func (st *sequentialTest) referenceRate() float64 {
	if st.declaredOnly {
		return st.declared
	}
	rate := clamp(st.bad / st.all)
	return clamp(rate + math.Sqrt(rate*(1-rate)/st.all))
}

func countBad(outcomes []bool) int {
	bad := 0
	for _, ou := range outcomes {
		if ou {
			bad++
		}
	}
	return bad
}

func (st *sequentialTest) updateProducts(rate float64, bad bool, controls []bool) {
	badControls, all := float64(countBad(controls)), float64(len(controls))
	for i, ef := range effects {
		worse := min(rate+ef.diff, 0.99)
		both := rate
		if all > 0 {
			both = (rate*all + worse) / (all + 1)
		}
		st.logProducts[i] += logLikelihoodRatio(worse, both, bad)
		st.logProducts[i] += badControls*logLikelihoodRatio(rate, both, true) + (all-badControls)*logLikelihoodRatio(rate, both, false)
	}
}

// logLikelihoodRatio returns the logarithm of the likelihood of an outcome at the failure rate p1,
// divided by that at p0.
func logLikelihoodRatio(p1, p0 float64, bad bool) float64 {
	if bad {
		return math.Log(p1 / p0)
	}
	return math.Log((1 - p1) / (1 - p0))
}

func (st *sequentialTest) updateRate(outcomes []bool) {
	st.bad += float64(countBad(outcomes))
	st.all += float64(len(outcomes))
	if st.all > rateWindow {
		st.bad *= rateWindow / st.all
		st.all = rateWindow
	}
}

// evidence returns the weighted mean of the products.
func (st *sequentialTest) evidence() float64 {
	sum := 0.0
	for i, ef := range effects {
		sum += ef.weight * math.Exp(st.logProducts[i])
	}
	return sum
}

// controlsFor returns how many stable outcomes there are for each one of a version that receives a
// percentage of the new sessions.
func controlsFor(percent int) int {
	if percent >= 100 {
		return 0
	}
	return min(max((100-percent)/max(percent, 1), 1), maxControls)
}

// declaredWorseBy is the difference of declared qualities from which on a version is meant to be
// worse because it is cheaper. It is then tested against its own declared quality; compared with
// the stable version it would always be halted.
const declaredWorseBy = 0.02

func newSequentialTests(stable, candidate core.Quality, percent int) [kinds]*sequentialTest {
	controls := controlsFor(percent)
	rated := newSequentialTest(1-float64(stable), controls)
	if candidate < stable-declaredWorseBy {
		rated = newSequentialTest(1-float64(candidate), 0)
		rated.declaredOnly = true
	}
	return [kinds]*sequentialTest{Rating: rated, Error: newSequentialTest(initialFaultRate, controls), Crash: newSequentialTest(initialFaultRate, controls)}
}
