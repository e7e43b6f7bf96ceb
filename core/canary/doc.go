// Package canary rolls out a new version of a service's upstreams and rolls back a bad one.
//
// It limits two kinds of harm. A bad version that receives much traffic before it is detected fails
// that many callers. A session that switches between versions receives answers that do not fit its
// earlier ones. So a roll-out starts with a small fixed share of the sessions, selected by a hash
// of the session id, which every entry computes alike without coordination; active sessions stay on
// their version. Each entry caps what it sends to the new version by its own traffic, so that the
// bound on exposure also holds over all entries while they cannot reach one another. Near the end
// of the order's duration the share widens to all requests. The bound counts requests, and traffic
// may grow at any time; so what an entry sends is limited by the requests that it has counted, in
// every step, and the completion waits while the requests expected until the order's end would
// exceed the bound, even if no fault of the version ever shows.
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
	// Share is the share of the sessions that the new version receives, where the exposure limit allows more
	// than the schedule; 0 for that of the schedule.
	Share float64 `json:"share,omitzero"`
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
