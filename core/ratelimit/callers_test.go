package ratelimit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/ratelimit"
)

// Guards against a limit whose shares stay with entries that have no callers: while new connections go to
// one entry, it must serve three quarters of what all of them did.
func TestShareOfALimitFollowsItsCallers(t *testing.T) {
	const (
		limit, perSecond = core.Rate(40), 50
		phase            = 10 * time.Second
	)
	hosts := []core.Host{{ID: "up-1", StartedAt: 1}, {ID: "up-2", StartedAt: 1}}
	ids := []core.ProcessID{"entry-0", "entry-1", "entry-2"}
	var trackers []*ratelimit.Tracker
	for _, id := range ids {
		trackers = append(trackers, ratelimit.New(id, func() []core.ProcessID { return ids }))
	}
	rnd := rand.New(rand.NewPCG(1, 2))
	now, served := start, map[string]float64{}
	ra := limit
	for _, ph := range []struct {
		name  string
		entry func() int
	}{{"spread", func() int { return rnd.IntN(len(ids)) }}, {"one", func() int { return 0 }}, {"another", func() int { return 1 }}} {
		for until := now.Add(phase); now.Before(until); now = now.Add(time.Second / perSecond) {
			tr := trackers[ph.entry()]
			for _, ho := range tr.Available(now, hosts) {
				if tr.Acquire(now, &ho) {
					served[ph.name] += 1 / (phase.Seconds() * perSecond)
					for _, other := range trackers {
						other.ReceiveNotices(now, tr.TakeNotices(now))
					}
					tr.Observe(now, ratelimit.Observation{Host: ho, Sent: now, Limit: &ra})
					break
				}
			}
		}
	}
	t.Log(fmt.Sprint(served))
	for _, name := range []string{"one", "another"} {
		assert.Check(t, served[name] >= 0.75*served["spread"], "%s: %.2f served, %.2f before", name, served[name], served["spread"])
	}
}
