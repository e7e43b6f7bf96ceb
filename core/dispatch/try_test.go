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

// script is a fake whose upstreams end each attempt with the next scripted result.
type script struct {
	core.Upstreams
	results     []*core.Failure
	tried       []core.UpstreamID
	lastAttempt core.Attempt
}

func (sc *script) Serving(core.ModelVersion) []core.Upstream {
	var ups []core.Upstream
	for _, id := range []core.UpstreamID{"one", "two", "three", "four"} {
		ups = append(ups, core.Upstream{Host: core.Host{ID: id, Zone: "a", Region: "muc"}, Connected: true, Load: core.Load{Slots: 4}})
	}
	return ups
}

func (sc *script) Dispatch(_ context.Context, id core.UpstreamID, at *core.Attempt) (core.Answer, error) {
	sc.lastAttempt = *at
	sc.tried = append(sc.tried, id)
	fl := sc.results[len(sc.tried)-1]
	if fl == nil {
		return nil, nil
	}
	return nil, fl
}

type noBiller struct{}

func (noBiller) Add(ledger.Bill) {}

// A request is tried on several upstreams that end it in different ways. A caller that gets "not
// run" retries; if one of the attempts had reached an upstream, the work would then run twice.
func TestTryReportsWhetherWorkRan(t *testing.T) {
	full := core.Refuse(core.CodeOverloaded, time.Second, "full")
	leaving := core.Refuse(core.CodeLeaving, time.Second, "leaving")
	lost := core.OutcomeUnknown("lost")
	scenarios := []struct {
		testName  string
		results   []*core.Failure
		retryable bool
		tried     int
		want      core.Ran // empty if answered
	}{
		{"answered at once", []*core.Failure{nil}, true, 1, ""},
		{"refused by a leaving one, then answered", []*core.Failure{leaving, leaving, nil}, false, 3, ""},
		{"refused by all", []*core.Failure{leaving, leaving, leaving}, true, 3, core.NotRun},
		{"an overloaded pool is tried twice", []*core.Failure{full, full}, true, 2, core.NotRun},
		{"lost, then refused", []*core.Failure{lost, full, full}, true, 3, core.RanUnknown},
		{"lost and not retryable", []*core.Failure{lost}, false, 1, core.RanUnknown},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			ups := &script{results: sc.results}
			deps := core.NewDeps()
			deps.Zone, deps.Region = "a", "muc"
			dis := New(deps, declaration.NewInForce(), ups, nil, noBiller{}, RandomSource(rand.New(rand.NewPCG(1, 1)).IntN))
			ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
			defer cancel()
			_, _, err := dis.try(ctx, &declaration.Snapshot{}, &Request{Deadline: 2 * time.Hour, Priority: 1}, core.Attempt{}, sc.retryable)
			assert.Equal(t, len(ups.tried), sc.tried)
			slices.Sort(ups.tried)
			assert.Equal(t, len(slices.Compact(ups.tried)), sc.tried, "an upstream was tried twice")
			assert.Assert(t, ups.lastAttempt.Deadline <= time.Hour && ups.lastAttempt.Priority == 1, "the attempt must carry the remaining time and the priority")
			if sc.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.Equal(t, asFailure(err).Ran, sc.want)
		})
	}
}

// chunks is an answer of several chunks with a fixed interval between them.
type chunks struct {
	core.Answer
	left     int
	interval time.Duration
}

func (pi *chunks) Next() ([]byte, error) {
	if pi.left == 0 {
		return nil, io.EOF
	}
	pi.left--
	time.Sleep(pi.interval)
	return []byte("word "), nil
}

func (pi *chunks) Usage() core.Usage { return core.Usage{Generated: 100} }

// unequal is a fake with four upstreams, the first of which is ten times slower.
type unequal struct {
	script
	stream bool
	got    map[core.UpstreamID]int
}

func (un *unequal) Dispatch(_ context.Context, id core.UpstreamID, _ *core.Attempt) (core.Answer, error) {
	un.got[id]++
	interval := time.Millisecond
	if id == "one" {
		interval *= 10
	}
	if un.stream {
		return &chunks{left: 20, interval: interval}, nil
	}
	time.Sleep(100 * interval)
	return &chunks{left: 1}, nil
}

// An engine is slow but does not report it. Callers whose answers it produces, streamed or not,
// wait ten times as long. After its first few answers, it must get no more than an occasional
// probe.
func TestSlowEngineIsDetectedFromAnswers(t *testing.T) {
	for seed := range uint64(20) {
		stream := seed%2 == 0
		synctest.Test(t, func(t *testing.T) {
			ups := &unequal{stream: stream, got: map[core.UpstreamID]int{}}
			deps := core.NewDeps()
			deps.Zone, deps.Region = "a", "muc"
			dis := New(deps, declaration.NewInForce(), ups, nil, noBiller{}, RandomSource(rand.New(rand.NewPCG(seed, 1)).IntN))
			for range 300 {
				ans, _, err := dis.try(t.Context(), &declaration.Snapshot{}, &Request{}, core.Attempt{Stream: stream}, true)
				assert.NilError(t, err)
				for err == nil {
					_, err = ans.Next()
				}
			}
			assert.Assert(t, ups.got["one"] <= 10, "seed %d: the slow engine got %d of 300 requests", seed, ups.got["one"])
			assert.Assert(t, ups.got["two"] > 30)
		})
	}
}
