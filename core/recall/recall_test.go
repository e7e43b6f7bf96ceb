package recall_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/thejerf/suture/v4"
	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/fleet"
	"skylarkstand/core/recall"
	"skylarkstand/core/route"
)

// engines tell what they keep and note what is made of it; up-1 does not answer.
type engines struct {
	mu    sync.Mutex
	asked map[core.UpstreamID]int
	told  map[core.UpstreamID][]core.Held
}

func (en *engines) Held(ctx context.Context, ho core.Host) ([]core.Held, error) {
	en.mu.Lock()
	en.asked[ho.ID]++
	en.mu.Unlock()
	if ho.ID == "up-1" {
		<-ctx.Done()
		return nil, core.Lost("%v", ctx.Err())
	}
	return []core.Held{{Model: "large", Part: core.Part{ID: string(ho.ID), Tokens: 5000}}}, nil
}

// Holds implements recall.Learner.
func (en *engines) Holds(ho core.Host, held []core.Held) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.told[ho.ID] = held
}

// All entries were lost, and one starts again. It must know which engine has the
// prompts of the broken streams in memory, or each is read anew for up to
// seconds while its caller waits for the next word. An engine that does not
// answer must not hold up what the others tell.
func TestEnginesTellAnEntryThatStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inf, fl := route.NewInForce(), fleet.New()
		deps := core.NewDeps()
		deps.Region = "near"
		en := &engines{asked: map[core.UpstreamID]int{}, told: map[core.UpstreamID][]core.Held{}}
		ended := make(chan error, 1)
		go func() { ended <- recall.New(deps, inf, fl, en, en).Serve(t.Context()) }()
		time.Sleep(time.Second)
		assert.Equal(t, len(en.asked), 0, "nothing is known yet")
		for i := range 3 {
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
		began := time.Now()
		assert.Assert(t, errors.Is(<-ended, suture.ErrDoNotRestart))
		assert.Assert(t, time.Since(began) <= time.Second)
		assert.DeepEqual(t, en.asked, map[core.UpstreamID]int{"up-0": 1, "up-1": 1, "up-2": 1})
		assert.Equal(t, len(en.told), 2)
		assert.Equal(t, en.told["up-0"][0].Part.ID, "up-0")
	})
}
