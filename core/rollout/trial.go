package rollout

import (
	"math"

	"skylarkstand/core"
)

// FalseHalts bounds the chance that a roll-out of a version which is no worse
// is halted, over the whole of the roll-out.
const FalseHalts = 0.01

// Kind is what an outcome tells.
type Kind int

// The kinds of evidence.
const (
	// Rating: the rating service judged an answer.
	Rating Kind = iota
	// Error: an attempt ended with or without an error of the upstream.
	Error
	// Crash: an attempt's upstream was or was not lost under it.
	Crash
	kinds
)

// String names a kind in the evidence that operators read.
func (ki Kind) String() string { return [...]string{"rated badly", "failed", "lost"}[ki] }

// kindWeights divide the chance of a false halt among the kinds. Ratings get
// most: a version that is worse is far more often wrong than broken, and one
// that breaks shows it in nearly every attempt.
var kindWeights = [kinds]float64{0.7, 0.15, 0.15}

// effects are the regressions that are looked for, as a difference of the
// rates of bad outcomes, and their weights. A difference well below the least
// one gathers evidence against itself, so that a version is not halted for a
// difference that operators would accept. Most of the weight lies where a
// regression is both likely and worth a quick halt.
var effects = [...]struct{ diff, weight float64 }{{0.05, 0.1}, {0.1, 0.2}, {0.2, 0.4}, {0.4, 0.3}}

const (
	// perBlock bounds the stable version's outcomes that stand beside one of
	// the new version's. Each costs a rating; beyond eight, the chance in the
	// new version's own outcomes is nearly all that is left.
	perBlock = 8
	// maxStable bounds the stable outcomes that wait for a block. Older ones
	// are dropped: both sides are to come from the same time.
	maxStable = 4 * perBlock
	// maxWaiting is how many of the new version's outcomes wait for stable
	// ones. When there are none, they are held against what was declared:
	// a roll-out to all callers must not leave the guard blind.
	maxWaiting = 4
	// priorStrength is the outcomes that the declared rate counts for, and
	// window bounds the weight of those that were seen.
	priorStrength = 10
	window        = 500
	// assumedBroken is the rate of failed and of lost attempts before any.
	assumedBroken = 0.005
	// leastRate and mostRate keep a single outcome from settling a trial: a
	// rate of nought would make the first bad one infinitely unlikely.
	leastRate = 0.005
	mostRate  = 0.9
)

// trial tests one kind of evidence. It multiplies up, for each effect, how
// much likelier the outcomes are if the new version is worse by that much than
// if both are alike. Each product is an e-process: under a version that is no
// worse it is expected never to grow, so by Ville's inequality it exceeds 1/a
// at any time with a chance of at most a.
//
// The outcomes come in blocks of one of the new version and several of the
// stable one. In a block the rate that both would share is the mean of the two
// assumed ones, which makes the product valid whatever the true rate is, and
// though it changes from block to block (Turner, Ly, Grünwald 2021).
type trial struct {
	// need is how many stable outcomes make a block whole. With nought, the
	// trial is against the declared rate alone.
	need     int
	declared float64
	bad, all float64
	stable   []bool
	waiting  []bool
	wealth   [len(effects)]float64 // logarithms
	seen     [2]tally
}

// tally counts outcomes for people.
type tally struct{ bad, all int }

func newTrial(declared float64, need int) *trial {
	return &trial{declared: clamp(declared), need: need, bad: priorStrength * clamp(declared), all: priorStrength}
}

func clamp(rate float64) float64 { return min(max(rate, leastRate), mostRate) }

// observe takes in one outcome and reports whether the products have changed.
func (tr *trial) observe(candidate, bad bool) bool {
	tr.count(candidate, bad)
	if candidate {
		tr.waiting = append(tr.waiting, bad)
	} else if tr.need > 0 {
		tr.stable = append(tr.stable, bad)
		if len(tr.stable) > maxStable {
			tr.stable = tr.stable[1:]
		}
	}
	moved := false
	for len(tr.waiting) > 0 && tr.ready() {
		tr.block()
		moved = true
	}
	return moved
}

func (tr *trial) count(candidate, bad bool) {
	ta := &tr.seen[0]
	if candidate {
		ta = &tr.seen[1]
	}
	ta.all++
	if bad {
		ta.bad++
	}
}

// ready looks at numbers only, never at what the outcomes are: a block that
// was cut where it suits would spoil the test.
func (tr *trial) ready() bool {
	return len(tr.stable) >= tr.need || len(tr.waiting) > maxWaiting
}

// block tests the oldest waiting outcome against the newest stable ones. The
// stable version's rate is the one before the block.
func (tr *trial) block() {
	bad := tr.waiting[0]
	tr.waiting = tr.waiting[1:]
	from := max(len(tr.stable)-max(tr.need, 1), 0)
	beside := tr.stable[from:]
	if len(beside) == 0 {
		tr.bet(tr.declared, bad, 0, 0)
		return
	}
	badBeside := 0
	for _, st := range beside {
		if st {
			badBeside++
		}
	}
	tr.bet(clamp(tr.bad/tr.all), bad, badBeside, len(beside))
	tr.learn(badBeside, len(beside))
	tr.stable = tr.stable[:from]
}

func (tr *trial) bet(rate float64, bad bool, badBeside, beside int) {
	for i, ef := range effects {
		worse := min(rate+ef.diff, 0.99)
		both := (rate*float64(beside) + worse) / float64(beside+1)
		if beside == 0 {
			both = rate
		}
		tr.wealth[i] += likelier(worse, both, bad)
		if beside > 0 {
			tr.wealth[i] += float64(badBeside)*math.Log(rate/both) + float64(beside-badBeside)*math.Log((1-rate)/(1-both))
		}
	}
}

// likelier returns by how much an outcome is likelier at one rate than at
// another, as a logarithm.
func likelier(rate, other float64, bad bool) float64 {
	if bad {
		return math.Log(rate / other)
	}
	return math.Log((1 - rate) / (1 - other))
}

func (tr *trial) learn(bad, all int) {
	tr.bad += float64(bad)
	tr.all += float64(all)
	if tr.all > window {
		tr.bad *= window / tr.all
		tr.all = window
	}
}

// evidence returns the weighted mean of the products.
func (tr *trial) evidence() float64 {
	sum := 0.0
	for i, ef := range effects {
		sum += ef.weight * math.Exp(tr.wealth[i])
	}
	return sum
}

// needFor returns how many stable outcomes there are for each one of a version
// that gets a share of new sessions.
func needFor(percent int) int {
	if percent >= 100 {
		return 0
	}
	return min(max((100-percent)/max(percent, 1), 1), perBlock)
}

// declaredLower is the difference of declared qualities from which on a version
// is meant to be worse, because it is cheaper. It is then held to its own
// declaration; held against the stable version it would always be halted.
const declaredLower = 0.02

func newTrials(stable, candidate core.Quality, percent int) [kinds]*trial {
	need, rated := needFor(percent), 1-float64(stable)
	ratingNeed := need
	if candidate < stable-declaredLower {
		ratingNeed, rated = 0, 1-float64(candidate)
	}
	return [kinds]*trial{
		Rating: newTrial(rated, ratingNeed), Error: newTrial(assumedBroken, need), Crash: newTrial(assumedBroken, need),
	}
}
