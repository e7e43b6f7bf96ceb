// Package canary rolls out a new version of a service's upstreams and rolls back a bad one.
//
// It limits two kinds of harm. A bad version that receives much traffic before it is detected fails
// that many callers. A session that switches between versions receives answers that do not fit its
// earlier ones. So a roll-out starts with a small fixed share of the sessions, selected by a hash
// of the session id, which every entry computes alike without coordination; active sessions stay on
// their version. Each entry caps what it sends to the new version by its own traffic, so that the
// bound on exposure also holds over all entries while they cannot reach one another. Near the end
// of the order's duration the share widens to all requests, late enough that even a version whose
// fault never shows stays within the bound. Once the old version has no work left, the roll-out is
// complete.
//
// During a roll-out, entries exchange their evidence, since each entry alone receives few requests
// of the first step, and the elapsed time of the roll-out, which a restarted entry has lost. An
// entry that receives no reports decides by its own evidence.
//
// The steps and the verdict are kept in the store. Any entry may take the next step or roll back,
// by compare-and-swap, so that the loss of an entry never halts a roll-out. An entry that finds the
// version bad stops using it at once, before the store is updated.
//
// # Usage
//
//	gu := canary.New(canary.SessionGap(5 * time.Second))
//	gu.Order(now, order); gu.Status(status); gu.Step(step)   // from the store
//	hosts = gu.Choose(now, service, session, draw, hosts, fresh)
//	gu.Observe(canary.Outcome{…})
//	for _, wr := range gu.DueWrites(now, rank) { … write it … }
package canary

import (
	"time"

	"skylarkstand/core"
)

// State is the state of a roll-out, as shown to operators.
type State string

// The states. The last two are final.
const (
	InProgress State = "in-progress"
	Completed  State = "completed"
	RolledBack State = "rolled-back"
)

// Order is the operators' order to move a service to a version.
type Order struct {
	Service  core.ServiceID
	Target   core.VersionID
	Duration time.Duration
	// Revision is the store revision that identifies the order: the same version may be ordered
	// again after it was rolled back.
	Revision core.Revision
}

// Status is the state of a roll-out as reported to operators.
type Status struct {
	Service core.ServiceID
	Target  core.VersionID
	State   State
	// Revision is the store revision of the status key, 0 before the first status.
	Revision core.Revision
}

// Step is the current step of a roll-out, shared by the entries.
type Step struct {
	Service core.ServiceID `json:"service"`
	// Order is the revision of the order that the step belongs to.
	Order core.Revision `json:"order"`
	Step  int           `json:"step"`
	// Revision is the store revision of the step key, 0 before the first step.
	Revision core.Revision `json:"-"`
}

// Write is a change that has to be written to the store. Exactly one of Status and Step is set; its
// Revision is the store revision that the write replaces.
type Write struct {
	Status *Status
	Step   *Step
	// Reason is the evidence for the change, for the log.
	Reason string
}

// step is one step of a roll-out.
type step struct {
	// share is the fraction of the sessions that the new version receives.
	share float64
	// from is when the step may begin, as a fraction of the order's duration.
	from float64
}

const (
	// plannedFraction is the fraction of the allowed exposure that a roll-out plans to use. The
	// rest covers traffic that decreases during the roll-out.
	plannedFraction = 0.9
	// firstStepFraction is the share of the first step, as a fraction of the allowed exposure. At
	// an exposure of 0.15 and forty requests a second, one request a second goes to the new
	// version; all entries together detect a version that fails half of them within ten seconds.
	firstStepFraction = 0.22
	// secondStepFraction is the share of the second step, as a fraction of the allowed exposure, and
	// secondFrom when it begins. Active sessions stay on their version in the first step, so that hardly
	// any request reaches the new one where most belong to long sessions; from here on they move. Until half
	// of the duration, every session must keep its version. The step also detects a version that is bad on
	// a route that the first one rarely reached.
	secondStepFraction = 0.67
	secondFrom         = 0.62
	// completeBy is the fraction of the duration after which a roll-out completes even if the old
	// version still has requests in flight: streams are then resumed on the new version. Between
	// the last step and this point, short requests finish.
	completeBy = 0.95
	// completeAfter is the minimum time after the last step, as a fraction of the duration.
	completeAfter = 0.02
	// rankDelay is how long an entry waits, per entry ranked before it, before it makes the next
	// write itself. The host list may contain entries that are gone, so the wait is limited to
	// maxRank entries.
	rankDelay = 250 * time.Millisecond
	maxRank   = 4
)

// planSteps returns the steps for an allowed exposure, which is the fraction of all requests during
// the order that a bad version may receive.
//
// Some faults of a version appear only under full load, after all tests. So the schedule by itself
// must keep to the bound: the exposure that the first two steps leave unused determines how much time
// remains at the last step, which moves everything. A version that is found bad earlier is rolled
// back earlier; a good version serves all requests only shortly before the order's duration ends,
// which does no harm.
func planSteps(exposure float64) [lastStep + 1]step {
	// The new version receives nothing during the settling time (see settleTime).
	first := firstStepFraction * exposure / (1 - maxSettleFraction)
	second := secondStepFraction * exposure
	unused := plannedFraction*exposure - first*secondFrom - second*(1-secondFrom)
	// A longer last step shortens the second one.
	last := max(unused/(1-second), completeAfter+0.01)
	return [lastStep + 1]step{{first, 0}, {second, secondFrom}, {1, 1 - last}}
}
