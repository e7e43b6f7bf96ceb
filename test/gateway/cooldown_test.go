package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/standin/upstream"
)

// An upstream refuses all requests with a Retry-After. A gateway must send it no more than the few
// that were in flight, answer callers by the other upstream, and use the first one again afterwards.
func TestGatewayKeepsToTheRetryAfter(t *testing.T) {
	const retryAfter = 4 * time.Second
	fx := newFixture(t, 1)
	refusing := fx.desks[0]
	refusing.SetRetryAfter(retryAfter.Seconds())
	refusing.SetMode(upstream.Overloaded)
	for len(refusing.Arrivals()) == 0 {
		assert.Equal(t, fx.send(request{path: "/claim/1"}).status, http.StatusOK)
	}
	refused := refusing.Arrivals()[0]
	for time.Since(refused) < retryAfter-time.Second {
		assert.Equal(t, fx.send(request{path: "/claim/1"}).status, http.StatusOK)
		time.Sleep(10 * time.Millisecond)
	}
	early := 0
	for _, at := range refusing.Arrivals() {
		if since := at.Sub(refused); since > 500*time.Millisecond && since < retryAfter {
			early++
		}
	}
	assert.Assert(t, early <= 2, "%d requests before the Retry-After", early)
	refusing.SetMode(upstream.Answer)
	fx.waitFor("requests after the Retry-After", func() bool {
		fx.send(request{path: "/claim/1"})
		return len(refusing.Runs()) > 0
	})
}
