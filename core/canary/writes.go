package canary

import (
	"fmt"
	"time"

	"skylarkstand/core"
)

const (
	// rankDelay is how long an entry waits, per entry ranked before it, before it makes the next
	// write itself. The host list may contain entries that are gone, so the wait is limited to
	// maxRank entries.
	rankDelay = 250 * time.Millisecond
	maxRank   = 4
	// finalRankDelay replaces rankDelay at the end of an order, where a late write misses it.
	finalRankDelay = 100 * time.Millisecond
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
		if wr, ok := gu.dueWrite(now, ro, min(rank(sv), maxRank)); ok {
			out = append(out, wr)
		}
	}
	return out
}

func (gu *Guard) dueWrite(now time.Time, ro *rollout, rank int) (Write, bool) {
	wait := time.Duration(rank) * rankDelay
	if ro.currentStep() == lastStep {
		wait = time.Duration(rank) * finalRankDelay
	}
	elapsed, inStep := now.Sub(ro.startedAt)-wait, now.Sub(ro.steppedAt)-wait
	duration, current := ro.duration(), ro.currentStep()
	late := elapsed >= gu.schedule.latest(duration)
	hold, pooled := ro.holdReason(now)
	if !pooled {
		ro.heldSince = now
	}
	// After the duration, a chance suspicion against a version that waits for evidence may pass.
	mustEnd := late && pooled && elapsed < duration || elapsed >= patience*duration || late && now.Sub(ro.heldSince) >= maxLateHold
	if hold == "" && current > 0 {
		hold, mustEnd = gu.unaccepted(now, ro, elapsed)
	}
	switch {
	case ro.badReason != "":
		return ro.statusWrite(RolledBack, ro.badReason), true
	case elapsed < 0:
		return Write{}, false
	case ro.inPlace:
		return ro.statusWrite(Completed, "the version is in use already"), true
	case ro.state() == "":
		return ro.statusWrite(InProgress, "ordered"), true
	case hold != "" && mustEnd:
		return ro.statusWrite(RolledBack, hold+" at the end of the duration: "+ro.summary()), true
	case hold != "" && current == lastStep-1 && elapsed >= duration && ro.stepShare() < maxSecondShare:
		return ro.shareWrite(maxSecondShare, hold), true
	case hold != "":
		return Write{}, false
	case current < lastStep && elapsed >= gu.schedule.begin(current+1, duration) && inStep >= gu.minStepTime(current, duration):
		return gu.stepWrite(now, ro, current), true
	case current == lastStep && elapsed >= gu.schedule.complete(duration) && inStep >= gu.minStepTime(current, duration) &&
		(elapsed >= duration || gu.mayComplete(now, ro, elapsed >= gu.schedule.late(duration))):
		return ro.statusWrite(Completed, ro.summary()), true
	}
	return Write{}, false
}

// maxLateHold is how long a suspicion may last after the order's duration.
const maxLateHold = 2 * time.Second

// holdThreshold is the evidence against a version at which no further step is taken. A good version
// reaches it with a chance of one in twenty, and then waits until more of its answers have ended.
// Without the hold, a bad version of a service with few requests would take further steps before
// there is enough evidence for a verdict.
const holdThreshold = 3.0

// holdReason returns why the roll-out takes no further step, or "" if it may: there is some evidence against the
// version, or too little for it. It also returns whether that is the evidence of all entries.
func (ro *rollout) holdReason(now time.Time) (why string, pooled bool) {
	tc := ro.trialCount(now).add(ro.siblingTrials)
	switch {
	case tc.inconclusive():
		return "most attempts have had no outcome yet", true
	case ro.evidence.engines && ro.currentStep() < lastStep && tc.untested():
		return "hardly any outcome tells the version's speed", true
	case ro.mostlySlow():
		return "most answers were slow", true
	case !ro.speedAccepted():
		return "the answers do not speak for the version's speed", true
	case ro.strongestSuspicion().sum >= holdThreshold:
		return ro.strongestSuspicion().why, ro.suspicion.sum >= holdThreshold
	default:
		return "", false
	}
}

// strongestSuspicion returns the strongest evidence against the version, of this entry or of all entries together.
func (ro *rollout) strongestSuspicion() suspicion {
	all := &ro.evidence.all
	own := max(all.fails.sum, all.slows.sum, all.verySlows.sum, all.slowPrefills.sum)
	return ro.suspicion.max(suspicion{own, "there is evidence against the version at this entry"})
}

// mostlySlow reports whether more than half of the new version's answers at all entries were slow. Where
// few answers end before the last step, the evidence of each is too weak for the threshold.
func (ro *rollout) mostlySlow() bool {
	own := ro.evidence.all.slows.tally()
	own.add(ro.siblingSpeed.SlowAnswers)
	return 2*own.Bad > own.Seen
}

const (
	// acceptThreshold is the evidence below which the version's speed is accepted: a sequential test has two ends,
	// and the completion can't be undone.
	acceptThreshold = -1.0
	// minAcceptSeen is the number of answers from which that evidence is required: fewer can't yield it after
	// a single chance outcome.
	minAcceptSeen = 8
)

// speedAccepted reports whether the answers at all entries speak for the version's speed, as far as there are
// enough of them.
func (ro *rollout) speedAccepted() bool {
	for _, te := range []struct{ own, siblings Tally }{
		{ro.evidence.all.slows.tally(), ro.siblingSpeed.SlowAnswers},
		{ro.evidence.all.slowPrefills.tally(), ro.siblingSpeed.SlowPrefills},
	} {
		te.own.add(te.siblings)
		if te.own.Seen >= minAcceptSeen && te.own.Total > acceptThreshold {
			return false
		}
	}
	return true
}

// minStepTime is the minimum time that a step lasts. A restarted entry counts it from its restart; other
// entries take the next step before it does.
func (gu *Guard) minStepTime(step int, duration time.Duration) time.Duration {
	const slack = 0.9 // Tolerates clocks that differ slightly.
	switch step {
	case 0:
		return 0
	case lastStep:
		return fractionOf(gu.schedule.lastTime(duration), minInLastStep)
	default:
		return fractionOf(gu.schedule.begin(step+1, duration)-gu.schedule.begin(step, duration), slack)
	}
}

func (gu *Guard) stepWrite(now time.Time, ro *rollout, current int) Write {
	st := Step{Service: ro.order.Service, Order: ro.order.Revision, Step: current + 1, Revision: ro.step.Revision}
	if st.Step < lastStep {
		st.Share = gu.affordableShare(now, ro)
	}
	return Write{Step: &st, Reason: ro.summary()}
}

// shareWrite changes the share of the current step.
func (ro *rollout) shareWrite(share float64, why string) Write {
	st := ro.step
	st.Share = share
	return Write{Step: &st, Reason: why}
}

// summary describes the evidence of this entry, and how many requests all entries have sent.
func (ro *rollout) summary() string {
	ev := ro.evidence.all
	return fmt.Sprintf("%d of %d answers failed, %d of %d were slow and %d of %d slow to begin; %d of %d requests were sent to it, %d of %d at the other entries",
		ev.fails.bad, ev.fails.seen, ev.slows.bad, ev.slows.seen, ev.slowPrefills.bad, ev.slowPrefills.seen, ro.own.sent, ro.own.all, ro.siblings.sent, ro.siblings.all)
}

func (ro *rollout) statusWrite(st State, why string) Write {
	return Write{
		Status: &Status{Service: ro.order.Service, Target: ro.order.Target, State: st, Revision: ro.status.Revision},
		Reason: why,
	}
}
