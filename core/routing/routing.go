// Package routing determines which model versions a request may run on, and in which order.
//
// The version is chosen once per stage, among those that the workspace allows and that are not
// withdrawn: the session's pinned version, else the version under roll-out for its share of new
// sessions, else the stable version.
//
// # Usage
//
//	plan, err := routing.Resolve(snap, ws, "quick", routing.Session{Pins: pins, Fraction: fraction})
//	for _, st := range plan.Stages { … }
package routing

import (
	"slices"

	"skylarkstand/core"
	"skylarkstand/core/declaration"
)

// Session is the state of a request's session.
type Session struct {
	// Pins are the versions that the session is pinned to, by model.
	Pins map[core.ModelID]core.VersionID
	// Fraction returns a number from 0 to 1 that decides whether a new session belongs to the share of a
	// version's roll-out. It is the same for all requests of a session. If it is nil, the session belongs to none.
	Fraction func(core.ModelVersion) float64
	// Stale reports that the configuration may be outdated. A version under roll-out then gets no
	// new sessions, because its halt may not have arrived yet.
	Stale bool
	// Halted reports whether this entry has halted the roll-out of a version before the
	// configuration contains the halt. If it is nil, no version is halted.
	Halted func(core.ModelVersion) bool
}

// mayJoin reports whether a new session may be assigned a version that is rolled out to a share of
// sessions.
//
// A configuration that may be outdated must not assign more sessions to the version, because its
// halt or withdrawal may not have arrived. Otherwise callers of a partitioned entry would get a bad
// version for as long as the partition lasts. Stable versions, and sessions that are pinned to the
// new version, are not affected.
func (se Session) mayJoin(mv core.ModelVersion, ro *declaration.RollOut) bool {
	halted := ro.Halted != "" || (se.Halted != nil && se.Halted(mv))
	return !halted && !se.Stale && se.Fraction != nil && se.Fraction(mv)*100 < float64(ro.Percent)
}

// Plan lists the model versions that a request may run on: one stage for a model, one or more for a
// cascade.
type Plan struct {
	Cascade core.CascadeID
	Stages  []Stage
}

// Stage is one model version of a plan.
type Stage struct {
	Target  core.ModelVersion
	Version *declaration.Version
	// Repinned reports that the session had to leave its pinned version, which is withdrawn or no
	// longer allowed. The caller is informed.
	Repinned bool
	// JoinedRollOut reports that a new session was assigned a version under roll-out.
	JoinedRollOut bool
}

// Resolve returns the plan for the name of a cascade or model. Errors are [core.Failure]s with
// [core.NotRun].
func Resolve(sn *declaration.Snapshot, ws core.WorkspaceID, name string, se Session) (Plan, error) {
	if ca := sn.Cascade(core.CascadeID(name)); ca != nil {
		return resolveCascade(sn, ws, ca, se)
	}
	mo := sn.Model(core.ModelID(name))
	if mo == nil {
		return Plan{}, core.Refuse(core.CodeUnknownModel, 0, "there is no model or cascade %q", name)
	}
	st, ok := chooseVersion(sn, ws, mo, se)
	if !ok {
		return Plan{}, core.Refuse(core.CodeNotAllowed, 0, "the workspace may use no version of %q now", name)
	}
	return Plan{Stages: []Stage{st}}, nil
}

func resolveCascade(sn *declaration.Snapshot, ws core.WorkspaceID, ca *declaration.Cascade, se Session) (Plan, error) {
	if !sn.MayCascade(ws, ca.ID) {
		return Plan{}, core.Refuse(core.CodeNotAllowed, 0, "the workspace may not use cascade %q", ca.ID)
	}
	plan := Plan{Cascade: ca.ID}
	for _, id := range ca.Stages {
		// A stage without an allowed version is skipped: the other stages of the cascade can still
		// answer.
		if st, ok := chooseVersion(sn, ws, sn.Model(id), se); ok {
			plan.Stages = append(plan.Stages, st)
		}
	}
	if len(plan.Stages) == 0 {
		return Plan{}, core.Refuse(core.CodeNotAllowed, 0, "the workspace may use no stage of cascade %q now", ca.ID)
	}
	return plan, nil
}

// chooseVersion selects the version of one model, or reports that none may run.
func chooseVersion(sn *declaration.Snapshot, ws core.WorkspaceID, mo *declaration.Model, se Session) (Stage, bool) {
	if mo == nil {
		return Stage{}, false
	}
	stage := func(ve core.VersionID) (Stage, bool) {
		mv := core.ModelVersion{Model: mo.ID, Version: ve}
		if !sn.MayRun(ws, mv) {
			return Stage{}, false
		}
		return Stage{Target: mv, Version: sn.Version(mv)}, true
	}
	pin, pinned := se.Pins[mo.ID]
	if pinned {
		if st, ok := stage(pin); ok {
			return st, true
		}
	}
	st, ok := chooseNew(sn, mo, se, stage)
	st.Repinned = ok && pinned
	return st, ok
}

// chooseNew selects the version for a session without a usable pin.
func chooseNew(sn *declaration.Snapshot, mo *declaration.Model, se Session, stage func(core.VersionID) (Stage, bool)) (Stage, bool) {
	ro := sn.RollOut(mo.ID)
	if ro != nil && se.mayJoin(core.ModelVersion{Model: mo.ID, Version: ro.Version}, ro) {
		if st, ok := stage(ro.Version); ok {
			st.JoinedRollOut = ro.Version != mo.Stable
			return st, true
		}
	}
	if st, ok := stage(mo.Stable); ok {
		return st, true
	}
	// The stable version may not run for this workspace. The newest allowed version that is not
	// under roll-out is the closest to what the operators intended.
	for _, ve := range slices.Backward(mo.Versions) {
		if ro != nil && ro.Version == ve.ID {
			continue
		}
		if st, ok := stage(ve.ID); ok {
			return st, true
		}
	}
	return Stage{}, false
}
