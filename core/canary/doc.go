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
// while they cannot hear one another. Near the end of the time that the
// operators gave, the share widens to all requests, late enough that even a
// version whose fault never shows keeps to the bound, and when the old version
// has nothing left to do, the roll-out is complete.
//
// Entries tell one another their evidence while a roll-out goes on, since each
// alone sees little of the first step, and how long it has been going on, which
// one that was restarted could not know. Without an answer each goes on alone.
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

const (
	// usable is the part of the allowed exposure that a roll-out plans with. The
	// rest is for traffic that falls in the course of it.
	usable = 0.9
	// trialPart is the share of the first step, as a part of the allowed
	// exposure. At 0.15 and forty requests a second, one a second goes to the new
	// version; all entries together see one that fails half of them within ten.
	trialPart = 0.22
	// widerShare and widerTime are the step between: a third of the sessions
	// for a twenty-fifth of the time, for a version that is bad only under load
	// or on a route that the first step has hardly met.
	widerShare = 0.3
	widerTime  = 0.04
	// completeBy is when a roll-out is complete although the old version still
	// runs something: streams then go on at the new one. Between the last step
	// and this, short work ends.
	completeBy = 0.95
	// completeAfter is the least time after the last step, as a part of all.
	completeAfter = 0.02
	// rankDelay is how long an entry leaves the next write to those before it.
	// The list may hold entries that are gone, so that nobody waits for more than
	// rankMost of them.
	rankDelay = 250 * time.Millisecond
	rankMost  = 4
)

// plan returns the steps for an allowed exposure, the part of all requests in
// the order's time that a bad version may get.
//
// A version can be bad in ways that no test shows before it carries the load.
// So the steps alone keep to the bound: whatever part of it the first two do
// not use is the time that is left at the last step, which moves everything. A
// version that is found bad earlier is rolled back earlier; one that is good is
// in use for all only shortly before its time is up, which costs nobody
// anything.
func plan(exposure float64) [3]step {
	trial := trialPart * exposure
	last := max(usable*exposure-trial-widerShare*widerTime, completeAfter+0.01)
	// Nothing is sent to it in the first moments, see settle. Where they are less
	// than settleMost of a longer roll-out, the share is a seventh too large at
	// most, which is within what usable leaves: 0.140 of 0.15.
	share := trial / (1 - settleMost)
	return [3]step{{share, 0}, {widerShare, 1 - last - widerTime}, {1, 1 - last}}
}
