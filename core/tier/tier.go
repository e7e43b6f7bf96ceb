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
// engines is taken from what callers get: the wait for the first event, beyond the
// reading of the caller's own prompt, as a part of the time that is still good.
//
// A model between the two is asked where it has proved to suffice: its answers
// to what the smaller one doubted by so much are counted.
//
// All of it is pure.
//
// # Usage
//
//	la := tier.New()
//	la.Begun(wait, aim)                            // at each first event
//	next, climb := la.Next(stages, stage, confidence)
//	la.Climbed(stage, confidence, next, answered)  // the larger model's confidence
package tier

import (
	"time"

	"skylarkstand/core/mechanism"
)

const (
	// idleThreshold is the minimum confidence (percent) to return an answer while
	// engines have free slots, and loadedThreshold that under full pressure.
	idleThreshold   = 55.0
	loadedThreshold = 12.0
	// relaxed and pressed are the pressures between which the threshold moves.
	relaxed = 0.2
	pressed = 0.5
	// follow is the weight of the newest answer in the pressure.
	follow = 1.0 / 10
	// maxWait caps the weight of a single answer, in aims.
	maxWait = 2.0
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

// Begun notes how long a caller waited for its first event, beyond the reading of
// its own prompt, and how long is good.
func (la *Ladder) Begun(wait, aim time.Duration) {
	if aim <= 0 {
		return
	}
	la.pressure += follow * (min(float64(wait)/float64(aim), maxWait) - la.pressure)
}

// Sure is the confidence from which an answer is given now.
func (la *Ladder) Sure() float64 {
	if la.off.Has(mechanism.Pressure) {
		return idleThreshold
	}
	part := min(max((la.pressure-relaxed)/(pressed-relaxed), 0), 1)
	return idleThreshold - part*(idleThreshold-loadedThreshold)
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
	if float64(answered) >= idleThreshold {
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
