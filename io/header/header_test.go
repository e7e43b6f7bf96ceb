package header_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/io/engine"
	"skylarkstand/io/service"
	standinengine "skylarkstand/standin/engine"
	standinservice "skylarkstand/standin/service"
)

// Guards against a runner that does not pass on the signals of its engine or service.
func TestSignalsOfRunners(t *testing.T) {
	en := httptest.NewServer(standinengine.New(standinengine.Config{Slots: 1, DefaultTokens: 1}))
	defer en.Close()
	sv := httptest.NewServer(standinservice.New(0))
	defer sv.Close()
	scenarios := []struct {
		testName, url string
		runner        interface {
			core.Runner
			core.SignalSource
		}
	}{
		{"engine", en.URL, engine.New(core.NewDeps(), en.URL)},
		{"service", sv.URL, service.New(sv.URL)},
	}
	attempt := &core.Attempt{ID: "a1", Operation: "survey", Body: []byte(`{"messages":[]}`)}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			var got core.Signals
			sc.runner.OnSignals(func(_ time.Time, si core.Signals) { got = si })
			run := func() {
				ans, err := sc.runner.Run(t.Context(), attempt)
				assert.NilError(t, err)
				ans.Close()
			}
			run()
			assert.DeepEqual(t, got, core.Signals{})
			inject(t, sc.url, map[string]any{"rate-limit": 2.5, "draining": true})
			run()
			assert.Equal(t, *got.RateLimit, core.Rate(2.5))
			assert.Assert(t, got.Draining)
			inject(t, sc.url, map[string]any{"retry-after": 1.5})
			if ans, err := sc.runner.Run(t.Context(), attempt); err == nil {
				ans.Close()
			}
			assert.DeepEqual(t, got, core.Signals{RetryAfter: 1500 * time.Millisecond})
		})
	}
}

// inject makes a stand-in add signals to its answers.
func inject(t *testing.T, url string, faults map[string]any) {
	t.Helper()
	raw, err := json.Marshal(faults)
	assert.NilError(t, err)
	rq, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/faults", bytes.NewReader(raw))
	assert.NilError(t, err)
	rs, err := http.DefaultClient.Do(rq)
	assert.NilError(t, err)
	assert.NilError(t, rs.Body.Close())
	assert.Equal(t, rs.StatusCode, http.StatusOK)
}
