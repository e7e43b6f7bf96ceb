package dispatch

import (
	"context"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/declaration"
	"skylarkstand/core/ledger"
)

// script is upstreams of which each attempt meets the next ending.
type script struct {
	core.Upstreams
	ends  []*core.Failure
	asked []core.UpstreamID
	at    core.Attempt
}

func (sc *script) Serving(core.ModelVersion) []core.Upstream {
	var ups []core.Upstream
	for _, id := range []core.UpstreamID{"one", "two", "three", "four"} {
		ups = append(ups, core.Upstream{Host: core.Host{ID: id, Zone: "a", Region: "muc"}, Up: true, Load: core.Load{Slots: 4}})
	}
	return ups
}

func (sc *script) Dispatch(_ context.Context, id core.UpstreamID, at *core.Attempt) (core.Answer, error) {
	sc.at = *at
	sc.asked = append(sc.asked, id)
	fl := sc.ends[len(sc.asked)-1]
	if fl == nil {
		return nil, nil
	}
	return nil, fl
}

type noBills struct{}

func (noBills) Add(ledger.Bill) {}

// A request is tried on several upstreams, which end it in different ways. A
// caller that reads "not run" sends it again; if one of the tries had reached
// an upstream, its work would then run twice.
func TestTryEndsTruthfully(t *testing.T) {
	full := core.Refuse(core.CodeOverloaded, time.Second, "full")
	leaving := core.Refuse(core.CodeLeaving, time.Second, "leaving")
	lost := core.Lost("lost")
	scenarios := []struct {
		testName   string
		ends       []*core.Failure
		repeatable bool
		asked      int
		want       core.Ran // empty: answered
	}{
		{"answered at once", []*core.Failure{nil}, true, 1, ""},
		{"refused by a leaving one, then answered", []*core.Failure{leaving, leaving, nil}, false, 3, ""},
		{"refused by all", []*core.Failure{leaving, leaving, leaving}, true, 3, core.NotRun},
		{"an overloaded pool is asked twice", []*core.Failure{full, full}, true, 2, core.NotRun},
		{"lost, then refused", []*core.Failure{lost, full, full}, true, 3, core.RanUnknown},
		{"lost and not repeatable", []*core.Failure{lost}, false, 1, core.RanUnknown},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			ups := &script{ends: sc.ends}
			deps := core.NewDeps()
			deps.Zone, deps.Region = "a", "muc"
			dis := New(deps, declaration.NewInForce(), ups, nil, noBills{})
			ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
			defer cancel()
			_, _, err := dis.try(ctx, &declaration.Snapshot{}, &Request{Deadline: 2 * time.Hour, Priority: 1}, core.Attempt{}, sc.repeatable)
			assert.Equal(t, len(ups.asked), sc.asked)
			slices.Sort(ups.asked)
			assert.Equal(t, len(slices.Compact(ups.asked)), sc.asked, "an upstream was asked twice")
			assert.Assert(t, ups.at.Deadline <= time.Hour && ups.at.Priority == 1, "the agent is told what time is left")
			if sc.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.Equal(t, asFailure(err).Ran, sc.want)
		})
	}
}
