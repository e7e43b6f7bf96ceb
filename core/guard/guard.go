// Package guard is the last check before an upstream: whether an attempt may
// run here by the configuration that is in force in the agent.
//
// The entry has checked the same by its own configuration. The two may differ
// for the seconds in which a change spreads, and an entry may be paused
// between its check and its dispatch. The agent is the only way in to its
// upstream, so what it refuses does not run.
//
// # Usage
//
//	if fl := guard.Check(snap, host, leaving, at); fl != nil { refuse }
package guard

import (
	"time"

	"skylarkstand/core"
	"skylarkstand/core/declaration"
)

// retrySoon is when another upstream will have taken over.
const retrySoon = time.Second

// Check returns nil when the attempt may run on the host, or the refusal. Its
// refusals are always "not run".
func Check(sn *declaration.Snapshot, ho core.Host, leaving bool, at *core.Attempt) *core.Failure {
	switch {
	case leaving:
		return core.Refuse(core.CodeLeaving, retrySoon, "upstream %s is leaving", ho.ID)
	case sn == nil:
		return core.Refuse(core.CodeNoConfig, retrySoon, "the agent of %s knows no configuration yet", ho.ID)
	case sn.Number < at.Generation:
		return core.Refuse(core.CodeStaleConfig, retrySoon, "the agent of %s is at generation %d, the request at %d", ho.ID, sn.Number, at.Generation)
	case sn.Evacuated(ho.Zone):
		return core.Refuse(core.CodeEvacuated, retrySoon, "zone %s of upstream %s is evacuated", ho.Zone, ho.ID)
	case !sn.MayPlace(at.Workspace, ho):
		return core.Refuse(core.CodeNoRegion, 0, "workspace %q may not be served in region %s", at.Workspace, ho.Region)
	case at.Service != "":
		return checkService(sn, ho, at)
	default:
		return checkModel(sn, ho, at)
	}
}

func checkService(sn *declaration.Snapshot, ho core.Host, at *core.Attempt) *core.Failure {
	switch {
	case ho.Service != at.Service:
		return core.Refuse(core.CodeNoUpstream, retrySoon, "upstream %s offers %q, not %q", ho.ID, ho.Service, at.Service)
	case sn.Operation(at.Service, at.Operation) == nil:
		return core.Refuse(core.CodeUnknownModel, 0, "there is no operation %s/%s", at.Service, at.Operation)
	case !sn.MayCall(at.Workspace, at.Service):
		return core.Refuse(core.CodeNotAllowed, 0, "workspace %q may not call service %q", at.Workspace, at.Service)
	}
	return nil
}

func checkModel(sn *declaration.Snapshot, ho core.Host, at *core.Attempt) *core.Failure {
	switch {
	case ho.Serves() != at.Target:
		return core.Refuse(core.CodeNoUpstream, retrySoon, "upstream %s runs %s, not %s", ho.ID, ho.Serves(), at.Target)
	case sn.Withdrawn(at.Target):
		return core.Refuse(core.CodeWithdrawn, retrySoon, "%s is withdrawn", at.Target)
	case !sn.MayRun(at.Workspace, at.Target):
		return core.Refuse(core.CodeNotAllowed, 0, "workspace %q may not use %s", at.Workspace, at.Target)
	}
	return nil
}
