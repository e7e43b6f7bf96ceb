// Package tier decides which model of a cascade answers, from the confidence
// that models tell of their own answers.
//
// A cascade begins with its smallest model, which costs next to nothing and
// answers about half of the requests well. An answer that its model doubts is
// dropped before the caller has any of it, and a larger model is asked. How much
// doubt is too much depends on the load: the largest model takes an engine ten
// times as long as the smallest, so that with every doubtful answer dropped, the
// engines are full as soon as a few of them are lost, and then all answers are
// late, also those that the small model could have given. The pressure on the
// engines is taken from what callers get: the time to the first event as a part
// of the time that is still good.
//
// A model between the two is asked where it has proved to suffice: its answers
// to what the smaller one doubted by so much are counted.
//
// All of it is pure.
//
// # Usage
//
//	la := tier.New()
//	la.Begun(took, aim)                            // at each first event
//	next, climb := la.Next(stages, stage, confidence)
//	la.Climbed(stage, confidence, next, answered)  // the larger model's confidence
package tier

import (
	"time"

	"skylarkstand/core/mechanism"
)

const (
	// sureRelaxed is the confidence from which an answer is given while the
	// engines have room, and surePressed that under pressure. Measured with the
	// two deployments' mixes, means over 30 days with trouble, at a fixed
	// threshold: credit less prices 0.543 and 0.531 at 55, 0.623 and 0.583 at
	// 42, 0.647 and 0.594 at 30; on calm days 0.76 at 55, 0.77 at 42 and 0.74
	// at 30.
	sureRelaxed = 55.0
	surePressed = 12.0
	// relaxed and pressed are the pressures between which the threshold moves. An
	// idle pool has about 0.15: long prompts take a third of what is good by
	// themselves, short ones a twentieth. Other bounds between 0.1 and 0.55 made
	// no difference above the noise.
	relaxed = 0.2
	pressed = 0.5
	// follow weighs the newest answer in the pressure: the last second of an
	// entry with ten requests a second. With a memory of 24 answers the threshold
	// fell only when a burst was over.
	follow = 1.0 / 10
	// oddest bounds what one answer says.
	oddest = 2.0
)

const (
	// buckets divide the confidences for what is learned of middle models.
	buckets    = 10
	bucketSize = 100 / buckets
	// assumedFrom is the bucket from which a middle model is thought to suffice
	// before it was seen to: it is a little better than the smallest, so for
	// answers that were doubted a little.
	assumedFrom = 3
	// assumed and doubted are the shares that are thought to suffice above and
	// below, prior how many answers that counts for.
	assumed = 0.7
	doubted = 0.1
	prior   = 6.0
	// worthwhile is the share from which the middle model is asked: it takes a
	// quarter of the largest one's time.
	worthwhile = 0.35
	// forget bounds the weight of what was seen.
	forget = 60.0
)

// Ladder decides for all cascades of one service. It belongs to one goroutine
// at a time.
type Ladder struct {
	off      mechanism.Off
	pressure float64
	seen     map[rung]*[buckets]share
}

// rung is a step from one place in a cascade to another.
type rung struct{ from, to int }

// share counts the answers that sufficed.
type share struct{ good, all float64 }

// Option changes a Ladder at construction.
type Option func(*Ladder)

// Without switches mechanisms off.
func Without(off mechanism.Off) Option { return func(la *Ladder) { la.off = off } }

// New returns a ladder.
func New(opts ...Option) *Ladder {
	la := &Ladder{pressure: (relaxed + pressed) / 2, seen: map[rung]*[buckets]share{}}
	for _, opt := range opts {
		opt(la)
	}
	return la
}

// Begun notes how long a caller waited for its first event, and how long is
// good.
func (la *Ladder) Begun(took, aim time.Duration) {
	if aim <= 0 {
		return
	}
	la.pressure += follow * (min(float64(took)/float64(aim), oddest) - la.pressure)
}

// Sure is the confidence from which an answer is given now.
func (la *Ladder) Sure() float64 {
	if la.off.Has(mechanism.Pressure) {
		return sureRelaxed
	}
	part := min(max((la.pressure-relaxed)/(pressed-relaxed), 0), 1)
	return sureRelaxed - part*(sureRelaxed-surePressed)
}

// Next returns the place in a cascade of so many models that should answer
// instead of the one at stage, or false when its answer is given. Fits reports
// whether a model's answer would begin while it is still good.
//
// An answer of the largest model to a very long prompt takes several times what
// is good, and keeps the engine from others for as long. It is then left to the
// largest model that fits, and where none does, the answer at hand is given.
func (la *Ladder) Next(stages, stage, confidence int, fits func(to int) bool) (int, bool) {
	last := stages - 1
	if stage >= last || float64(confidence) >= la.Sure() {
		return stage, false
	}
	for to := stage + 1; to < last; to++ {
		if la.suffices(rung{stage, to}, confidence) && fits(to) {
			return to, true
		}
	}
	for to := last; to > stage; to-- {
		if fits(to) {
			return to, true
		}
	}
	return stage, false
}

// Climbed notes the confidence of a larger model where a smaller one was
// doubted.
func (la *Ladder) Climbed(from, confidence, to, answered int) {
	sh := la.share(rung{from, to}, confidence)
	if sh.all >= forget {
		sh.good *= 1 - 1/forget
		sh.all *= 1 - 1/forget
	}
	sh.all++
	if float64(answered) >= sureRelaxed {
		sh.good++
	}
}

func (la *Ladder) suffices(ru rung, confidence int) bool {
	if la.off.Has(mechanism.MiddleModels) {
		return false
	}
	sh := la.share(ru, confidence)
	before := doubted
	if bucket(confidence) >= assumedFrom {
		before = assumed
	}
	return (sh.good+prior*before)/(sh.all+prior) >= worthwhile
}

func (la *Ladder) share(ru rung, confidence int) *share {
	row := la.seen[ru]
	if row == nil {
		row = new([buckets]share)
		la.seen[ru] = row
	}
	return &row[bucket(confidence)]
}

func bucket(confidence int) int { return min(max(confidence/bucketSize, 0), buckets-1) }
