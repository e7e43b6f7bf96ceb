// Package guard is the last check before an upstream: whether an attempt may run here under the
// configuration that is in force in the agent.
//
// The entry has made the same check with its own configuration. The two configurations may differ
// for the seconds in which a change propagates, and an entry may be paused between its check and its
// dispatch. The agent is the only way to reach its upstream, so an attempt that it refuses does not
// run.
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

// retryDelay is the time after which another upstream will have taken over.
const retryDelay = time.Second

// Check returns nil if the attempt may run on the host, else the refusal, which always reports that
// the attempt did not run.
func Check(sn *declaration.Snapshot, ho core.Host, leaving bool, at *core.Attempt) *core.Failure {
	switch {
	case leaving:
		return core.Refuse(core.CodeLeaving, retryDelay, "upstream %s is leaving", ho.ID)
	case sn == nil:
		return core.Refuse(core.CodeNoConfig, retryDelay, "the agent of %s knows no configuration yet", ho.ID)
	case sn.Number < at.Generation:
		return core.Refuse(core.CodeStaleConfig, retryDelay, "the agent of %s is at generation %d, the request at %d", ho.ID, sn.Number, at.Generation)
	case sn.Evacuated(ho.Zone):
		return core.Refuse(core.CodeEvacuated, retryDelay, "zone %s of upstream %s is evacuated", ho.Zone, ho.ID)
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
		return core.Refuse(core.CodeNoUpstream, retryDelay, "upstream %s offers %q, not %q", ho.ID, ho.Service, at.Service)
	case sn.Operation(at.Service, at.Operation) == nil:
		return core.Refuse(core.CodeUnknownModel, 0, "there is no operation %s/%s", at.Service, at.Operation)
	case !sn.MayCall(at.Workspace, at.Service):
		return core.Refuse(core.CodeNotAllowed, 0, "workspace %q may not call service %q", at.Workspace, at.Service)
	}
	return nil
}

func checkModel(sn *declaration.Snapshot, ho core.Host, at *core.Attempt) *core.Failure {
	switch {
	case ho.ModelVersion() != at.Target:
		return core.Refuse(core.CodeNoUpstream, retryDelay, "upstream %s runs %s, not %s", ho.ID, ho.ModelVersion(), at.Target)
	case sn.Withdrawn(at.Target):
		return core.Refuse(core.CodeWithdrawn, retryDelay, "%s is withdrawn", at.Target)
	case !sn.MayRun(at.Workspace, at.Target):
		return core.Refuse(core.CodeNotAllowed, 0, "workspace %q may not use %s", at.Workspace, at.Target)
	}
	return nil
}
