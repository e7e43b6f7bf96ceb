package guard_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/declaration"
	"skylarkstand/core/guard"
)

func snapshot(withdrawn bool) *declaration.Snapshot {
	doc := declaration.Document{
		Models: []declaration.Model{{ID: "desk", Stable: "v1", Versions: []declaration.Version{{ID: "v1"}, {ID: "v2"}}}},
		Workspaces: []declaration.Workspace{
			{ID: "schools", Allow: []declaration.Allow{{Model: "desk", Versions: []core.VersionID{"v1"}}}, Services: []core.ServiceID{"subsidy"}},
		},
		Services: []declaration.Service{{ID: "subsidy", Operations: []declaration.Operation{{ID: "claim"}}}},
	}
	if withdrawn {
		doc.Withdrawals = []declaration.Withdrawal{{Model: "desk", Version: "v1"}}
	}
	return declaration.NewSnapshot(&declaration.Generation{Number: 7, Document: doc}, nil)
}

// restricted returns a configuration in which the workspace is restricted to a region and a zone
// may be evacuated.
func restricted(evacuated core.Zone) *declaration.Snapshot {
	doc := *snapshot(false).Doc
	doc.Workspaces[0].Regions = []core.Region{"muc"}
	if evacuated != "" {
		doc.Zones = []declaration.AvailabilityZone{{ID: evacuated, Region: "muc", Evacuated: "power works"}}
	}
	return declaration.NewSnapshot(&declaration.Generation{Number: 7, Document: doc}, nil)
}

// remoteEngine returns an engine in the first zone of a region.
func remoteEngine(re core.Region) core.Host {
	return core.Host{ID: "desk-1", Model: "desk", Version: "v1", Region: re, Zone: core.Zone(re) + "-a"}
}

// An entry that was paused, or whose configuration is out of date, dispatches an attempt that may
// not run any more. The agent is the last process that can refuse it; without that, a caller would
// be served by a version that an operator has withdrawn.
func TestCheck(t *testing.T) {
	engine := core.Host{ID: "desk-1", Model: "desk", Version: "v1"}
	service := core.Host{ID: "orders-1", Service: "subsidy"}
	chat := core.Attempt{Workspace: "schools", Generation: 7, Target: engine.ModelVersion()}
	call := core.Attempt{Workspace: "schools", Generation: 7, Service: "subsidy", Operation: "claim"}
	with := func(at core.Attempt, change func(*core.Attempt)) core.Attempt {
		change(&at)
		return at
	}
	type scenario struct {
		testName string
		snap     *declaration.Snapshot
		host     core.Host
		leaving  bool
		attempt  core.Attempt
		code     core.Code
	}
	for _, sc := range []scenario{
		{"allowed", snapshot(false), engine, false, chat, ""},
		{"service allowed", snapshot(false), service, false, call, ""},
		{"leaving", snapshot(false), engine, true, chat, core.CodeLeaving},
		{"no configuration", nil, engine, false, chat, core.CodeNoConfig},
		{"entry has a newer generation", snapshot(false), engine, false, with(chat, func(at *core.Attempt) { at.Generation = 8 }), core.CodeStaleConfig},
		{"entry has an older generation", snapshot(false), engine, false, with(chat, func(at *core.Attempt) { at.Generation = 6 }), ""},
		{"withdrawn", snapshot(true), engine, false, with(chat, func(at *core.Attempt) { at.Generation = 6 }), core.CodeWithdrawn},
		{"not allowed", snapshot(false), core.Host{Model: "desk", Version: "v2"}, false, with(chat, func(at *core.Attempt) { at.Target.Version = "v2" }), core.CodeNotAllowed},
		{"unknown workspace", snapshot(false), engine, false, with(chat, func(at *core.Attempt) { at.Workspace = "x" }), core.CodeNotAllowed},
		{"another version runs here", snapshot(false), engine, false, with(chat, func(at *core.Attempt) { at.Target.Version = "v2" }), core.CodeNoUpstream},
		{"another service runs here", snapshot(false), engine, false, call, core.CodeNoUpstream},
		{"unknown operation", snapshot(false), service, false, with(call, func(at *core.Attempt) { at.Operation = "x" }), core.CodeUnknownModel},
		{"in an allowed region", restricted(""), remoteEngine("muc"), false, chat, ""},
		{"in another region", restricted(""), remoteEngine("nue"), false, chat, core.CodeNoRegion},
		{"in an evacuated zone", restricted("muc-a"), remoteEngine("muc"), false, chat, core.CodeEvacuated},
		{"service not allowed", snapshot(false), service, false, with(call, func(at *core.Attempt) { at.Workspace = "x" }), core.CodeNotAllowed},
	} {
		t.Run(sc.testName, func(t *testing.T) {
			fl := guard.Check(sc.snap, sc.host, sc.leaving, &sc.attempt)
			if sc.code == "" {
				assert.Assert(t, fl == nil, "%v", fl)
				return
			}
			assert.Assert(t, fl != nil)
			assert.Equal(t, fl.Code, sc.code)
			assert.Equal(t, fl.Ran, core.NotRun)
		})
	}
}
