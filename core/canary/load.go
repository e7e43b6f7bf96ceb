package canary

import (
	"fmt"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/loadlimit"
)

// ObserveLoad records under which load an upstream made an answer, and whether the answer failed. Only
// versions that a roll-out brought are observed.
func (gu *Guard) ObserveLoad(now time.Time, ho core.Host, lo core.Load, failed bool) {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	if ro := gu.rollouts[ho.Service]; ro != nil && ro.order.Revision != 0 && ho.Version == ro.order.Target {
		ro.loadChanged = ro.load.Observe(now, lo, failed) || ro.loadChanged
	}
}

// LoadLimit returns the limit for the load of a version's upstreams. A version that receives no work has
// none, and is not watched.
func (gu *Guard) LoadLimit(sv core.ServiceID, ve core.VersionID) loadlimit.Share {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	if ro := gu.rollouts[sv]; ro != nil && ro.order.Revision != 0 && ve == ro.order.Target && !ro.rejected() {
		return loadlimit.Share{Limit: ro.load.Limit(), Entries: max(gu.entries(), 1)}
	}
	return loadlimit.Share{}
}

// LoadChange is a limit for the load of a version's upstreams that was set or lowered.
type LoadChange struct {
	Service core.ServiceID
	Version core.VersionID
	Limit   loadlimit.Limit
	// Evidence lists the failures and answers at each level of load.
	Evidence string
}

// NewLoadLimits returns the limits that were set or lowered since the last call.
func (gu *Guard) NewLoadLimits() []LoadChange {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	var out []LoadChange
	for sv, ro := range gu.rollouts {
		if !ro.loadChanged {
			continue
		}
		ro.loadChanged = false
		ch := LoadChange{Service: sv, Version: ro.order.Target, Limit: ro.load.Limit()}
		for i, co := range ro.load.Total() {
			if co.Answers >= 0.5 {
				ch.Evidence += fmt.Sprintf("%d: %.0f of %.0f failed; ", i+1, co.Failures, co.Answers)
			}
		}
		out = append(out, ch)
	}
	return out
}

// mergeLoads merges the siblings' counts of answers by load.
func (ro *rollout) mergeLoads(now time.Time, reports []Report) {
	var counts []loadlimit.Counts
	for _, re := range reports {
		if re.Service != ro.order.Service || re.Order != ro.order.Revision {
			continue
		}
		if re.Loads != nil {
			counts = append(counts, *re.Loads)
		}
		ro.loadChanged = ro.load.Adopt(re.LoadLimit) || ro.loadChanged
		ro.askedForLimit = ro.askedForLimit || ro.state() == Completed
	}
	ro.loadChanged = ro.load.Merge(now, counts) || ro.loadChanged
}

// needsReports reports whether the siblings' reports on a roll-out are of use: while it is in progress,
// once after its completion, since an entry that has started since does not know the limit that others have
// found, and once the version that it brought fails under load.
func (ro *rollout) needsReports(now time.Time) bool {
	if ro.order.Revision == 0 {
		return false
	}
	return !ro.final() || ro.state() == Completed && (!ro.askedForLimit || ro.load.Suspects(now))
}

// NeedsReports reports whether the siblings' reports are of use now.
func (gu *Guard) NeedsReports(now time.Time) bool { return gu.collectInterval(now) > 0 }

// collectInterval returns how often the siblings' reports are to be collected now, or 0 if they are of no
// use.
func (gu *Guard) collectInterval(now time.Time) time.Duration {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	interval := time.Duration(0)
	for _, ro := range gu.rollouts {
		switch {
		case !ro.needsReports(now):
		case !ro.final() && ro.currentStep() == lastStep:
			return lastStepInterval
		default:
			interval = collectInterval
		}
	}
	return interval
}
