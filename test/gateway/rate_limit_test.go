package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/standin/upstream"
)

// mostWithin returns the most arrivals at an upstream within any span of the given length, of
// those after a time.
func mostWithin(up *upstream.Upstream, span time.Duration, after time.Time) int {
	var times []time.Time
	most := 0
	for _, at := range up.Arrivals() {
		if at.Before(after) {
			continue
		}
		times = append(times, at)
		for at.Sub(times[0]) > span {
			times = times[1:]
		}
		most = max(most, len(times))
	}
	return most
}

// An upstream reports a rate limit and lifts it later. All gateways together must keep to the limit,
// answer callers by the other upstream, and use the first one again afterwards.
func TestGatewaysShareARateLimit(t *testing.T) {
	fx := newFixture(t, 3)
	limited := fx.desks[0]
	limited.SetRateLimit(1)
	began := time.Now()
	for time.Since(began) < 8*time.Second {
		for gw := range fx.gws {
			assert.Equal(t, fx.send(request{gateway: gw, path: "/lookup/1"}).status, http.StatusOK)
		}
		time.Sleep(10 * time.Millisecond)
	}
	// Each gateway learns of the limit by its first response from there or from another gateway.
	most := mostWithin(limited, 4*time.Second, began.Add(2*time.Second))
	assert.Assert(t, most <= 11, "%d requests in 4 s", most)
	limited.LiftRateLimit()
	for gw := range fx.gws {
		fx.waitFor("requests of every gateway after the end of the limit", func() bool {
			before := len(limited.Arrivals())
			for range 10 {
				fx.send(request{gateway: gw, path: "/lookup/1"})
			}
			return len(limited.Arrivals()) >= before+3
		})
	}
}
