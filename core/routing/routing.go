// Package routing decides which model versions a request may run on, and in
// which order they are tried.
//
// The choice of a version is made once for each stage: what the workspace
// allows and is not withdrawn, then the session's pin, then the roll-out's
// share of new sessions, then the stable version.
//
// # Usage
//
//	plan, err := routing.Resolve(snap, ws, "quick", routing.Session{Pins: pins, Draw: rnd})
//	for _, st := range plan.Stages { … }
package routing

import (
	"slices"

	"skylarkstand/core"
	"skylarkstand/core/declaration"
)

// Session is what a request brings from its session.
type Session struct {
	// Pins are the versions that the session runs on, by model.
	Pins map[core.ModelID]core.VersionID
	// Draw is a number from 0 to 1 that places a new session in or out of a
	// roll-out's share. All requests of a session have the same one.
	Draw float64
	// Stale says that the configuration may be outdated. A version under
	// roll-out then gets no new sessions: the halt may not have arrived.
	Stale bool
	// Halted reports the versions whose roll-out this entry has halted before
	// the configuration says so. Nil is none.
	Halted func(core.ModelVersion) bool
}

// mayJoin reports whether a new session may be given a version that is rolled
// out to a share of sessions.
//
// A configuration that may be outdated must not give it more sessions: the
// halt or the withdrawal may be on its way. Callers of an entry that was cut
// off would meet a bad version for as long as the cut lasts. Stable versions
// and sessions that are on the new one go on as they are.
func (se Session) mayJoin(mv core.ModelVersion, ro *declaration.RollOut) bool {
	halted := ro.Halted != "" || (se.Halted != nil && se.Halted(mv))
	return !halted && !se.Stale && se.Draw*100 < float64(ro.Percent)
}

// Plan is what a request runs on: one stage for a model, several for a
// cascade.
type Plan struct {
	Cascade core.CascadeID
	Stages  []Stage
}

// Stage is one model version of a plan.
type Stage struct {
	Target  core.ModelVersion
	Version *declaration.Version
	// Repinned tells that the session's pin could not be kept, because its
	// version is withdrawn or no longer allowed. The caller is told.
	Repinned bool
	// Joined tells that a new session was given a version under roll-out.
	Joined bool
}

// Resolve works out the plan for a name, which is a cascade's or a model's.
// Errors are [core.Failure]s that were not run.
func Resolve(sn *declaration.Snapshot, ws core.WorkspaceID, name string, se Session) (Plan, error) {
	if ca := sn.Cascade(core.CascadeID(name)); ca != nil {
		return resolveCascade(sn, ws, ca, se)
	}
	mo := sn.Model(core.ModelID(name))
	if mo == nil {
		return Plan{}, core.Refuse(core.CodeUnknownModel, 0, "there is no model or cascade %q", name)
	}
	st, ok := choose(sn, ws, mo, se)
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
		// A stage without an allowed version is passed over: the cascade's
		// other stages can still answer.
		if st, ok := choose(sn, ws, sn.Model(id), se); ok {
			plan.Stages = append(plan.Stages, st)
		}
	}
	if len(plan.Stages) == 0 {
		return Plan{}, core.Refuse(core.CodeNotAllowed, 0, "the workspace may use no stage of cascade %q now", ca.ID)
	}
	return plan, nil
}

// choose picks the version of one model, or reports that none may run.
func choose(sn *declaration.Snapshot, ws core.WorkspaceID, mo *declaration.Model, se Session) (Stage, bool) {
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

// chooseNew picks the version of a session that has none.
func chooseNew(sn *declaration.Snapshot, mo *declaration.Model, se Session, stage func(core.VersionID) (Stage, bool)) (Stage, bool) {
	ro := sn.RollOut(mo.ID)
	if ro != nil && se.mayJoin(core.ModelVersion{Model: mo.ID, Version: ro.Version}, ro) {
		if st, ok := stage(ro.Version); ok {
			st.Joined = ro.Version != mo.Stable
			return st, true
		}
	}
	if st, ok := stage(mo.Stable); ok {
		return st, true
	}
	// The stable version may not run here. The newest one that may and is not
	// being tried out is the nearest to what the operators meant.
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
