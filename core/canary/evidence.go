package canary

import (
	"fmt"
	"math"
	"time"

	"skylarkstand/core"
)

// Outcome is the result of an attempt at one of the two versions.
type Outcome struct {
	Service core.ServiceID
	Version core.VersionID
	// Pool separates attempts whose latencies are not comparable: route and model.
	Pool string
	// Neutral outcomes are no evidence about the version: the caller disconnected, or the upstream
	// refused for lack of capacity.
	Neutral bool
	// Streaming reports that the answer is still streaming: only its chunk interval is known.
	Streaming bool
	// Failed covers an error, a truncated answer, a wrong answer and a timeout.
	Failed bool
	// TimeToHeader is the time to the answer's header and ChunkInterval the mean interval between
	// its chunks; 0 means unknown. SingleChunk reports that the answer arrived as a single chunk.
	TimeToHeader, ChunkInterval time.Duration
	// PrefillRatio is the time to the header as a multiple of the one expected of an idle engine, for an
	// attempt that found its engine nearly idle; 0 means unknown. It says how fast an engine is however long
	// its prompt, and whatever becomes of the answer.
	PrefillRatio float64
	SingleChunk  bool
	// Elapsed is the time from the sending of the attempt to this outcome; 0 means unknown.
	Elapsed time.Duration
}

// evidence compares the outcomes of the new version with those of the old one, for each pool and
// over all pools: how many failed, and how many were slow.
type evidence struct {
	pools map[string]*comparison
	all   comparison
	// timeToOutcome is the old version's time until an attempt yields its first outcome.
	timeToOutcome median
	// engines is set once a PrefillRatio was seen: the speed of the service's upstreams can be told from any
	// attempt.
	engines bool
}

// comparison holds a test for failures, a test for slow answers and the old version's median
// latencies.
type comparison struct {
	fails, slows, verySlows cusum
	// slowPrefills is the test of PrefillRatio.
	slowPrefills                cusum
	timeToHeader, chunkInterval median
}

// cusum accumulates the log-likelihood ratio between "the new version's rate is higher than the old
// one's current rate by effectSize" and "both rates are equal". The sum never falls below 0, so
// that a version that turns bad late is detected as quickly as one that always was (a CUSUM test,
// Page 1954). A fault that affects both versions, such as answers lost on the network, raises the
// old version's rate and so counts for little.
type cusum struct {
	// rate is the old version's rate of bad outcomes, from rated of them.
	rate  float64
	rated int
	// longRate is the same rate over more outcomes, which chance moves less.
	longRate float64
	// siblingRate is the highest rate that a sibling has reported, 0 if none is high.
	siblingRate float64
	sum         float64
	// drift is the same sum with a lower limit below 0 (minDrift). The evidence of all entries
	// together is the total of their drifts: with sums that never fall below 0, chance outcomes at
	// many entries would add up to a verdict.
	drift float64
	// total is the same sum without any limit: the evidence for the version if it is below 0.
	total     float64
	bad, seen int
	// ratios are kept for failures only, see unaccepted.
	ratios ratios
	// old counts the old version's outcomes since the order.
	old int
}

// median estimates a running median of latencies by small steps (Robbins and Monro 1951).
type median struct {
	val   float64 // seconds
	count int
}

const (
	// initialFailRate and initialSlowRate are the rates before any outcome was seen.
	initialFailRate = 0.03
	initialSlowRate = 0.3
	// slowPrefillFactor is the PrefillRatio above which a prefill is slow, and minSlowPrefillRate and
	// maxSlowPrefillRate bound the old version's rate of them.
	slowPrefillFactor  = 1.4
	minSlowPrefillRate = 0.2
	maxSlowPrefillRate = 0.35
	// rateSmoothing is the weight of the newest outcome in the moving average: about the last
	// twenty count.
	rateSmoothing = 0.05
	// longRateSmoothing is the same for the rate over more outcomes.
	longRateSmoothing = 0.005
	// initialWeight is the number of outcomes that the rate before any counts for. Until the moving average is as
	// long, the rate is the mean: a route with few requests, most of which fail, would seem to have no failures.
	initialWeight = 4
	minRate       = 0.02
	maxRate       = 0.6
	// highRate is the old version's rate of failures on a route above which the siblings are told, from highRated
	// answers on: they may have seen fewer.
	highRate  = 0.25
	highRated = 3
	// maxIdleSlowRate limits the old version's slow rate that the first two steps are compared with. The
	// new version's upstreams are nearly idle then while the old version's are loaded, so slow
	// answers there are not caused by load.
	maxIdleSlowRate = 0.2
	// effectSize is the increase of a rate that the test looks for.
	effectSize = 0.35
	// verdictThreshold is the sum at which the version is bad, a likelihood ratio of e to the sixth:
	// the outcomes of a good version reach it from any given start with a chance of one in 400.
	// After a wrong verdict the roll-out has to be ordered again; a late verdict exposes
	// more callers.
	verdictThreshold = 6.0
	// minDrift limits how far earlier good answers can offset bad ones, to three or four of them: a
	// version may turn bad late.
	minDrift = -1.5
	// minBad prevents two chance failures in a row from reaching a verdict.
	minBad = 3
	// slowChunkFactor is the multiple of the old version's median chunk interval above which an
	// answer is slow. slowHeaderFactor is the same for the median time to the header, for answers
	// in a single chunk. The chunk interval of an engine hardly depends on the prompt. The time to
	// the header does, and is therefore ignored for streams.
	slowChunkFactor  = 1.4
	slowHeaderFactor = 2.5
	// lastStepChunkFactor replaces slowChunkFactor in the last step. For about a second,
	// the new version's engines then prefill every prompt without a prefix cache, while the old
	// version's median comes from engines that shared the load and had their prefix cache. With a
	// factor of 1.4, 2 of 30 good versions were judged bad within a second of the last step; with
	// 6, none of the same 30. A factor of 2.5 is too low as well: 3 of 42 were judged bad, and 4 of
	// these 42 with 1.4. A slow version is detected in the earlier steps, or is slower by a factor
	// of eight.
	lastStepChunkFactor = 6.0
	// verySlowFactor is the multiple of the old version's median above which an answer is very slow,
	// which has a test of its own: few answers suffice for it. It does not apply to the last step.
	verySlowFactor = 4.0
	// overdueFactor and overdueSlack determine when an attempt without a response header counts as
	// failed.
	overdueFactor = 8
	overdueSlack  = time.Second
	// minMedianSamples is the number of the old version's answers from which on a median is
	// reliable.
	minMedianSamples = 8
	// medianStep is the relative step by which each value moves the estimated median.
	medianStep = 0.08
)

func newComparison() comparison {
	return comparison{fails: cusum{rate: initialFailRate, longRate: initialFailRate}, slows: cusum{rate: initialSlowRate}, verySlows: cusum{rate: initialFailRate}, slowPrefills: cusum{rate: minSlowPrefillRate}}
}

func newEvidence() evidence { return evidence{pools: map[string]*comparison{}, all: newComparison()} }

// reset discards the evidence against a version and keeps the old version's rates and medians.
func (ev *evidence) reset() {
	ev.all.reset()
	for _, co := range ev.pools {
		co.reset()
	}
}

func (co *comparison) reset() {
	for _, cu := range []*cusum{&co.fails, &co.slows, &co.verySlows, &co.slowPrefills} {
		cu.sum, cu.drift, cu.total, cu.bad, cu.seen, cu.ratios, cu.old = 0, 0, 0, 0, 0, ratios{}, 0
	}
}

func (ev *evidence) pool(name string) *comparison {
	co := ev.pools[name]
	if co == nil {
		fresh := newComparison()
		co = &fresh
		ev.pools[name] = co
	}
	return co
}

// observeOld updates the rates and medians from an outcome of the old version.
func (ev *evidence) observeOld(ou Outcome) {
	po := ev.pool(ou.Pool)
	slow, timed := po.isSlow(ou, slowChunkFactor, slowHeaderFactor)
	verySlow, _ := po.isSlow(ou, verySlowFactor, verySlowFactor)
	for _, co := range []*comparison{po, &ev.all} {
		if !ou.Streaming {
			co.fails.updateRate(ou.Failed)
			co.fails.old++
		}
		if timed {
			co.slows.updateRate(slow)
			co.verySlows.updateRate(verySlow)
		}
		if ou.PrefillRatio > 0 {
			co.slowPrefills.updateRate(ou.PrefillRatio > slowPrefillFactor)
		}
	}
	if !ou.Failed {
		po.timeToHeader.update(ou.TimeToHeader)
		po.chunkInterval.update(ou.ChunkInterval)
		if ou.ChunkInterval > 0 && ou.Streaming || ou.SingleChunk {
			ev.timeToOutcome.update(ou.Elapsed)
		}
	}
}

// observeNew records an outcome of the new version in a step and returns the reason if the version
// is bad, else "".
func (ev *evidence) observeNew(ou Outcome, current int) string {
	po := ev.pool(ou.Pool)
	factor := slowChunkFactor
	if current == lastStep {
		factor = lastStepChunkFactor
	}
	slow, timed := po.isSlow(ou, factor, slowHeaderFactor)
	verySlow, _ := po.isSlow(ou, verySlowFactor, verySlowFactor)
	baseline := max(po.fails.rate, po.fails.longRate, po.fails.siblingRate)
	for _, co := range []*comparison{po, &ev.all} {
		// Where most answers of the old version fail, one says nothing of the new one.
		if !ou.Streaming && baseline <= maxBaseline {
			co.fails.ratios.observe(ou.Failed, baseline)
			if co.fails.observe(ou.Failed, maxRate) {
				return co.fails.describe("failed")
			}
		}
		maxSlow := maxRate
		if current < lastStep {
			maxSlow = maxIdleSlowRate
		}
		if timed && !ou.Failed && co.slows.observe(slow, maxSlow) {
			return co.slows.describe("were slow")
		}
		if timed && !ou.Failed && current < lastStep && co.verySlows.observe(verySlow, maxRate) {
			return co.verySlows.describe("were very slow")
		}
		if ou.PrefillRatio > 0 && current < lastStep && co.slowPrefills.observePrefill(ou.PrefillRatio) {
			return co.slowPrefills.describe("were slow to begin")
		}
	}
	return ""
}

// isSlow reports whether an answer was slow, and whether that can be determined. The factors are the
// multiples of the median chunk interval, and of the median time to the header, above which an answer
// is slow.
func (co *comparison) isSlow(ou Outcome, chunkFactor, headerFactor float64) (slow, timed bool) {
	switch {
	case ou.ChunkInterval > 0:
		return co.chunkInterval.exceeded(ou.ChunkInterval, chunkFactor), co.chunkInterval.reliable()
	case ou.SingleChunk && ou.TimeToHeader > 0:
		return co.timeToHeader.exceeded(ou.TimeToHeader, headerFactor), co.timeToHeader.reliable()
	}
	return false, false
}

func (me *median) reliable() bool { return me.count >= minMedianSamples }

func (me *median) exceeded(val time.Duration, by float64) bool {
	return me.reliable() && val.Seconds() > by*me.val
}

func (me *median) update(val time.Duration) {
	switch {
	case val <= 0:
		return
	case me.count == 0:
		me.val = val.Seconds()
	case val.Seconds() > me.val:
		me.val *= 1 + medianStep
	default:
		me.val /= 1 + medianStep
	}
	me.count++
}

func (cu *cusum) updateRate(bad bool) {
	val := 0.0
	if bad {
		val = 1
	}
	cu.rated++
	mean := 1 / float64(cu.rated+initialWeight)
	cu.rate += max(rateSmoothing, mean) * (val - cu.rate)
	cu.longRate += max(longRateSmoothing, mean) * (val - cu.longRate)
}

// observe records an outcome of the new version and reports whether the verdict is reached.
func (cu *cusum) observe(bad bool, limit float64) bool {
	baseline := min(max(cu.rate, cu.longRate, cu.siblingRate, minRate), limit)
	worse := min(baseline+effectSize, 0.95)
	cu.seen++
	weight := math.Log((1 - worse) / (1 - baseline))
	if bad {
		cu.bad++
		weight = math.Log(worse / baseline)
	}
	cu.sum = max(cu.sum+weight, 0)
	cu.total += weight
	cu.drift = max(cu.drift+weight, minDrift)
	return cu.sum >= verdictThreshold && cu.bad >= minBad
}

// observePrefill records the PrefillRatio of an attempt at the new version and reports whether the verdict is
// reached.
func (cu *cusum) observePrefill(ratio float64) bool {
	cu.rate = max(cu.rate, minSlowPrefillRate)
	return cu.observe(ratio > slowPrefillFactor, maxSlowPrefillRate)
}

func (cu *cusum) describe(what string) string {
	return fmt.Sprintf("%d of %d answers %s; the old version's rate is %.0f in 100", cu.bad, cu.seen, what, 100*cu.rate)
}

// Observe records what an attempt reveals about its version: the chunk interval while it is still
// streaming, and whether it failed when it ends.
func (gu *Guard) Observe(ou Outcome) {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	if ou.Neutral {
		return
	}
	ro := gu.rollout(ou.Service)
	ro.evidence.engines = ro.evidence.engines || ou.PrefillRatio > 0
	if ro.order.Revision == 0 || ou.Version != ro.order.Target || ro.inPlace {
		ro.evidence.observeOld(ou)
		return
	}
	ro.trial.observe(ou, ro.evidence.pool(ou.Pool))
	if why := ro.evidence.observeNew(ou, ro.currentStep()); why != "" && ro.badReason == "" && !ro.final() {
		ro.badReason = why
	}
}

// HeaderTimeout returns how long an attempt may take until its response header before it counts as
// failed. It returns 0 when that is unknown or irrelevant: only a version under roll-out is tested.
func (gu *Guard) HeaderTimeout(sv core.ServiceID, ve core.VersionID, pool string) time.Duration {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	ro := gu.rollouts[sv]
	if ro == nil || ro.order.Revision == 0 || ve != ro.order.Target || ro.final() || ro.inPlace {
		return 0
	}
	header := ro.evidence.pool(pool).timeToHeader
	if !header.reliable() {
		return 0
	}
	return time.Duration(overdueFactor*header.val*float64(time.Second)) + overdueSlack
}

// final reports whether the current order has ended.
func (ro *rollout) final() bool { return ro.state() == Completed || ro.state() == RolledBack }
