package canary

import (
	"math"
	"time"
)

// exposureLimit is the number of requests that a bad version of a service may receive during an order:
// a share of all requests, and some more.
type exposureLimit struct {
	share float64
	slack float64
}

// planned returns how many of a number of requests the new version may have received.
func (el exposureLimit) planned(all, slack float64) float64 {
	return plannedFraction * (el.share*all + slack)
}

// requestCount counts the requests for a service since the order.
type requestCount struct {
	all int
	// sent counts those to the new version.
	sent int
	// perSecond is the present rate.
	perSecond float64
	// entries counts the entries whose requests are counted.
	entries int
}

func (rc requestCount) plus(other requestCount) requestCount {
	return requestCount{rc.all + other.all, rc.sent + other.sent, rc.perSecond + other.perSecond, rc.entries + other.entries}
}

// requestRate estimates the requests a second, as a mean over about rateTime.
type requestRate struct {
	value float64
	at    time.Time
}

// rateTime is the time over which requests are counted: a burst shows within a few tenths of a second.
const rateTime = 500 * time.Millisecond

func (rr *requestRate) add(now time.Time) {
	rr.value, rr.at = rr.perSecond(now)+1/rateTime.Seconds(), now
}

func (rr *requestRate) perSecond(now time.Time) float64 {
	if rr.at.IsZero() {
		return 0
	}
	return rr.value * math.Exp(-max(now.Sub(rr.at), 0).Seconds()/rateTime.Seconds())
}

// mayExpose reports whether this entry may send another request to the new version. Each entry keeps the
// limit for its own requests and its part of the slack, so that all together keep it without
// communication, whatever their traffic does.
func (gu *Guard) mayExpose(now time.Time, ro *rollout) bool {
	if now.Sub(ro.startedAt) >= ro.duration() {
		return true // The limit is on the requests until the order's end.
	}
	sent, all := float64(ro.own.sent), float64(ro.own.all)
	planned := gu.exposure.planned(all, gu.partOfSlack(1))
	if ro.currentStep() == lastStep {
		// The requests after the completion can't be kept from the new version.
		rest := ro.duration() - gu.schedule.late(ro.duration())
		return sent+stepBurstFactor*rest.Seconds()*ro.rate.perSecond(now) < planned
	}
	if gu.withinLimit(now, ro, ro.own, 1) {
		return true
	}
	// Where the siblings have reported, all entries keep the limit together: one that sent a session to the old
	// version for lack of exposure would move it back.
	return now.Sub(ro.reportedAt) < maxReportAge && gu.withinLimit(now, ro, ro.own.plus(ro.siblings), 1+ro.siblings.entries)
}

// withinLimit reports whether a number of entries may send another request to the new version in the steps before
// the last one, given their requests so far.
func (gu *Guard) withinLimit(now time.Time, ro *rollout, rc requestCount, entries int) bool {
	all, slack := float64(rc.all), gu.partOfSlack(entries)
	since := now.Sub(ro.startedAt)
	// Leaves what the last step needs, of all that will be allowed by then.
	rate := all / max(since.Seconds(), 1)
	left := max(gu.schedule.begin(lastStep, ro.duration())-since, 0).Seconds()
	atLastStep := gu.exposure.planned(all+rate*left, slack) - gu.lastStepRequests(ro.duration(), rate)
	scheduled, chosen := gu.plannedShare(now, ro)
	usual := func(share float64) float64 {
		return capFactor*share*all + (capSlack+gu.usedSlack(ro))*float64(entries)
	}
	return float64(rc.sent) < min(gu.exposure.planned(all, slack), usual(chosen), max(atLastStep, usual(scheduled)))
}

// share returns the share of the sessions that the new version receives in the current step.
func (gu *Guard) share(ro *rollout) float64 {
	return max(gu.schedule.shares[ro.currentStep()], ro.stepShare())
}

// stepShare returns the share that the current step was written with, or 0.
func (ro *rollout) stepShare() float64 {
	if ro.step.Order != ro.order.Revision {
		return 0
	}
	return min(max(ro.step.Share, 0), maxSecondShare)
}

// affordableShare returns the share of the sessions that the new version may receive in the second step, so that
// the roll-out uses the whole exposure limit: how much evidence there is at its end depends on it.
func (gu *Guard) affordableShare(now time.Time, ro *rollout) float64 {
	duration, elapsed, rc := ro.duration(), now.Sub(ro.startedAt), ro.own.plus(ro.siblings)
	rate := float64(rc.all) / max(elapsed.Seconds(), 1)
	inStep := max(gu.schedule.begin(lastStep, duration)-elapsed, 0).Seconds() * rate
	planned := gu.exposure.planned(float64(rc.all)+inStep, gu.partOfSlack(1+ro.siblings.entries))
	left := planned - gu.lastStepRequests(duration, rate) - float64(rc.sent)
	return min(max(affordableFraction*left/max(inStep, 1), gu.schedule.shares[1]), maxSecondShare)
}

const (
	// maxSecondShare bounds the share of the sessions in the second step.
	maxSecondShare = 0.35
	// affordableFraction leaves room for sessions that send more requests than others.
	affordableFraction = 0.95
	// maxReportAge is the age up to which the siblings' reports count for the limit.
	maxReportAge = 1500 * time.Millisecond
)

// lastStepRequests returns how many requests the new version receives from the last step to the order's end, at a
// number of requests a second that may grow after the completion.
func (gu *Guard) lastStepRequests(duration time.Duration, perSecond float64) float64 {
	begin, latest := gu.schedule.begin(lastStep, duration), gu.schedule.latest(duration)
	return perSecond * (latest - begin + time.Duration(burstFactor(perSecond)*float64(duration-latest))).Seconds()
}

// usedSlack returns the part of the slack that this entry may use by the end of the current step. Where few
// requests come, the share of them alone is too few to tell a bad version from a good one.
func (gu *Guard) usedSlack(ro *rollout) float64 {
	if ro.joinedLate {
		return 0
	}
	fraction := 0.0
	for step := 0; step <= min(ro.currentStep(), lastStep-1); step++ {
		fraction += slackFractions[step]
	}
	return fraction * gu.partOfSlack(1)
}

// slackShare returns the share of the requests without a session that the new version receives beyond the step's
// share, by the slack: the same number of requests, whatever the traffic. Sessions have the same share at all
// entries, so that one that reaches several keeps its version.
func (gu *Guard) slackShare(now time.Time, ro *rollout) float64 {
	current := ro.currentStep()
	if current == lastStep || ro.joinedLate {
		return 0
	}
	length := gu.schedule.begin(current+1, ro.duration()) - gu.schedule.begin(current, ro.duration())
	expected := ro.meanRate(now) * length.Seconds()
	return min(slackFractions[current]*gu.partOfSlack(1)/max(expected, 1), maxSlackShare)
}

// slackFractions are the parts of the slack that the steps before the last one use, and maxSlackShare bounds the
// share of the requests that this makes.
var slackFractions = [lastStep]float64{0.12, 0.15}

const maxSlackShare = 0.3

// meanRate returns this entry's requests a second since the order.
func (ro *rollout) meanRate(now time.Time) float64 {
	return float64(ro.own.all) / max(now.Sub(ro.startedAt).Seconds(), 1)
}

// partOfSlack returns the part of the slack that a number of entries have together. It is 0 while no entry is known:
// each of those that start together would take the slack whole.
func (gu *Guard) partOfSlack(entries int) float64 {
	all := gu.entries()
	if all == 0 {
		return 0
	}
	return min(float64(entries)/float64(all), 1) * gu.exposure.slack
}

// plannedShare returns the share of all requests since the order that the new version should have
// received by now, by the schedule and by the share that the step was written with. Sessions differ in size, so that
// a step's share of them may be more of the requests.
func (gu *Guard) plannedShare(now time.Time, ro *rollout) (scheduled, chosen float64) {
	first, second := gu.schedule.shares[0], gu.schedule.shares[1]
	elapsed, begin := now.Sub(ro.startedAt), gu.schedule.begin(1, ro.duration())
	if ro.currentStep() == 0 || elapsed <= begin {
		return first, first
	}
	inFirst := float64(begin) / float64(elapsed)
	return first*inFirst + second*(1-inFirst), first*inFirst + max(second, ro.stepShare())*(1-inFirst)
}

// burstFactor returns the growth of the rate after the completion that a roll-out is prepared for: the fewer
// requests, the more their rate varies.
func burstFactor(perSecond float64) float64 { return min(2+35/max(perSecond, 1), 8) }

const (
	// earlyBurstFactor is how much more growth a completion is prepared for that is not late.
	earlyBurstFactor = 1.5
	// stepBurstFactor is the growth that requests in the last step leave room for.
	stepBurstFactor = 2
)

// mayComplete reports whether the new version would stay within the limit if it received all requests
// from now until the order's end, at a rate that may grow by burstFactor, or more before the completion is late. After the completion, nothing keeps
// requests from it any more.
func (gu *Guard) mayComplete(now time.Time, ro *rollout, late bool) bool {
	all, sent := float64(ro.own.all+ro.siblings.all), float64(ro.own.sent+ro.siblings.sent)
	rest := max(ro.startedAt.Add(ro.duration()).Sub(now), 0).Seconds()
	// The siblings' rates are a moment old; this entry's own share of the requests shows a change at once.
	rate := ro.rate.perSecond(now)
	rate = max(rate+ro.siblings.perSecond, rate*all/float64(max(ro.own.all, 1)))
	rate = max(rate, all/max(now.Sub(ro.startedAt).Seconds(), 1)) // A lull of a moment does not count.
	burst := burstFactor(rate)
	if !late {
		burst *= earlyBurstFactor
	}
	expected := rest * burst * rate
	// The reports may be of a part of the entries, which has a part of the slack.
	return sent+expected <= gu.exposure.planned(all+expected, gu.partOfSlack(1+ro.siblings.entries))
}
