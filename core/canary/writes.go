package canary

import (
	"fmt"
	"time"

	"skylarkstand/core"
)

// DueWrites returns the writes that this entry should make now. Rank is the entry's position among
// the entries for a service: the first writes at once and each further one a little later, so that
// usually only one write is made and the loss of any entry merely delays it. A verdict is written
// at once by the entry that reaches it.
func (gu *Guard) DueWrites(now time.Time, rank func(core.ServiceID) int) []Write {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	var out []Write
	for sv, ro := range gu.rollouts {
		if ro.order.Revision == 0 || ro.final() {
			continue
		}
		if wr, ok := gu.dueWrite(now, ro, time.Duration(min(rank(sv), maxRank))*rankDelay); ok {
			out = append(out, wr)
		}
	}
	return out
}

func (gu *Guard) dueWrite(now time.Time, ro *rollout, wait time.Duration) (Write, bool) {
	elapsed := now.Sub(ro.startedAt) - wait
	fraction := float64(elapsed) / float64(max(ro.order.Duration, time.Second))
	inStep := float64(now.Sub(ro.steppedAt)-wait) / float64(max(ro.order.Duration, time.Second))
	current := ro.currentStep()
	switch {
	case ro.badReason != "":
		return ro.statusWrite(RolledBack, ro.badReason), true
	case elapsed < 0:
		return Write{}, false
	case ro.state() == "":
		return ro.statusWrite(InProgress, "ordered"), true
	case ro.onHold(now) && fraction >= giveUpAt:
		return ro.statusWrite(RolledBack, "the evidence is still inconclusive at the end of the duration: "+ro.summary()), true
	case ro.onHold(now):
		return Write{}, false
	case current < lastStep && fraction >= gu.steps[current+1].from && inStep >= gu.minStepTime(current):
		return ro.stepWrite(current), true
	case current == lastStep && inStep >= completeAfter && (fraction >= completeBy || gu.oldInFlight(ro) == 0):
		return ro.statusWrite(Completed, ro.summary()), true
	}
	return Write{}, false
}

// holdThreshold is the evidence against a version at which no further step is taken. A good version
// reaches it with a chance of one in twenty, and then waits until more of its answers have ended.
// Without the hold, a bad version of a service with few requests would take further steps before
// there is enough evidence for a verdict.
const holdThreshold = 3.0

// giveUpAt is the fraction of the duration after which a version that is on hold is rolled back: it
// can no longer complete in time.
const giveUpAt = 0.965

// onHold reports whether the roll-out takes no further step: there is some evidence against the
// version, or too few of its attempts have yielded any.
func (ro *rollout) onHold(now time.Time) bool {
	if ro.trialCount(now).add(ro.siblingTrials).inconclusive() {
		return true
	}
	if ro.mostlySlow() {
		return true
	}
	all := &ro.evidence.all
	return max(ro.pooledSum, all.fails.sum, all.slows.sum, all.verySlows.sum) >= holdThreshold
}

// mostlySlow reports whether more than half of the new version's answers at all entries were slow. Where
// few answers end before the last step, the evidence of each is too weak for the threshold.
func (ro *rollout) mostlySlow() bool {
	own := ro.evidence.all.slows.tally()
	own.add(ro.siblingSlows)
	return 2*own.Bad > own.Seen
}

// minStepTime is the minimum time that a step lasts, as a fraction of the duration. A restarted
// entry counts it from its restart; other entries take the next step before it does.
func (gu *Guard) minStepTime(current int) float64 {
	if current == 0 {
		return 0
	}
	const slack = 0.9 // Tolerates clocks that differ slightly.
	return slack * (gu.steps[current+1].from - gu.steps[current].from)
}

func (ro *rollout) stepWrite(current int) Write {
	st := Step{Service: ro.order.Service, Order: ro.order.Revision, Step: current + 1, Revision: ro.step.Revision}
	return Write{Step: &st, Reason: ro.summary()}
}

// summary describes the evidence so far.
func (ro *rollout) summary() string {
	ev := ro.evidence.all
	return fmt.Sprintf("%d of %d answers failed and %d of %d were slow, %d requests were sent to it",
		ev.fails.bad, ev.fails.seen, ev.slows.bad, ev.slows.seen, ro.sent)
}

func (ro *rollout) statusWrite(st State, why string) Write {
	return Write{
		Status: &Status{Service: ro.order.Service, Target: ro.order.Target, State: st, Revision: ro.status.Revision},
		Reason: why,
	}
}
