package forward_test

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
)

// All entries were lost, and their callers come back to one that has just
// started. Its configuration is a few round trips away. Were they refused for
// want of it, most would have used up their only retry and get no answer at all.
func TestCallersOfAnEntryThatStarts(t *testing.T) {
	play(t, func(t *testing.T) {
		wo := newUnconfiguredWorld(t, answers(http.StatusOK, "done"))
		time.AfterFunc(160*time.Millisecond, func() { wo.inf.Adopt(wo.tb) })
		began := time.Now()
		status, text, err := wo.ask(t.Context(), "/claim/1")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, text, "done")
		assert.Assert(t, time.Since(began) < 200*time.Millisecond)
	})
}

// The store and the other entries are away when an entry starts. Its callers
// must hear within a second that their requests did not run and when to come
// back, and those who come later at once: nothing better can be hoped for.
func TestEntryThatGetsNoConfiguration(t *testing.T) {
	play(t, func(t *testing.T) {
		wo := newUnconfiguredWorld(t, answers(http.StatusOK, "done"))
		for _, limit := range []time.Duration{time.Second, time.Millisecond} {
			began := time.Now()
			_, _, err := wo.ask(t.Context(), "/claim/1")
			var fl *core.Failure
			assert.Assert(t, errors.As(err, &fl), "%v", err)
			assert.Equal(t, fl.Code, core.CodeNoConfig)
			assert.Equal(t, fl.Ran, core.NotRun)
			assert.Assert(t, fl.RetryAfter > 0)
			assert.Assert(t, time.Since(began) < limit, "after %s", time.Since(began))
		}
	})
}

// All entries were lost in the middle of a stream that the large model was
// making, and its caller comes back with the last event that it has. The entry
// that takes it over must go on at the engine that has the prompt in memory, with
// the same model; asking the small one first keeps the caller waiting for longer
// than a pause may be. A caller that begins anew begins with the small model.
func TestBrokenStreamGoesOnWithItsModel(t *testing.T) {
	const small, rest = "data: hm\n\n", "id: 8\ndata: b\n\n"
	parts := []core.Part{{ID: "house", Tokens: 900}, {ID: "own", Tokens: 4000}}
	scenarios := []struct {
		testName string
		held     []core.ModelID
		resume   string
		models   []core.ModelID
	}{
		{"kept by the large model", []core.ModelID{"small", "large"}, "7", []core.ModelID{"large"}},
		{"kept by the small model", []core.ModelID{"small"}, "7", []core.ModelID{"small", "large"}},
		{"not kept", nil, "7", []core.ModelID{"small", "large"}},
		{"begins anew", []core.ModelID{"small", "large"}, "", []core.ModelID{"small", "large"}},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			play(t, func(t *testing.T) {
				wo := newWorld(t, func(_ context.Context, ca *core.Call) (*core.Reply, error) {
					if ca.Model == "small" {
						return sure(5, small)(nil, ca)
					}
					return sure(90, rest)(nil, ca)
				})
				engine := core.Host{ID: "up-2"}
				for _, mo := range sc.held {
					wo.fw.Holds(engine, []core.Held{{Model: mo, Part: parts[0]}, {Model: mo, Part: parts[1]}})
				}
				ans, err := wo.fw.Forward(t.Context(), &core.Exchange{
					ID: "r1", Host: "a.example", Path: "/draft/1", Method: http.MethodPost, Key: "key", Header: http.Header{},
					Arrived: time.Now(), Deadline: 10 * time.Second, AnyModel: true, Prompt: 4900, Parts: parts, Resume: sc.resume,
				})
				assert.NilError(t, err)
				defer ans.Close()
				var models []core.ModelID
				for _, ca := range wo.calls {
					models = append(models, ca.Model)
					assert.Equal(t, ca.After, sc.resume)
				}
				assert.DeepEqual(t, models, sc.models)
				if len(sc.held) > 0 {
					assert.Equal(t, wo.calls[0].To.ID, engine.ID)
				}
			})
		})
	}
}
