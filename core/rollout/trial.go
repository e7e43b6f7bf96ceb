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

// Known reports whether a kind is one of these: a peer of another release may
// send others.
func (ki Kind) Known() bool { return ki >= Rating && ki < kinds }

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
	// maxStable bounds the stable outcomes that wait for a block: a few
	// seconds' worth, since they come in batches. Older ones are dropped, for
	// both sides are to come from the same time.
	maxStable = 32 * perBlock
	// maxWaiting is how many of the new version's outcomes wait for a whole
	// block; beyond it a smaller block does.
	maxWaiting = 4
	// maxBlind is how many of them may come in a row without one stable
	// outcome. After that they are held against what was seen of the stable
	// version before, or declared of it: when sessions have all moved to the
	// new version, the guard must not be blind. It is well above what a batch
	// brings by chance. It bounds those that wait, too.
	maxBlind = 64
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
	// need is how many stable outcomes make a block whole. With nought, none
	// stand beside the new version's.
	need int
	// promised holds the new version to its own declared rate alone.
	promised bool
	declared float64
	bad, all float64
	stable   []bool
	waiting  []bool
	// blind counts the new version's outcomes since the last stable one.
	blind  int
	wealth [len(effects)]float64 // logarithms
	seen   [2]tally
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
		tr.blind++
	} else {
		tr.stable = append(tr.stable, bad)
		tr.blind = 0
		if tr.need == 0 {
			tr.learn(tr.stable)
			tr.stable = nil
		}
	}
	if len(tr.stable) > maxStable {
		tr.stable = tr.stable[1:]
	}
	moved := false
	for len(tr.waiting) > 0 && tr.ready() {
		tr.block()
		moved = true
	}
	if len(tr.waiting) > maxBlind {
		tr.waiting = tr.waiting[1:]
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
	switch {
	case tr.need == 0 || tr.blind > maxBlind:
		return true
	case len(tr.stable) == 0:
		return false
	default:
		return len(tr.stable) >= tr.need || len(tr.waiting) > maxWaiting
	}
}

// block tests the oldest waiting outcome against the newest stable ones. The
// stable version's rate is the one before the block.
func (tr *trial) block() {
	bad := tr.waiting[0]
	tr.waiting = tr.waiting[1:]
	from := max(len(tr.stable)-tr.need, 0)
	beside := tr.stable[from:]
	if len(beside) == 0 {
		tr.bet(tr.reference(), bad, nil)
		return
	}
	tr.bet(clamp(tr.bad/tr.all), bad, beside)
	tr.learn(beside)
	tr.stable = tr.stable[:from]
}

// reference is the rate that an outcome without stable ones is held against:
// what was seen of the stable version, and its uncertainty on top. A version
// is not to be halted because the stable one was seen too seldom.
func (tr *trial) reference() float64 {
	if tr.promised {
		return tr.declared
	}
	rate := clamp(tr.bad / tr.all)
	return clamp(rate + math.Sqrt(rate*(1-rate)/tr.all))
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

func (tr *trial) bet(rate float64, bad bool, beside []bool) {
	badBeside, all := float64(countBad(beside)), float64(len(beside))
	for i, ef := range effects {
		worse := min(rate+ef.diff, 0.99)
		both := rate
		if all > 0 {
			both = (rate*all + worse) / (all + 1)
		}
		tr.wealth[i] += likelier(worse, both, bad)
		tr.wealth[i] += badBeside*likelier(rate, both, true) + (all-badBeside)*likelier(rate, both, false)
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

func (tr *trial) learn(outcomes []bool) {
	tr.bad += float64(countBad(outcomes))
	tr.all += float64(len(outcomes))
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
	need := needFor(percent)
	rated := newTrial(1-float64(stable), need)
	if candidate < stable-declaredLower {
		rated = newTrial(1-float64(candidate), 0)
		rated.promised = true
	}
	return [kinds]*trial{Rating: rated, Error: newTrial(assumedBroken, need), Crash: newTrial(assumedBroken, need)}
}
