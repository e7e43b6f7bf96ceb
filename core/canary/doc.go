// Package canary brings a new version of a service's upstreams into use, and
// takes a bad one out again.
//
// It answers two harms. A bad version that gets much traffic before it is
// known for bad fails that many callers; a session that changes between
// versions meets answers that do not fit its earlier ones. So a roll-out begins
// with a small fixed share of the sessions, chosen by a hash of their id, which
// all entries work out alike without asking one another; sessions that are
// under way stay where they are. Each entry bounds what it sends to the new
// version by its own traffic, so that the bound holds over all entries also
// while they cannot hear one another. In the second half of the time that the
// operators gave, the share widens step by step, and when the old version has
// nothing left to do, the roll-out is complete.
//
// The steps and the verdict are kept in the store. Any entry may take the next
// step or roll back, by compare-and-swap, so that no entry's loss halts a
// roll-out. An entry that finds the version bad stops using it at once, before
// the store knows.
//
// # Usage
//
//	gu := canary.New(canary.SessionGap(5 * time.Second))
//	gu.Order(now, order); gu.Status(status); gu.Step(step)   // from the store
//	hosts = gu.Choose(now, service, session, draw, hosts, fresh)
//	gu.Observe(canary.Outcome{…})
//	for _, wr := range gu.Due(now, rank) { … write it … }
package canary

import (
	"time"

	"skylarkstand/core"
)

// State is how far a roll-out is, for the operators.
type State string

// The states. The last two are final.
const (
	InProgress State = "in-progress"
	Completed  State = "completed"
	RolledBack State = "rolled-back"
)

// Order is the operators' wish to move a service to a version.
type Order struct {
	Service  core.ServiceID
	Target   core.VersionID
	Duration time.Duration
	// Revision of the store identifies the order: the same version may be
	// ordered again after it was rolled back.
	Revision core.Revision
}

// Status is what the operators are told.
type Status struct {
	Service core.ServiceID
	Target  core.VersionID
	State   State
	// Revision is that of the key, 0 before the first status.
	Revision core.Revision
}

// Step is the step that a roll-out has reached, shared by the entries.
type Step struct {
	Service core.ServiceID `json:"service"`
	// Order is the revision of the order that the step belongs to.
	Order core.Revision `json:"order"`
	Step  int           `json:"step"`
	// Revision is that of the key, 0 before the first step.
	Revision core.Revision `json:"-"`
}

// Write is a change that is due in the store. One of the two is set; its
// Revision is the one that is replaced.
type Write struct {
	Status *Status
	Step   *Step
	// Why is the evidence, for the log.
	Why string
}

// step is one step of a roll-out.
type step struct {
	// share is the part of the sessions that the new version gets.
	share float64
	// from is when the step may begin, as a part of the order's time.
	from float64
}

// steps are those of every roll-out. The first is small: of forty requests a
// second it sends two or three to the new version, which shows a version that
// fails half of its requests within three seconds. Sessions may move from the
// second half of the time on; the margin above 0.5 is for entries that hear of
// the order late. Then each step doubles, with time between for a version that
// is bad only under load to show it. The last step leaves a fifth of the time
// for what the old version is still at.
var steps = [...]step{{0.06, 0}, {0.25, 0.53}, {0.5, 0.6}, {1, 0.67}}

const (
	// completeFrom is when a roll-out may be complete at the earliest, and
	// completeBy when it is although the old version still runs something:
	// streams go on at the new one.
	completeFrom = 0.76
	completeBy   = 0.88
	// capShare and capSlack bound what an entry sends to the new version in
	// the first step, by its own requests. Operators allow 0.12 and more of
	// all, and some 30 besides.
	capShare = 0.08
	capSlack = 2
	// rankDelay is how long an entry leaves the next write to those before it.
	rankDelay = 600 * time.Millisecond
)
