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

// maxInCooldown is how many requests of an entry may reach an upstream before its Retry-After.
const maxInCooldown = 2

// refusesFor makes an upstream refuse all requests with a Retry-After.
func refusesFor(retryAfter time.Duration) func() *core.Reply {
	return func() *core.Reply {
		re := reply(http.StatusServiceUnavailable, "")
		re.NotRun, re.RetryAfter = true, retryAfter
		return re
	}
}

// Guards against attempts of any kind at an upstream before its Retry-After.
func TestNoRequestBeforeTheRetryAfter(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		const retryAfter = 3 * time.Second
		po := newPool(t, 3, map[core.UpstreamID]func() *core.Reply{"north-1": refusesFor(retryAfter), "south-1": refusesFor(retryAfter)})
		po.run(t, 30*time.Second, 5*time.Millisecond)
		for _, id := range []core.UpstreamID{"north-1", "south-1"} {
			assert.Assert(t, len(po.arrivals[id]) > 3*30/4, "%s is used again after each cooldown", id)
			for entry, n := range po.maxInCooldown(id, retryAfter) {
				assert.Assert(t, n <= maxInCooldown, "%s got %d requests of %s before its Retry-After of %s", id, n, entry, retryAfter)
			}
		}
	})
}

// maxInCooldown returns the most arrivals of each entry at an upstream from learningTime after a
// refusal until its Retry-After.
func (po *pool) maxInCooldown(id core.UpstreamID, retryAfter time.Duration) map[core.ProcessID]int {
	most := map[core.ProcessID]int{}
	for to, refusals := range po.signals {
		if to.upstream != id {
			continue
		}
		for _, refused := range refusals {
			n := 0
			for _, ar := range po.arrivals[id] {
				if since := ar.at.Sub(refused); ar.entry == to.entry && since >= learningTime && since < retryAfter {
					n++
				}
			}
			most[to.entry] = max(most[to.entry], n)
		}
	}
	return most
}

// Guards against a caller that waits, or gets a Retry-After that is too short, while no upstream
// accepts requests.
func TestRefusalDuringCooldowns(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		fx := newFixture(t, func(context.Context, *core.Call) (*core.Reply, error) { return refusesFor(3 * time.Second)(), nil })
		_, _, err := fx.send(t.Context(), "/claim/x")
		var fl *core.Failure
		for range 2 {
			assert.Assert(t, errors.As(err, &fl))
			assert.Equal(t, fl.Ran, core.NotRun)
			assert.Equal(t, len(fx.calls), 4)
			assert.Assert(t, fl.RetryAfter >= 2*time.Second && fl.RetryAfter < 4*time.Second, "%s", fl.RetryAfter)
			time.Sleep(time.Second)
			began := time.Now()
			_, _, err = fx.send(t.Context(), "/claim/x")
			assert.Equal(t, time.Since(began), time.Duration(0))
		}
		time.Sleep(2 * time.Second)
		_, _, _ = fx.send(t.Context(), "/claim/x")
		assert.Equal(t, len(fx.calls), 8)
	})
}
