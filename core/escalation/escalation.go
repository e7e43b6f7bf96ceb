// Package escalation decides which model of a cascade answers, from the confidence that models
// report for their own answers.
//
// A cascade begins with its smallest model, which costs next to nothing and answers about half
// of the requests well. An answer with a low confidence is discarded before the caller receives
// any of it, and the request escalates to a larger model. The minimum confidence depends on the
// load: the largest model takes an engine ten times as long as the smallest. If every
// low-confidence answer escalated, the engines would be full as soon as a few of them are lost,
// and all answers would be late, including those that the small model could have given. The
// pressure on the engines is measured at the callers: it is the wait for the first event,
// without the prefill of the caller's own prompt, as a fraction of the target latency. It depends
// on the request as well: what the largest model would take for it is taken from other callers.
//
// While the retry budget can't pay for the escalations that are to be expected, some requests
// start at the largest model, see [Policy.First].
//
// A model between the smallest and the largest is chosen where its answers have proved to
// suffice: its successes are counted by the confidence of the smaller model's answer.
//
// The package does no I/O and has no clock or random source of its own.
//
// # Usage
//
//	po := escalation.New()
//	po.ObserveWait(wait, target)                         // at each first event
//	stage := po.First(stages, budget, fits)
//	next, escalate := po.Next(stages, stage, confidence, cost, fits)
//	po.ObserveUse(escalate)
//	po.ObserveEscalation(stage, confidence, next, answered)  // the larger model's confidence
package escalation

import (
	"time"

	"skylarkstand/core/mechanism"
)

const (
	// idleThreshold is the minimum confidence (percent) to return an answer while
	// engines have free slots, and loadedThreshold that under full pressure.
	idleThreshold   = 55.0
	loadedThreshold = 4.0
	// lowPressure and highPressure are the pressures between which the threshold falls from
	// idleThreshold to loadedThreshold.
	lowPressure  = 0.1
	highPressure = 0.3
	// maxRelativeCost caps the cost of a request as a multiple of the mean, and costWeight is the weight of
	// the newest request in the mean.
	maxRelativeCost = 2.0
	costWeight      = 1.0 / 30
	// newestWeight is the weight of the newest answer in the pressure.
	newestWeight = 1.0 / 10
	// maxWaitTargets caps the wait of a single answer, in target latencies, so that one late
	// answer cannot dominate the pressure.
	maxWaitTargets = 0.8
)

const (
	// buckets is the number of ranges of confidence by which the middle models' successes are
	// counted.
	buckets    = 10
	bucketSize = 100 / buckets
	// likelyBucket is the bucket from which a middle model is assumed to suffice without
	// evidence. It is a little better than the smallest model, so it suffices for answers whose
	// confidence was a little too low.
	likelyBucket = 3
	// likelyPrior and unlikelyPrior are the assumed success rates from likelyBucket on and below
	// it, and priorWeight the number of answers that the assumption counts for.
	likelyPrior   = 0.7
	unlikelyPrior = 0.1
	priorWeight   = 6.0
	// minSuccessRate is the success rate from which the middle model is chosen: it takes a
	// quarter of the largest one's time.
	minSuccessRate = 0.35
	// maxWeight bounds the weight of past answers.
	maxWeight = 60.0
)

// Policy is the escalation policy for all cascades of one service. It is not safe for concurrent
// use.
type Policy struct {
	off mechanism.Disabled
	// pressure is a moving average of the waits of answers, as fractions of the target latency.
	pressure float64
	// rejected is the share of the smallest model's answers whose confidence was too low, and escalated
	// that of the requests that a larger model answered.
	rejected, escalated float64
	// meanCost is the mean prefill time in seconds of the requests for which an escalation is considered.
	meanCost float64
	outcomes map[step]*[buckets]successes
}

// step is an escalation from one stage of a cascade to another.
type step struct{ from, to int }

// successes counts the answers of a larger model, and those among them that sufficed.
type successes struct{ good, all float64 }

// Option changes a Policy at construction.
type Option func(*Policy)

// Without disables mechanisms.
func Without(off mechanism.Disabled) Option { return func(po *Policy) { po.off = off } }

// New returns a Policy.
func New(opts ...Option) *Policy {
	po := &Policy{pressure: (lowPressure + highPressure) / 2, rejected: rejectedPrior, escalated: rejectedPrior, outcomes: map[step]*[buckets]successes{}}
	for _, opt := range opts {
		opt(po)
	}
	return po
}

// ObserveWait records how long a caller waited for its first event, without the prefill of its own
// prompt, and the target latency.
func (po *Policy) ObserveWait(wait, target time.Duration) {
	if target <= 0 {
		return
	}
	po.pressure += newestWeight * (min(float64(wait)/float64(target), maxWaitTargets) - po.pressure)
}

// Threshold returns the minimum confidence to return an answer now, for a request whose prefill by
// the largest model takes cost.
//
// Under pressure the engines' time goes where it serves most callers: a request whose prefix is
// cached still escalates when a long uncached one of the same confidence doesn't.
func (po *Policy) Threshold(cost time.Duration) float64 {
	if po.off.Has(mechanism.PressureThreshold) {
		return idleThreshold
	}
	fraction := min(max((po.pressure-lowPressure)/(highPressure-lowPressure), 0), 1)
	return max(idleThreshold-fraction*po.relativeCost(cost)*(idleThreshold-loadedThreshold), 0)
}

// relativeCost returns a cost as a multiple of the mean one.
func (po *Policy) relativeCost(cost time.Duration) float64 {
	if po.meanCost <= 0 || po.off.Has(mechanism.EscalationCost) {
		return 1
	}
	return min(cost.Seconds()/po.meanCost, maxRelativeCost)
}

// observeCost records the cost of an escalation that is considered.
func (po *Policy) observeCost(cost time.Duration) {
	if po.meanCost == 0 {
		po.meanCost = cost.Seconds()
	}
	po.meanCost += costWeight * (cost.Seconds() - po.meanCost)
}

// Next returns the stage that should answer instead of the given one, in a cascade of the given
// number of stages, or false when the present answer is returned. cost is the prefill time of the
// request by the largest model, and fits reports whether a stage's answer would begin within the
// target latency.
//
// The largest model needs several times the target latency for a very long prompt, and keeps the
// engine from other requests for as long. Such a request escalates to the largest model that
// fits; if none does, the present answer is returned.
func (po *Policy) Next(stages, stage, confidence int, cost time.Duration, fits func(to int) bool) (int, bool) {
	last := stages - 1
	if stage < last && confidence < idleThreshold {
		po.observeCost(cost)
	}
	sufficient := float64(confidence) >= po.Threshold(cost)
	if stage == 0 {
		updateShare(&po.rejected, !sufficient)
	}
	if stage >= last || sufficient {
		return stage, false
	}
	for to := stage + 1; to < last; to++ {
		if po.suffices(step{stage, to}, confidence) && fits(to) {
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

// ObserveEscalation records the confidence of a larger model's answer after an escalation from a
// smaller one.
func (po *Policy) ObserveEscalation(from, confidence, to, answered int) {
	su := po.successesOf(step{from, to}, confidence)
	if su.all >= maxWeight {
		su.good *= 1 - 1/maxWeight
		su.all *= 1 - 1/maxWeight
	}
	su.all++
	if float64(answered) >= idleThreshold {
		su.good++
	}
}

func (po *Policy) suffices(st step, confidence int) bool {
	if po.off.Has(mechanism.IntermediateModels) {
		return false
	}
	su := po.successesOf(st, confidence)
	prior := unlikelyPrior
	if bucket(confidence) >= likelyBucket {
		prior = likelyPrior
	}
	return (su.good+priorWeight*prior)/(su.all+priorWeight) >= minSuccessRate
}

func (po *Policy) successesOf(st step, confidence int) *successes {
	row := po.outcomes[st]
	if row == nil {
		row = new([buckets]successes)
		po.outcomes[st] = row
	}
	return &row[bucket(confidence)]
}

func bucket(confidence int) int { return min(max(confidence/bucketSize, 0), buckets-1) }
