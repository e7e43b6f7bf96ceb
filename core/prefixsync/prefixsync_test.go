package prefixsync_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/thejerf/suture/v4"
	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/fleet"
	"skylarkstand/core/prefixsync"
	"skylarkstand/core/route"
)

// engines returns cached prefixes and records what the learner receives; up-1 does not
// respond.
type engines struct {
	mu      sync.Mutex
	queries map[core.UpstreamID]int
	learned map[core.UpstreamID][]core.CachedPart
	// limited is an engine that accepts no query.
	limited core.UpstreamID
}

func (en *engines) CachedParts(ctx context.Context, ho core.Host) ([]core.CachedPart, core.Signals, error) {
	en.mu.Lock()
	en.queries[ho.ID]++
	en.mu.Unlock()
	if ho.ID == "up-1" {
		<-ctx.Done()
		return nil, core.Signals{}, core.OutcomeUnknown("%v", ctx.Err())
	}
	return []core.CachedPart{{Model: "large", Part: core.Part{ID: string(ho.ID), Tokens: 5000}}}, core.Signals{}, nil
}

// AdmitQuery implements prefixsync.Learner.
func (en *engines) AdmitQuery(ho core.Host) bool { return ho.ID != en.limited }

// ObserveSignals implements prefixsync.Learner.
func (en *engines) ObserveSignals(core.Host, time.Time, core.Signals) {}

// RecordCached implements prefixsync.Learner.
func (en *engines) RecordCached(ho core.Host, cached []core.CachedPart) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.learned[ho.ID] = cached
}

// An entry starts after all entries were lost. Guards against serving without the list of
// the engines' cached prefixes: each retry of a broken stream would then wait up to seconds for
// a new prefill. An engine that does not respond must not delay the responses of the others, and one
// that accepts no request must get no query.
func TestStartingEntryLearnsCachedPrefixes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inf, fl := route.NewInForce(), fleet.New()
		deps := core.NewDeps()
		deps.Region = "near"
		en := &engines{queries: map[core.UpstreamID]int{}, learned: map[core.UpstreamID][]core.CachedPart{}, limited: "up-3"}
		ended := make(chan error, 1)
		go func() { ended <- prefixsync.New(deps, inf, fl, en, en).Serve(t.Context()) }()
		time.Sleep(time.Second)
		assert.Equal(t, len(en.queries), 0, "no query before the first configuration")
		for i := range 4 {
			fl.Put(core.Host{ID: core.UpstreamID(fmt.Sprint("up-", i)), Service: "writer", Region: "near"})
		}
		fl.Put(core.Host{ID: "far", Service: "writer", Region: "far"})
		fl.Put(core.Host{ID: "desk", Service: "desk", Region: "near"})
		tb, err := route.New(route.Document{Version: 1, Services: []route.Service{{ID: "writer"}, {ID: "desk"}}, Routes: []route.Route{
			{ID: "draft", Host: "a", Prefix: "/draft/", Cascade: []core.ModelID{"small", "large"}, Splits: []route.Split{{Service: "writer", Weight: 1}}},
			{ID: "claim", Host: "a", Prefix: "/claim/", Splits: []route.Split{{Service: "desk", Weight: 1}}},
		}})
		assert.NilError(t, err)
		inf.Adopt(tb)
		startedAt := time.Now()
		assert.Assert(t, errors.Is(<-ended, suture.ErrDoNotRestart))
		assert.Assert(t, time.Since(startedAt) <= time.Second)
		assert.DeepEqual(t, en.queries, map[core.UpstreamID]int{"up-0": 1, "up-1": 1, "up-2": 1})
		assert.Equal(t, len(en.learned), 2)
		assert.Equal(t, en.learned["up-0"][0].Part.ID, "up-0")
	})
}

// TestStartOfAllEntriesQueriesEachEngineAFewTimes guards against a number of queries at each engine that
// grows with the number of entries, and against an engine that no entry queries.
func TestStartOfAllEntriesQueriesEachEngineAFewTimes(t *testing.T) {
	for _, n := range []int{4, 90, 360} {
		synctest.Test(t, func(t *testing.T) {
			inf, fl := route.NewInForce(), fleet.New()
			deps := core.NewDeps()
			deps.Region = "near"
			for i := range 40 {
				fl.Put(core.Host{ID: core.UpstreamID(fmt.Sprint("engine-", i)), Service: "writer", Region: "near"})
			}
			tb, err := route.New(route.Document{Version: 1, Services: []route.Service{{ID: "writer"}}, Routes: []route.Route{
				{ID: "draft", Host: "a", Prefix: "/draft/", Cascade: []core.ModelID{"small", "large"}, Splits: []route.Split{{Service: "writer", Weight: 1}}},
			}})
			assert.NilError(t, err)
			inf.Adopt(tb)
			var entries []string
			for i := range n {
				entries = append(entries, fmt.Sprint("entry-", i))
			}
			en := &engines{queries: map[core.UpstreamID]int{}, learned: map[core.UpstreamID][]core.CachedPart{}}
			for _, self := range entries {
				sy := prefixsync.New(deps, inf, fl, en, en, prefixsync.Entries(self, func() []string { return slices.Clone(entries) }))
				assert.Assert(t, errors.Is(sy.Serve(t.Context()), suture.ErrDoNotRestart))
			}
			assert.Equal(t, len(en.queries), 40)
			for id, count := range en.queries {
				assert.Equal(t, count, min(n, 16), "%s", id)
			}
		})
	}
}
