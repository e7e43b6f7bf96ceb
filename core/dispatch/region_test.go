package dispatch

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/declaration"
)

// regions is a fake with one upstream in each of two zones of two regions.
type regions struct{ script }

func (re *regions) Serving(core.ModelVersion) []core.Upstream {
	var ups []core.Upstream
	for _, zo := range []core.Zone{"muc-a", "muc-b", "nue-a", "nue-b"} {
		region, _, _ := strings.Cut(string(zo), "-")
		ho := core.Host{ID: core.UpstreamID(zo), Zone: zo, Region: core.Region(region)}
		ups = append(ups, core.Upstream{Host: ho, Connected: true, Load: core.Load{Slots: 4}})
	}
	return ups
}

// TestAttemptsStayInAllowedRegionsAndZones guards against an attempt, the first or a retry,
// outside the workspace's regions or in an evacuated zone.
func TestAttemptsStayInAllowedRegionsAndZones(t *testing.T) {
	leaving := core.Refuse(core.CodeLeaving, time.Second, "leaving")
	scenarios := []struct {
		testName  string
		regions   []core.Region
		evacuated core.Zone
		want      []core.UpstreamID // the upstreams tried, sorted by name
		code      core.Code
	}{
		{"nothing is restricted", nil, "", []core.UpstreamID{"muc-a", "muc-b", "nue-a"}, core.CodeLeaving},
		{"the local region", []core.Region{"muc"}, "", []core.UpstreamID{"muc-a", "muc-b"}, core.CodeLeaving},
		{"another region", []core.Region{"nue"}, "", []core.UpstreamID{"nue-a", "nue-b"}, core.CodeLeaving},
		{"an evacuated zone", []core.Region{"muc"}, "muc-a", []core.UpstreamID{"muc-b"}, core.CodeLeaving},
		{"nothing is left", []core.Region{"ber"}, "", nil, core.CodeNoRegion},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			ups := &regions{script{results: []*core.Failure{leaving, leaving, leaving, leaving}}}
			deps := core.NewDeps()
			deps.Zone, deps.Region = "muc-a", "muc"
			doc := declaration.Document{Workspaces: []declaration.Workspace{{ID: "court", Regions: sc.regions}}}
			if sc.evacuated != "" {
				doc.Zones = []declaration.AvailabilityZone{{ID: sc.evacuated, Evacuated: "power works"}}
			}
			sn := declaration.NewSnapshot(&declaration.Generation{Document: doc}, nil)
			dis := New(deps, declaration.NewInForce(), ups, nil, noBiller{}, RandomSource(rand.New(rand.NewPCG(1, 1)).IntN))
			ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
			defer cancel()
			_, _, err := dis.try(ctx, sn, &Request{Workspace: "court"}, core.Attempt{}, true)
			assert.Equal(t, asFailure(err).Code, sc.code)
			assert.Equal(t, asFailure(err).Ran, core.NotRun)
			slices.Sort(ups.tried)
			assert.DeepEqual(t, ups.tried, sc.want)
		})
	}
}
