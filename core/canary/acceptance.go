package canary

import (
	"fmt"
	"math"
	"time"

	"skylarkstand/core"
)

// Completion cannot be undone: the platform stops the old version's upstreams at once. So a version is completed
// only by evidence for it: its answers at all entries must make it unlikely that it fails so often that its
// callers would get harmBad bad answers within harmTime. That is tested over all answers and in each pool, since a
// version may be bad on one route or model only.

const (
	// harmBad bad answers within harmTime are the harm that a completed version must be unlikely to do.
	harmBad  = 50
	harmTime = 40 * time.Second
	// acceptFailures is the log-likelihood ratio at which a version is accepted: one that does that harm is accepted
	// with a chance of one in twenty. acceptLate replaces it after the order's duration, when nothing is gained by
	// haste.
	acceptFailures = -3.0
	acceptLate     = -5.0
	// acceptAtLast replaces both once the patience is over, when the answers are many.
	acceptAtLast = -3.0
	// rejectFailures is the ratio at which a version is rolled back at the end of the order's duration, and after it.
	// Before, evidence against it is weighed by the tests of [evidence].
	rejectFailures = 3.0
	// enoughInPool is the ratio that so many good answers in a pool would yield which suffice there, and
	// suspectInPool the one from which a pool holds the completion.
	enoughInPool  = -0.5
	suspectInPool = 1.0
	// minBaseline is the least rate of failures of the old version that is assumed, and maxBaseline the highest at
	// which the versions are compared.
	minBaseline = 0.01
	maxBaseline = 0.5
	// maxIncrease is the increase of the rate of failures beyond which a pool has too few requests to do that harm.
	maxIncrease = 0.95
	// relativeIncrease is the least increase relative to the old version's rate: while that is high, a smaller one
	// cannot be told from it.
	relativeIncrease = 1.5
	// patience is how long a version waits for that evidence, as a multiple of the order's duration. A good version
	// is completed late rather than rolled back.
	patience = 3
	// minRequests is the number of requests since the order from which evidence on a service is required.
	minRequests = 3
)

// increases are the increases of the rate of failures that are tested. The least one is what the answers that a
// roll-out may expose can tell from chance.
var increases = [...]float64{0.05, 0.06, 0.07, 0.085, 0.1, 0.12, 0.14, 0.17, 0.2, 0.28, 0.45, 0.95}

// ratios are the log-likelihood ratios between "the new version's rate of failures is higher by an increase" and
// "it is that of the old version", for each of increases.
type ratios [len(increases)]float64

// observe records an answer of the new version, given the old version's rate of failures.
func (ra *ratios) observe(failed bool, baseline float64) {
	for i, increase := range increases {
		ra[i] += ratio(failed, baseline, increase)
	}
}

// ratio returns the log-likelihood ratio of one answer.
func ratio(failed bool, baseline, increase float64) float64 {
	baseline = max(baseline, minBaseline)
	worse := min(baseline+max(increase, relativeIncrease*baseline), maxIncrease)
	if failed {
		return math.Log(worse / baseline)
	}
	return math.Log((1 - worse) / (1 - baseline))
}

// rounded returns the ratios as they are sent to siblings.
func (ra ratios) rounded() ratios {
	for i := range ra {
		ra[i] = math.Round(100*ra[i]) / 100
	}
	return ra
}

func (ra *ratios) add(other ratios) {
	for i := range ra {
		ra[i] += other[i]
	}
}

// of returns the ratio for the largest tested increase that is not above the given one.
func (ra *ratios) of(increase float64) float64 {
	out := ra[0]
	for i, tested := range increases {
		if tested <= increase {
			out = ra[i]
		}
	}
	return out
}

// harmfulIncrease returns the least increase of the rate of failures that does harm at a number of requests a second.
func harmfulIncrease(perSecond float64) float64 {
	if perSecond <= 0 {
		return math.Inf(1)
	}
	return harmBad / (perSecond * harmTime.Seconds())
}

// unaccepted returns why the answers so far do not suffice to complete the version, or "" if they do, and whether
// the roll-out must end by that.
func (gu *Guard) unaccepted(now time.Time, ro *rollout, elapsed time.Duration) (why string, mustEnd bool) {
	since := now.Sub(ro.startedAt).Seconds()
	if since <= 0 || ro.own.all+ro.siblings.all < minRequests {
		return "", false // Nobody is harmed by a version that nobody uses, and no evidence can be had.
	}
	// The siblings that have not reported have requests as well.
	perSecond := func(requests, entries int) float64 {
		return float64(requests) / since * float64(max(gu.entries(), 1+entries)) / float64(1+entries)
	}
	tallies, impatient := ro.failures(), elapsed >= patience*ro.duration()
	all, threshold := tallies[allPools], acceptFailures
	switch {
	case impatient:
		threshold = acceptAtLast
	case elapsed >= ro.duration() && ro.currentStep() < lastStep:
		threshold = acceptLate
	}
	increase := min(harmfulIncrease(perSecond(ro.own.all+ro.siblings.all, ro.siblings.entries)), maxIncrease)
	if sum := all.Ratios.of(increase); sum > threshold {
		rejected := all.Bad >= harmBad/2 || elapsed >= gu.schedule.latest(ro.duration()) && sum >= rejectFailures
		return tooLittle(all, allPools, increase), impatient || rejected
	}
	for name, old := range ro.oldAnswers() {
		ta := tallies[name]
		increase := harmfulIncrease(perSecond(old+ta.Seen, len(ro.reports)))
		if increase > maxIncrease {
			continue
		}
		if float64(ta.Seen)*ratio(false, minBaseline, increase) > enoughInPool || ta.Ratios.of(increase) > suspectInPool {
			return tooLittle(ta, name, increase), impatient
		}
	}
	return "", false
}

func tooLittle(ta Tally, pool string, increase float64) string {
	return fmt.Sprintf("%d of %d answers at all entries failed (pool %q), too little evidence that the version fails less than %.0f in 100 more often",
		ta.Bad, ta.Seen, pool, 100*increase)
}

// keepReport keeps the latest report of each sibling.
func (ro *rollout) keepReport(re Report) {
	if ro.reports == nil {
		ro.reports = map[core.ProcessID]Report{}
	}
	old, known := ro.reports[re.From]
	if known && re.Requests >= old.Requests || !known && len(ro.reports) < maxReporters {
		ro.reports[re.From] = re
	}
}

// failures returns the evidence on failures of all entries, by pool.
func (ro *rollout) failures() map[string]Tally {
	out := map[string]Tally{}
	for name, ta := range ro.evidence.tallies() {
		out[name] = ta.Failures
	}
	for _, re := range ro.reports {
		for name, ta := range re.Pools {
			sum := out[name]
			sum.add(ta.Failures)
			out[name] = sum
		}
	}
	return out
}

// oldAnswers returns how many answers of the old version all entries have seen since the order, by pool.
func (ro *rollout) oldAnswers() map[string]int {
	out := ro.evidence.oldAnswers()
	for _, re := range ro.reports {
		for name, count := range re.OldAnswers {
			out[name] += count
		}
	}
	return out
}

// oldAnswers returns how many answers of the old version this entry has seen since the order, by pool.
func (ev *evidence) oldAnswers() map[string]int {
	out := map[string]int{}
	for name, co := range ev.pools {
		if co.fails.old > 0 {
			out[name] = co.fails.old
		}
	}
	return out
}
