package forward_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/canary"
	"skylarkstand/core/fleet"
	"skylarkstand/core/forward"
	"skylarkstand/core/ratelimit"
	"skylarkstand/core/retry"
	"skylarkstand/core/route"
	"skylarkstand/core/warmup"
)

// limitedPool is a pool of upstreams behind several entries.
type limitedPool struct {
	entries []*forward.Forwarder
	// limits are the rate limits that upstreams name.
	limits map[core.UpstreamID]core.Rate

	mu  sync.Mutex
	rnd *rand.Rand
	// arrivals are the requests of entries that know the upstream's limit, and knownSince is when
	// each entry learned of a limit.
	arrivals   map[core.UpstreamID][]time.Time
	knownSince map[knownLimit]time.Time
}

// knownLimit is an upstream's limit that an entry has learned of.
type knownLimit struct {
	entry    core.ProcessID
	upstream core.UpstreamID
}

// poolClient is an entry's client of a pool. It implements core.UpstreamClient.
type poolClient struct {
	lp    *limitedPool
	entry core.ProcessID
}

// newLimitedPool returns a pool of three upstreams in each of two regions. It must be called inside
// a synctest bubble.
func newLimitedPool(t *testing.T, entries int, limits map[core.UpstreamID]core.Rate) *limitedPool {
	t.Helper()
	fx := newUnconfiguredFixture(t)
	fx.inf.Adopt(fx.tb)
	lp := &limitedPool{limits: limits, rnd: rand.New(rand.NewPCG(1, 1)), arrivals: map[core.UpstreamID][]time.Time{}, knownSince: map[knownLimit]time.Time{}}
	fl := fleet.New()
	for _, re := range []core.Region{north, south} {
		for i := range 3 {
			fl.Put(core.Host{ID: core.UpstreamID(fmt.Sprint(re, "-", i)), Service: "pool", Version: "v1", Slots: 8, Region: re, StartedAt: 1})
		}
	}
	ids := make([]core.ProcessID, entries)
	for i := range ids {
		ids[i] = core.ProcessID(fmt.Sprint("entry-", i))
	}
	for _, id := range ids {
		lp.entries = append(lp.entries, lp.newEntry(id, ids, fx.inf, fl))
	}
	return lp
}

func (lp *limitedPool) newEntry(id core.ProcessID, ids []core.ProcessID, inf *route.InForce, fl *fleet.Fleet) *forward.Forwarder {
	deps := core.NewDeps()
	deps.Self, deps.Region = id, north
	return forward.New(deps, poolClient{lp, id}, forward.Components{
		InForce: inf, Fleet: fl, Warmup: warmup.New(id), Canary: canary.New(),
		RateLimits:     ratelimit.New(id, func() []core.ProcessID { return ids }),
		ConfigAge:      func() time.Duration { return 0 },
		NewRetryWindow: func() *retry.Window { return retry.NewWindow(10*time.Second, 1, func() float64 { return 20 }) },
	}, forward.RandomSource(lp.draw))
}

func (lp *limitedPool) draw() float64 {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	return lp.rnd.Float64()
}

// learningTime is how long after the first answer with a limit an entry must keep to it.
const learningTime = 500 * time.Millisecond

// arrived records a request and returns the limit that its answer names, if any.
func (lp *limitedPool) arrived(entry core.ProcessID, id core.UpstreamID) (limit core.Rate, limited bool, kind int) {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	since, known := lp.knownSince[knownLimit{entry, id}]
	if known && time.Since(since) >= learningTime {
		lp.arrivals[id] = append(lp.arrivals[id], time.Now())
	}
	limit, limited = lp.limits[id]
	return limit, limited, lp.rnd.IntN(10)
}

func (lp *limitedPool) answered(entry core.ProcessID, id core.UpstreamID) {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	if _, known := lp.knownSince[knownLimit{entry, id}]; !known {
		lp.knownSince[knownLimit{entry, id}] = time.Now()
	}
}

// Call implements core.UpstreamClient. An upstream without a limit fails a part of its calls in
// every way that is followed by another attempt.
func (pc poolClient) Call(ctx context.Context, ca *core.Call) (*core.Reply, error) {
	limit, limited, kind := pc.lp.arrived(pc.entry, ca.To.ID)
	time.Sleep(20 * time.Millisecond)
	if limited {
		pc.lp.answered(pc.entry, ca.To.ID)
		re := reply(http.StatusOK, "id: 1\n\nid: 2\n\n")
		re.RateLimit = &limit
		return re, nil
	}
	behaviors := []behavior{
		answers(http.StatusInternalServerError, "no"), refuses, losesConnection, unreachable, breaksOff("id: 1\n\nid:"), withConfidence(5, "id: 1\n\n"),
	}
	if kind < len(behaviors) {
		return behaviors[kind](ctx, ca)
	}
	return reply(http.StatusOK, "id: 1\n\nid: 2\n\n"), nil
}

// run sends requests of all kinds to all entries for a time, and returns the failures.
func (lp *limitedPool) run(t *testing.T, duration, interval time.Duration) []error {
	t.Helper()
	var mu sync.Mutex
	var wg sync.WaitGroup
	var failures []error
	until := time.Now().Add(duration)
	for n := 0; time.Now().Before(until); n++ {
		entry := lp.entries[n%len(lp.entries)]
		path := []string{"/lookup/x", "/claim/x", "/draft/x", "/south/x"}[n/len(lp.entries)%4]
		wg.Go(func() {
			ex := &core.Exchange{
				ID: core.RequestID(fmt.Sprint("r", n)), Host: "a.example", Path: path, Target: path, Method: http.MethodPost, Key: "key",
				Header: http.Header{}, Arrived: time.Now(), Deadline: 10 * time.Second, AnyModel: true,
			}
			ans, err := entry.Forward(t.Context(), ex)
			for err == nil {
				_, err = ans.Next()
			}
			if ans != nil {
				ans.Close()
				return
			}
			mu.Lock()
			defer mu.Unlock()
			failures = append(failures, err)
		})
		time.Sleep(interval)
	}
	wg.Wait()
	return failures
}

// limitWindow is the length of the spans in which a limited upstream's requests are counted.
const limitWindow = 4 * time.Second

// allowedInWindow returns how many requests an upstream may get in a limitWindow.
func allowedInWindow(rate core.Rate) int { return int(1.5*float64(rate)*limitWindow.Seconds() + 5) }

// maxInWindow returns the most arrivals within any limitWindow.
func maxInWindow(arrivals []time.Time) int {
	most, first := 0, 0
	for i, at := range arrivals {
		for at.Sub(arrivals[first]) > limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against entries that together send an upstream more requests than the rate limit that it
// has named to each of them, by first attempts, retries, escalations or resumed streams.
func TestRateLimitIsSharedByAllEntries(t *testing.T) {
	const limited = "north-1"
	for _, entries := range []int{1, 4, 33} {
		for _, rate := range []core.Rate{0, 0.5, 1, 8} {
			t.Run(fmt.Sprint(entries, " entries, ", rate, " a second"), func(t *testing.T) {
				runInBubble(t, func(t *testing.T) {
					lp := newLimitedPool(t, entries, map[core.UpstreamID]core.Rate{limited: rate, "south-1": rate})
					lp.run(t, 30*time.Second, 5*time.Millisecond)
					for _, id := range []core.UpstreamID{limited, "south-1"} {
						got := maxInWindow(lp.arrivals[id])
						assert.Assert(t, got <= allowedInWindow(rate), "%s got %d requests in %s; allowed %d", id, got, limitWindow, allowedInWindow(rate))
					}
				})
			})
		}
	}
}

// Guards against a caller that waits, or is told "unknown", when all upstreams are at their rate
// limits.
func TestRefusalAtTheRateLimits(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		limits := map[core.UpstreamID]core.Rate{}
		for i := range 3 {
			limits[core.UpstreamID(fmt.Sprint(north, "-", i))], limits[core.UpstreamID(fmt.Sprint(south, "-", i))] = 0.5, 0.5
		}
		lp := newLimitedPool(t, 4, limits)
		lp.run(t, 10*time.Second, 10*time.Millisecond)
		began := time.Now()
		failures := lp.run(t, 10*time.Second, 100*time.Millisecond)
		assert.Assert(t, len(failures) > 50, "%d failures", len(failures))
		assert.Assert(t, time.Since(began) < 11*time.Second, "no caller waits")
		for _, err := range failures {
			var fl *core.Failure
			assert.Assert(t, errors.As(err, &fl))
			assert.Equal(t, fl.Ran, core.NotRun)
			assert.Assert(t, fl.RetryAfter >= 300*time.Millisecond && fl.RetryAfter <= 6*time.Second, "%s", fl.RetryAfter)
		}
	})
}

// Guards against a caller that loses an answer with a low confidence because no upstream is left for
// a larger model.
func TestAnswerIsKeptAtTheRateLimits(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		limit := core.Rate(0.1)
		fx := newFixture(t, func(context.Context, *core.Call) (*core.Reply, error) {
			re := reply(http.StatusOK, "data: hm\n\n")
			re.Confidence, re.RateLimit = 5, &limit
			return re, nil
		})
		for _, id := range []core.UpstreamID{"up-1", "up-2", "up-3"} {
			fx.fl.Remove(id, time.Now(), false)
		}
		_, text, err := fx.send(t.Context(), "/draft/1")
		assert.NilError(t, err)
		assert.Equal(t, text, "data: hm\n\n")
		assert.Equal(t, len(fx.calls), 1)
		assert.Equal(t, fx.logLines("exchange-ended")[0].AnswerReason, "no-upstream")
	})
}

// Guards against a session that moves to another version while the upstreams of its own are at
// their rate limits.
func TestRateLimitKeepsTheVersion(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		limit := core.Rate(0)
		fx := newFixture(t, func(context.Context, *core.Call) (*core.Reply, error) {
			re := reply(http.StatusOK, "ok")
			re.RateLimit = &limit
			return re, nil
		})
		fx.fl.Put(core.Host{ID: "new", Service: "pool", Version: "v2", Slots: 8})
		fx.gu.Order(time.Now(), canary.Order{Service: "pool", Target: "v2", Duration: time.Minute, Revision: 1})
		fx.gu.Status(canary.Status{Service: "pool", Target: "v2", State: canary.Completed, Revision: 2})
		for range 20 {
			_, _, _ = fx.send(t.Context(), "/lookup/x")
		}
		assert.Equal(t, len(fx.calls), 1, "the first request tells the limit")
		assert.Equal(t, fx.calls[0].To.Version, core.VersionID("v2"))
	})
}
