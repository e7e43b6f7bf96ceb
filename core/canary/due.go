package canary

import (
	"fmt"
	"time"

	"skylarkstand/core"
)

// Due lists the writes that this entry should make now. Rank is its place
// among the entries for a service: the first writes at once, each further one a
// little later, so that mostly one write is made, and the loss of any entry
// only delays it. A verdict is written by whoever reaches it, at once.
func (gu *Guard) Due(now time.Time, rank func(core.ServiceID) int) []Write {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	var out []Write
	for sv, ro := range gu.rollouts {
		if ro.order.Revision == 0 || ro.final() {
			continue
		}
		if wr, ok := gu.due(now, ro, time.Duration(min(rank(sv), rankMost))*rankDelay); ok {
			out = append(out, wr)
		}
	}
	return out
}

func (gu *Guard) due(now time.Time, ro *rollout, wait time.Duration) (Write, bool) {
	past := now.Sub(ro.began) - wait
	part := float64(past) / float64(max(ro.order.Duration, time.Second))
	stood := float64(now.Sub(ro.stepped)-wait) / float64(max(ro.order.Duration, time.Second))
	at := ro.at()
	switch {
	case ro.bad != "":
		return ro.write(RolledBack, ro.bad), true
	case past < 0:
		return Write{}, false
	case ro.state() == "":
		return ro.write(InProgress, "ordered"), true
	case ro.doubted() && part >= giveUpAt:
		return ro.write(RolledBack, "its time is up in doubt: "+ro.shown()), true
	case ro.doubted():
		return Write{}, false
	case at < lastStep && part >= gu.steps[at+1].from && stood >= gu.dwell(at):
		return ro.next(at), true
	case at == lastStep && stood >= completeAfter && (part >= completeBy || gu.old(ro) == 0):
		return ro.write(Completed, ro.shown()), true
	}
	return Write{}, false
}

// holdAt is the evidence against a version from which no further step is taken:
// a chance of one in twenty for a good one, which then waits until more of its
// answers have ended. Where few requests come, a verdict would come too late.
const holdAt = 3.0

// giveUpAt is the part of the order's time after which a version that is in
// doubt is rolled back: it can not be completed any more.
const giveUpAt = 0.965

func (ro *rollout) doubted() bool {
	all := &ro.evidence.all
	return max(ro.doubt, all.fails.sum, all.slows.sum) >= holdAt
}

// dwell is how long a step stands at least, as a part of the order's time. An
// entry that was restarted counts the time from then; others go on before it.
func (gu *Guard) dwell(at int) float64 {
	if at == 0 {
		return 0
	}
	const slack = 0.9 // For clocks that differ slightly.
	return slack * (gu.steps[at+1].from - gu.steps[at].from)
}

func (ro *rollout) next(at int) Write {
	st := Step{Service: ro.order.Service, Order: ro.order.Revision, Step: at + 1, Revision: ro.step.Revision}
	return Write{Step: &st, Why: ro.shown()}
}

// shown is the evidence so far.
func (ro *rollout) shown() string {
	ev := ro.evidence.all
	return fmt.Sprintf("%d of %d answers failed and %d of %d were slow, %d requests were sent to it",
		ev.fails.bad, ev.fails.seen, ev.slows.bad, ev.slows.seen, ro.sent)
}

func (ro *rollout) write(st State, why string) Write {
	return Write{
		Status: &Status{Service: ro.order.Service, Target: ro.order.Target, State: st, Revision: ro.status.Revision},
		Why:    why,
	}
}
