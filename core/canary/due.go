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
		if wr, ok := ro.due(now, time.Duration(rank(sv))*rankDelay, gu.old(ro)); ok {
			out = append(out, wr)
		}
	}
	return out
}

func (ro *rollout) due(now time.Time, wait time.Duration, old int) (Write, bool) {
	past := now.Sub(ro.began) - wait
	part := float64(past) / float64(max(ro.order.Duration, time.Second))
	at := ro.at()
	switch {
	case ro.bad != "":
		return ro.write(RolledBack, ro.bad), true
	case ro.state() == "" && past >= 0:
		return ro.write(InProgress, "ordered"), true
	case ro.state() == "":
		return Write{}, false
	case at+1 < len(steps):
		return ro.next(at, part, now.Sub(ro.stepped)-wait)
	case part >= completeBy || part >= completeFrom && old == 0:
		if now.Sub(ro.stepped)-wait < ro.dwell(completeFrom-steps[at].from) {
			return Write{}, false
		}
		return ro.write(Completed, fmt.Sprintf("%d requests were sent to it", ro.sent)), true
	}
	return Write{}, false
}

// next takes the step after at, when its time has come and the version has
// shown something. An entry that was restarted counts from then and so waits
// longer, never less.
func (ro *rollout) next(at int, part float64, stood time.Duration) (Write, bool) {
	if part < steps[at+1].from || stood < ro.dwell(steps[at+1].from-steps[max(at, 1)].from) {
		return Write{}, false
	}
	if ro.evidence.all.seen == 0 && part < completeFrom {
		return Write{}, false // It has had no request here; another entry may know more.
	}
	st := Step{Service: ro.order.Service, Order: ro.order.Revision, Step: at + 1, Revision: ro.step.Revision}
	why := fmt.Sprintf("%d of %d answers failed or were slow", ro.evidence.all.bad, ro.evidence.all.seen)
	return Write{Step: &st, Why: why}, true
}

// dwell is a part of the order's time, a little less so that clocks that
// differ slightly do not cost a round.
func (ro *rollout) dwell(part float64) time.Duration {
	const slack = 0.9
	return time.Duration(slack * part * float64(ro.order.Duration))
}

func (ro *rollout) write(st State, why string) Write {
	return Write{
		Status: &Status{Service: ro.order.Service, Target: ro.order.Target, State: st, Revision: ro.status.Revision},
		Why:    why,
	}
}
