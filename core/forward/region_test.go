package forward_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/route"
)

// The regions of the tests. Entries of the world stand in none of them.
const (
	north core.Region = "north"
	south core.Region = "south"
)

// spread adds upstreams in two availability zones of each region.
func (wo *world) spread() {
	for _, re := range []core.Region{north, south} {
		for _, zo := range []core.Zone{"a", "b"} {
			id := core.UpstreamID(fmt.Sprint(re, "-", zo))
			wo.fl.Put(core.Host{ID: id, Service: "pool", Version: "v1", Slots: 8, Region: re, Zone: core.Zone(re) + "-" + zo})
		}
	}
}

// ways are what leads to the choice of an upstream.
var ways = []struct {
	testName string
	path     string
	acts     []act
	// attempts is how many there are at least.
	attempts int
}{
	{"first attempt", "/lookup/x", []act{answers(200, "ok")}, 1},
	{"repeat of what failed", "/lookup/x", []act{answers(500, "no"), answers(200, "ok")}, 2},
	{"repeat of what was lost", "/lookup/x", []act{cut, answers(200, "ok")}, 2},
	{"repeat after a refusal", "/lookup/x", []act{full, answers(200, "ok")}, 2},
	{"last resort, with all of the region unreached", "/lookup/x", []act{away, away, away, away}, 2},
	{"work that runs at most once", "/claim/x", []act{away, answers(200, "ok")}, 2},
	{"climb to a larger model", "/draft/x", []act{sure(5, "id: 1\n\n"), sure(90, "id: 1\n\n")}, 2},
	{"resumption of a stream", "/draft/x", []act{breaks("id: 1\n\nid: 2\n\nid:"), answers(200, "id: 3\n\n")}, 2},
}

// playWays plays every way to an upstream in a world that is prepared, and has each
// call checked.
func playWays(t *testing.T, prepare func(*world), check func(*testing.T, core.Host)) {
	t.Helper()
	for _, sc := range ways {
		t.Run(sc.testName, func(t *testing.T) {
			play(t, func(t *testing.T) {
				wo := newWorld(t, sc.acts...)
				wo.spread()
				prepare(wo)
				_, _, _ = wo.ask(t.Context(), sc.path)
				assert.Assert(t, len(wo.calls) >= sc.attempts, "%d attempts", len(wo.calls))
				for _, ca := range wo.calls {
					check(t, ca.To)
				}
			})
		})
	}
}

// TestEveryWayStaysInTheAllowedRegions guards against an attempt of whatever kind
// that reaches an upstream outside the regions of its workspace.
func TestEveryWayStaysInTheAllowedRegions(t *testing.T) {
	playWays(t, func(wo *world) { wo.key = "bound" }, func(t *testing.T, ho core.Host) {
		assert.Equal(t, ho.Region, north, "%s", ho.ID)
	})
}

// TestNoWayLeadsToAnEvacuatedZone guards against an attempt of whatever kind in a
// zone whose evacuation is known.
func TestNoWayLeadsToAnEvacuatedZone(t *testing.T) {
	evacuate := func(wo *world) {
		wo.fl.Evacuate("")
		wo.fl.Evacuate("north-a")
	}
	playWays(t, evacuate, func(t *testing.T, ho core.Host) {
		assert.Assert(t, ho.Zone != "" && ho.Zone != "north-a", "%s", ho.ID)
	})
}

// TestEvacuationDuringARequest guards against a repeat that goes by the zones that
// were open when its request arrived.
func TestEvacuationDuringARequest(t *testing.T) {
	play(t, func(t *testing.T) {
		var wo *world
		evacuates := func(ctx context.Context, ca *core.Call) (*core.Reply, error) {
			wo.fl.Evacuate("north-a")
			wo.fl.Evacuate("north-b")
			return cut(ctx, ca)
		}
		wo = newWorld(t, evacuates, answers(200, "ok"))
		wo.spread()
		wo.key = "bound"
		_, _, err := wo.ask(t.Context(), "/lookup/x")
		assert.Assert(t, err != nil)
		assert.Equal(t, len(wo.calls), 1)
	})
}

// TestRegionsThatChangeDuringARequest guards against a repeat by the regions of an
// older configuration.
func TestRegionsThatChangeDuringARequest(t *testing.T) {
	play(t, func(t *testing.T) {
		var wo *world
		changes := func(ctx context.Context, ca *core.Call) (*core.Reply, error) {
			wo.adoptWith(4, route.Workspace{ID: "court", Keys: []core.APIKey{"bound"}, Regions: core.OnlyRegions(south)})
			return cut(ctx, ca)
		}
		wo = newWorld(t, changes, answers(200, "ok"))
		wo.spread()
		wo.key = "bound"
		_, text, err := wo.ask(t.Context(), "/lookup/x")
		assert.NilError(t, err)
		assert.Equal(t, text, "ok")
		assert.Equal(t, wo.calls[0].To.Region, north)
		assert.Equal(t, wo.calls[1].To.Region, south)
	})
}

// TestNothingIsLeftOfTheRegions guards against a request that waits for its
// deadline, or runs somewhere, where no upstream may have it.
func TestNothingIsLeftOfTheRegions(t *testing.T) {
	scenarios := []struct {
		testName string
		path     string
		evacuate []core.Zone
		code     core.Code
		back     bool
		message  string
	}{
		{"route and workspace have no region in common", "/south/x", nil, core.CodeNoRegion, false, "none"},
		{"all zones of the region are evacuated", "/lookup/x", []core.Zone{"north-a", "north-b"}, core.CodeEvacuated, true, "north-a"},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			play(t, func(t *testing.T) {
				wo := newWorld(t, answers(200, "ok"))
				wo.spread()
				wo.key = "bound"
				for _, zo := range sc.evacuate {
					wo.fl.Evacuate(zo)
				}
				began := time.Now()
				_, _, err := wo.ask(t.Context(), sc.path)
				var fl *core.Failure
				assert.Assert(t, errors.As(err, &fl))
				assert.Equal(t, fl.Code, sc.code)
				assert.Equal(t, fl.Ran, core.NotRun)
				assert.Equal(t, fl.RetryAfter > 0, sc.back)
				assert.Assert(t, strings.Contains(fl.Message, sc.message), fl.Message)
				assert.Equal(t, len(wo.calls), 0)
				assert.Equal(t, time.Since(began), time.Duration(0), "it is rejected at once")
			})
		})
	}
}

// TestFleetIsAskedInOnePlace guards against a new way to an upstream that passes by
// the regions of the request.
func TestFleetIsAskedInOnePlace(t *testing.T) {
	files, err := filepath.Glob("*.go")
	assert.NilError(t, err)
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") || name == "candidates.go" {
			continue
		}
		text, err := os.ReadFile(name)
		assert.NilError(t, err)
		for row := range strings.Lines(string(text)) {
			// The gauge of avoided upstreams chooses none.
			if strings.Contains(row, "Fleet.Serving(") || strings.Contains(row, "Fleet.Ready(") {
				assert.Assert(t, strings.Contains(row, "Serving(sv, now, core.Regions{})"), "%s: %s", name, row)
			}
		}
	}
}
