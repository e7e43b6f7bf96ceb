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

// All entries were lost, and their callers retry at one that has just started, whose
// configuration is a few round trips away. Guards against refusing them meanwhile: most would
// have used up their only retry and get no answer at all.
func TestRequestDuringStartup(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		fx := newUnconfiguredFixture(t, answers(http.StatusOK, "done"))
		time.AfterFunc(160*time.Millisecond, func() { fx.inf.Adopt(fx.tb) })
		began := time.Now()
		status, text, err := fx.send(t.Context(), "/claim/1")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, text, "done")
		assert.Assert(t, time.Since(began) < 200*time.Millisecond)
	})
}

// The store and the sibling entries are down when an entry starts. Its callers must get a
// refusal with a Retry-After and "not run" within a second, and later callers at once, since
// waiting wouldn't help.
func TestStartupWithoutConfiguration(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		fx := newUnconfiguredFixture(t, answers(http.StatusOK, "done"))
		for _, limit := range []time.Duration{time.Second, time.Millisecond} {
			began := time.Now()
			_, _, err := fx.send(t.Context(), "/claim/1")
			var fl *core.Failure
			assert.Assert(t, errors.As(err, &fl), "%v", err)
			assert.Equal(t, fl.Code, core.CodeNoConfig)
			assert.Equal(t, fl.Ran, core.NotRun)
			assert.Assert(t, fl.RetryAfter > 0)
			assert.Assert(t, time.Since(began) < limit, "after %s", time.Since(began))
		}
	})
}

// All entries were lost in the middle of a stream that the large model was generating, and its
// caller reconnects with the id of its last event. The new entry must resume at the engine with
// the prompt in its prefix cache, with the same model; calling the small model first makes the
// gap between two events too long. A request that starts from the beginning uses the small model
// first.
func TestResumedStreamKeepsItsModel(t *testing.T) {
	const small, rest = "data: hm\n\n", "id: 8\ndata: b\n\n"
	parts := []core.Part{{ID: "house", Tokens: 900}, {ID: "own", Tokens: 4000}}
	scenarios := []struct {
		testName string
		held     []core.ModelID
		resume   string
		models   []core.ModelID
	}{
		{"in the large model's prefix cache", []core.ModelID{"small", "large"}, "7", []core.ModelID{"large"}},
		{"in the small model's prefix cache", []core.ModelID{"small"}, "7", []core.ModelID{"small", "large"}},
		{"in no prefix cache", nil, "7", []core.ModelID{"small", "large"}},
		{"starts from the beginning", []core.ModelID{"small", "large"}, "", []core.ModelID{"small", "large"}},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				fx := newFixture(t, func(_ context.Context, ca *core.Call) (*core.Reply, error) {
					if ca.Model == "small" {
						return withConfidence(5, small)(nil, ca)
					}
					return withConfidence(90, rest)(nil, ca)
				})
				engine := core.Host{ID: "up-2"}
				for _, mo := range sc.held {
					fx.fw.RecordCached(engine, []core.CachedPart{{Model: mo, Part: parts[0]}, {Model: mo, Part: parts[1]}})
				}
				ans, err := fx.fw.Forward(t.Context(), &core.Exchange{
					ID: "r1", Host: "a.example", Path: "/draft/1", Method: http.MethodPost, Key: "key", Header: http.Header{},
					Arrived: time.Now(), Deadline: 10 * time.Second, AnyModel: true, Prompt: 4900, Parts: parts, LastEventID: sc.resume,
				})
				assert.NilError(t, err)
				defer ans.Close()
				var models []core.ModelID
				for _, ca := range fx.calls {
					models = append(models, ca.Model)
					assert.Equal(t, ca.ResumeAfter, sc.resume)
				}
				assert.DeepEqual(t, models, sc.models)
				if len(sc.held) > 0 {
					assert.Equal(t, fx.calls[0].To.ID, engine.ID)
				}
			})
		})
	}
}
