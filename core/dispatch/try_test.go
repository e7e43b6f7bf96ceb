package dispatch

import (
	"context"
	"io"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
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
			dis := New(deps, declaration.NewInForce(), ups, nil, noBills{}, Draw(rand.New(rand.NewPCG(1, 1)).IntN))
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

// words is an answer in pieces that each take a while.
type words struct {
	core.Answer
	left int
	pace time.Duration
}

func (wo *words) Next() ([]byte, error) {
	if wo.left == 0 {
		return nil, io.EOF
	}
	wo.left--
	time.Sleep(wo.pace)
	return []byte("word "), nil
}

func (wo *words) Usage() core.Usage { return core.Usage{Generated: 100} }

// paced is four upstreams, the first of which is ten times slower.
type paced struct {
	script
	stream bool
	got    map[core.UpstreamID]int
}

func (pa *paced) Dispatch(_ context.Context, id core.UpstreamID, _ *core.Attempt) (core.Answer, error) {
	pa.got[id]++
	pace := time.Millisecond
	if id == "one" {
		pace *= 10
	}
	if pa.stream {
		return &words{left: 20, pace: pace}, nil
	}
	time.Sleep(100 * pace)
	return &words{left: 1}, nil
}

// An engine is slow and says nothing of it. Callers whose streams or whole
// answers it carries wait ten times as long; after the first few of them, it
// must get no more than a probe now and then.
func TestSlowEngineIsLearnedFromAnswers(t *testing.T) {
	for seed := range uint64(20) {
		stream := seed%2 == 0
		synctest.Test(t, func(t *testing.T) {
			ups := &paced{stream: stream, got: map[core.UpstreamID]int{}}
			deps := core.NewDeps()
			deps.Zone, deps.Region = "a", "muc"
			dis := New(deps, declaration.NewInForce(), ups, nil, noBills{}, Draw(rand.New(rand.NewPCG(seed, 1)).IntN))
			for range 300 {
				ans, _, err := dis.try(t.Context(), &declaration.Snapshot{}, &Request{}, core.Attempt{Stream: stream}, true)
				assert.NilError(t, err)
				for err == nil {
					_, err = ans.Next()
				}
			}
			assert.Assert(t, ups.got["one"] <= 10, "seed %d: %d of 300", seed, ups.got["one"])
			assert.Assert(t, ups.got["two"] > 30)
		})
	}
}
