package balance

import (
	"math"
	"time"

	"skylarkstand/core"
)

// upstreamState is the state of one upstream.
type upstreamState struct {
	startedAt int64
	hash      uint64
	// remote is set for an upstream of another region; region is the hash of its region.
	remote bool
	region uint64
	// own counts this entry's attempts there, unanswered those without a response header. pending
	// is the prefill time of the prompts among the unanswered ones.
	own, unanswered int
	pending         time.Duration
	// reportedQueue is the reported number of queued requests beyond this entry's own.
	reportedQueue float64
	// reportedOthers is the reported number of requests beyond this entry's own, as of reportedAt.
	reportedOthers float64
	reportedAt     time.Time
	// lastData is when any attempt there last received anything.
	lastData time.Time
	// failures is a moving average of the share of failed attempts, as of lastOutcome.
	failures    float64
	lastOutcome time.Time
	// downUntil is until when nothing is sent after the upstream could not be reached;
	// failedConnects counts the consecutive attempts that could not reach it.
	downUntil      time.Time
	failedConnects int
	// endedAt is when its process was last found to have ended, as nothing listened at its address or
	// another upstream did; zero since it has answered.
	endedAt time.Time
	// unreachableUntil is the end of its last known unavailability. Unlike downUntil, it stays set
	// when the upstream answers again.
	unreachableUntil time.Time
	// fullUntil is until when a refusal for lack of capacity counts.
	fullUntil time.Time
	// slowRatio is a moving average of response times, as multiples of the expected ones.
	slowRatio float64
	slowdown  slowdown
	cache     prefixCache
	// avoided is whether the upstream counts as avoided, for logs that explain why work goes
	// elsewhere.
	avoided bool
}

// AvoidanceChange is a change in whether an entry avoids an upstream.
type AvoidanceChange int

// The changes.
const (
	// Unchanged: no change.
	Unchanged AvoidanceChange = iota
	// Avoided: work goes to other upstreams from now on, while there are any.
	Avoided
	// Restored: the upstream is selected like the others again.
	Restored
)

// avoidedFailureRate is the failure rate from which an upstream counts as avoided: the rate of a
// healthy upstream after one failure. The penalty for it is then 0.2 s, which is more than the load
// of a lightly loaded pool adds to the cost of any upstream.
const avoidedFailureRate = failureWeight

// isAvoided reports whether work is kept from the upstream.
func (us *upstreamState) isAvoided(now time.Time) bool {
	return now.Before(us.downUntil) || us.failureRate(now) >= avoidedFailureRate
}

// updateAvoided updates after an outcome whether the upstream is avoided, and returns the change.
func (us *upstreamState) updateAvoided(now time.Time) AvoidanceChange {
	was := us.avoided
	us.avoided = us.isAvoided(now)
	switch {
	case us.avoided == was:
		return Unchanged
	case us.avoided:
		return Avoided
	default:
		return Restored
	}
}

const (
	// reportHalfLife is the age at which a report of others' load counts half: responses take a
	// second or two.
	reportHalfLife = 1500 * time.Millisecond
	// queueHalfLife is the age at which a report of a queue counts half.
	queueHalfLife = 400 * time.Millisecond
	// failureWeight is the weight of the newest outcome. Four failures in a row raise the failure
	// rate from 0 to 0.68.
	failureWeight = 0.25
	// failureHalfLife is the time in which the failure rate halves without new outcomes, so that an
	// upstream that recovers is tried again within seconds.
	failureHalfLife = 4 * time.Second
	// failureCost is the cost, as time, of an attempt that is sure to fail, for work that can be
	// retried, and failureCostOnce for work that cannot.
	failureCost     = 1500 * time.Millisecond
	failureCostOnce = 6 * time.Second
	// failureMargin is the failure rate above the best candidate's that is ignored as chance.
	failureMargin = 0.12
	// minDown and maxDown bound how long nothing is sent to an upstream that could not be reached,
	// and maxDownNotListening bounds it for one where nothing listens: a crashed upstream restarts
	// within some seconds, and a refused connection costs little. downCost is the penalty, as time,
	// for an upstream to which nothing should be sent.
	minDown             = 400 * time.Millisecond
	maxDown             = 3 * time.Second
	maxDownNotListening = 1500 * time.Millisecond
	downCost            = 20 * time.Second
	// replacedFor is how long nothing is sent to an upstream whose address belongs to another one.
	// It is gone for good; only the host list is outdated, for as long as a network partition
	// between it and the store lasts.
	replacedFor = 10 * time.Second
	// fullFor is how long a refusal for lack of capacity counts.
	fullFor = 250 * time.Millisecond
	// ratioWeight is the weight of the newest response in an upstream's slow ratio, and maxRatio
	// caps a single observation.
	ratioWeight = 0.2
	maxRatio    = 8.0
	// ratioMargin is the slow ratio that is ignored as chance.
	ratioMargin = 1.5
)

// stateOf returns the state of an upstream. An upstream that restarts under the same id gets a new
// state.
func (pk *Picker) stateOf(ho *core.Host) *upstreamState {
	us := pk.states[ho.ID]
	if us == nil || us.startedAt != ho.StartedAt {
		us = &upstreamState{startedAt: ho.StartedAt, hash: Hash(ho.ID), remote: ho.Region != pk.region, region: Hash(ho.Region), slowRatio: 1, cache: newPrefixCache()}
		pk.states[ho.ID], pk.byHash[us.hash] = us, us
	}
	return us
}

// Forget deletes the state of an upstream that is gone.
func (pk *Picker) Forget(id core.UpstreamID) {
	delete(pk.states, id)
	delete(pk.byHash, Hash(id))
}

// load returns the calls at the upstream: this entry's own, and the others' as they were reported,
// decaying with age.
func (us *upstreamState) load(now time.Time) float64 {
	return float64(us.own) + us.reportedOthers*decay(now.Sub(us.reportedAt), reportHalfLife)
}

// decay is the weight of a value of the given age that halves with each half-life.
func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(halfLife))
}

func (us *upstreamState) recordReport(now time.Time, lo core.Load) {
	us.reportedOthers = max(float64(lo.Running+lo.Queued-us.own), 0)
	us.reportedQueue = max(float64(lo.Queued-us.unanswered), 0)
	us.reportedAt = now
	us.slowdown.observe(lo.Slowdown)
}

// reportedWait returns the prefill time of the other entries' queued prompts, each taken as the
// usual one. A report of a queue is outdated as soon as the engine has finished a prefill.
func (us *upstreamState) reportedWait(now time.Time, usual time.Duration) time.Duration {
	return time.Duration(us.reportedQueue * decay(now.Sub(us.reportedAt), queueHalfLife) * float64(usual))
}

func (us *upstreamState) failureRate(now time.Time) float64 {
	return us.failures * decay(now.Sub(us.lastOutcome), failureHalfLife)
}

// unavailableCost is the penalty, as time, for an upstream that could not be reached or had no
// capacity a moment ago.
func (us *upstreamState) unavailableCost(now time.Time) time.Duration {
	var cost time.Duration
	if now.Before(us.downUntil) {
		cost += downCost
	}
	if now.Before(us.fullUntil) {
		cost += fullCost
	}
	return cost
}

// failurePenalty is the penalty, as time, for an upstream's failure rate.
func (us *upstreamState) failurePenalty(now time.Time, de decision, rq Request) time.Duration {
	excess := max(us.failureRate(now)-de.minFailureRate-failureMargin, 0)
	// A failed request needs prefill again elsewhere, whatever was cached here.
	cost := failureCost + prefillTime(de.prefill, rq.Prompt) + de.repeatedPrefill
	if rq.AtMostOnce {
		cost = failureCostOnce
	}
	return time.Duration(excess * float64(cost))
}

func (us *upstreamState) recordOutcome(now time.Time, out Outcome) {
	failed := 0.0
	switch out {
	case Abandoned:
		return
	case Refused:
		us.fullUntil = now.Add(fullFor)
		return
	case Unreachable, NotListening:
		us.failedConnects++
		most := maxDown
		if out == NotListening {
			most = maxDownNotListening
			us.endedAt = now
		}
		us.downUntil = now.Add(min(minDown<<min(us.failedConnects-1, 4), most))
		us.unreachableUntil = us.downUntil
		return
	case Replaced:
		us.downUntil = now.Add(replacedFor)
		us.endedAt = now
		return
	case Failed, Overdue:
		failed = 1
	case Good:
		us.failedConnects = 0
	}
	us.failures = us.failureRate(now)
	us.failures += failureWeight * (failed - us.failures)
	us.lastOutcome = now
}

// recordLatency updates the slow ratio with the time that a response took to begin, as a multiple of
// the mean of its route and model or of the prefill time of its own prompt, whichever is longer.
func (us *upstreamState) recordLatency(la *latency, took, prefill time.Duration) {
	if la.count < minSamples {
		return
	}
	ratio := float64(took) / float64(max(la.meanOr(0), prefill, time.Millisecond))
	us.slowRatio += ratioWeight * (min(ratio, maxRatio) - us.slowRatio)
}

// slowFactor is the factor on an upstream's expected time.
func (us *upstreamState) slowFactor() float64 {
	return max(us.slowRatio/ratioMargin, 1)
}
