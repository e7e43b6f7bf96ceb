package forward_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/canary"
	"skylarkstand/core/cooldown"
	"skylarkstand/core/fleet"
	"skylarkstand/core/forward"
	"skylarkstand/core/ratelimit"
	"skylarkstand/core/retry"
	"skylarkstand/core/suspect"
	"skylarkstand/core/warmup"
)

// fragilePool is a pool of upstreams behind several entries, of a version that fails under load.
type fragilePool struct {
	entries []*forward.Forwarder
	guards  []*canary.Guard

	mu      sync.Mutex
	rnd     *rand.Rand
	running map[core.UpstreamID]int
	// bad counts the answers that failed for the load, answers all.
	bad, answers int
}

const (
	fragileSlots = 6
	// fragileLoad is the number of requests at a time from which on the version fails, and fragileShare
	// the share of its answers that do.
	fragileLoad  = 3
	fragileShare = 0.7
	// usualFailures is the share of answers that fail under any load.
	usualFailures = 0.1
)

// Call implements core.UpstreamClient.
func (fp *fragilePool) Call(ctx context.Context, ca *core.Call) (*core.Reply, error) {
	if withheld(ca) {
		return nil, errWithheld
	}
	fp.mu.Lock()
	fp.running[ca.To.ID]++
	running := fp.running[ca.To.ID]
	bad := running >= fragileLoad && fp.rnd.Float64() < fragileShare
	failed := bad || fp.rnd.Float64() < usualFailures
	took := time.Duration((0.5 + fp.rnd.Float64()) * float64(answerTime))
	fp.answers++
	if bad {
		fp.bad++
	}
	fp.mu.Unlock()
	time.Sleep(took)
	fp.mu.Lock()
	defer fp.mu.Unlock()
	status := http.StatusOK
	if failed {
		status = http.StatusInternalServerError
	}
	re := reply(status, "answer")
	re.Load = &core.Load{Running: fp.running[ca.To.ID], Slots: fragileSlots}
	fp.running[ca.To.ID]--
	return re, ctx.Err()
}

func newFragilePool(t *testing.T, entries int, seed uint64) *fragilePool {
	t.Helper()
	fx := newUnconfiguredFixture(t)
	fx.inf.Adopt(fx.tb)
	fp := &fragilePool{rnd: rand.New(rand.NewPCG(seed, 1)), running: map[core.UpstreamID]int{}}
	var ids []core.ProcessID
	for i := range entries {
		ids = append(ids, core.ProcessID(fmt.Sprint("entry-", i)))
	}
	draw := func() float64 {
		fp.mu.Lock()
		defer fp.mu.Unlock()
		return fp.rnd.Float64()
	}
	for i, id := range ids {
		fl := fleet.New()
		for j := range 3 {
			fl.Put(core.Host{ID: core.UpstreamID(fmt.Sprint("up-", j)), Service: "pool", Version: "v2", Slots: fragileSlots, Zone: core.Zone(fmt.Sprint("zone-", j)), StartedAt: 1, Addr: fmt.Sprint("10.0.0.", j, ":80")})
		}
		gu := canary.New(canary.Entries(func() int { return entries }))
		gu.Order(time.Now(), canary.Order{Service: "pool", Target: "v2", Duration: 14 * time.Second, Revision: 5})
		gu.Status(canary.Status{Service: "pool", Target: "v2", State: canary.Completed, Revision: 6})
		deps := core.NewDeps()
		deps.Self, deps.Zone = id, core.Zone(fmt.Sprint("zone-", i%3))
		fp.guards = append(fp.guards, gu)
		fp.entries = append(fp.entries, forward.New(deps, fp, forward.Components{
			InForce: fx.inf, Fleet: fl, Warmup: warmup.New(id), Canary: gu, Cooldowns: cooldown.New(), Suspects: suspect.NewDetector(suspect.New()),
			RateLimits:     ratelimit.New(id, func() []core.ProcessID { return ids }),
			ConfigAge:      func() time.Duration { return 0 },
			NewRetryWindow: func() *retry.Window { return retry.NewWindow(10*time.Second, 1, func(time.Time) float64 { return 20 }) },
		}, forward.RandomSource(draw)))
	}
	return fp
}

// gossip exchanges what the entries tell one another, as often as they do, until the context ends.
func (fp *fragilePool) gossip(ctx context.Context) {
	const tick = time.Millisecond
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(tick)
		for i, from := range fp.entries {
			calls := from.TakeCalls()
			for j, to := range fp.entries {
				if i != j && len(calls) > 0 {
					to.ReceiveCalls(uint64(i), calls)
				}
			}
			if n%250 != i {
				continue
			}
			load := from.TakeLoad()
			for j, to := range fp.entries {
				if i != j {
					to.ReceiveLoad(uint64(i), load)
				}
			}
		}
		if n%1000 == 0 {
			fp.exchangeReports(time.Now())
		}
	}
}

func (fp *fragilePool) exchangeReports(now time.Time) {
	for i, gu := range fp.guards {
		if !gu.NeedsReports(now) {
			continue
		}
		var others []canary.Report
		for j, sibling := range fp.guards {
			if i != j {
				others = append(others, sibling.Reports(now)...)
			}
		}
		gu.MergeReports(now, others)
	}
}

// send sends requests at a rate, for a time.
func (fp *fragilePool) send(ctx context.Context, rate float64, duration time.Duration) {
	var wg sync.WaitGroup
	for until := time.Now().Add(duration); time.Now().Before(until); {
		fp.mu.Lock()
		gap, entry := fp.rnd.ExpFloat64()/rate, fp.entries[fp.rnd.IntN(len(fp.entries))]
		fp.mu.Unlock()
		time.Sleep(time.Duration(gap * float64(time.Second)))
		wg.Go(func() {
			ex := &core.Exchange{
				ID: "r", Host: "a.example", Path: "/claim/x", Target: "/claim/x", Method: http.MethodPost, Key: "key",
				Header: http.Header{}, Arrived: time.Now(), Deadline: 2 * time.Second,
			}
			ans, err := entry.Forward(ctx, ex)
			for err == nil {
				_, err = ans.Next()
			}
			if ans != nil {
				ans.Close()
			}
		})
	}
	wg.Wait()
}

// TestVersionIsKeptBelowTheLoadAtWhichItFails guards against a bad version that goes on to fail a share of
// its callers once a burst comes after its roll-out.
func TestVersionIsKeptBelowTheLoadAtWhichItFails(t *testing.T) {
	const maxBad = 50 // A bad version may get no request 5 s after its 50th bad answer.
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				fp := newFragilePool(t, 4, seed)
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() {
					defer close(done)
					fp.gossip(ctx)
				}()
				fp.send(ctx, 15, 5*time.Second)
				fp.send(ctx, 90, 15*time.Second)
				cancel()
				<-done
				t.Logf("%d of %d answers were bad for the load", fp.bad, fp.answers)
				assert.Assert(t, fp.bad < maxBad, "%d of %d answers were bad for the load", fp.bad, fp.answers)
				assert.Assert(t, fp.answers > 1200, "%d answers", fp.answers)
			})
		})
	}
}

// TestRequestThatWaitsLeavesARolledBackVersion guards against sending a request to a version that was rolled
// back while the request waited for one of its upstreams.
func TestRequestThatWaitsLeavesARolledBackVersion(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		fx := newFixture(t, func(_ context.Context, ca *core.Call) (*core.Reply, error) {
			time.Sleep(time.Second)
			return reply(http.StatusOK, string(ca.To.Version)), nil
		})
		now := time.Now()
		ho := core.Host{ID: "new", Service: "pool", Version: "v2", Slots: 6, StartedAt: 1, Addr: "10.0.1.1:80"}
		fx.gu.Order(now, canary.Order{Service: "pool", Target: "v2", Duration: time.Minute, Revision: 5})
		fx.gu.Status(canary.Status{Service: "pool", Target: "v2", State: canary.InProgress, Revision: 6})
		fx.gu.Step(now, canary.Step{Service: "pool", Order: 5, Step: 2, Revision: 7})
		for i := range 60 {
			running := 1 + i%2
			fx.gu.ObserveLoad(now, ho, core.Load{Running: running, Slots: 6}, running > 1)
		}
		fx.fl.Put(ho)
		var wg sync.WaitGroup
		answers := make([]string, 2)
		for i := range answers {
			wg.Go(func() { _, answers[i], _ = fx.send(t.Context(), "/claim/x") })
			time.Sleep(10 * time.Millisecond)
		}
		fx.gu.Status(canary.Status{Service: "pool", Target: "v2", State: canary.RolledBack, Revision: 8})
		wg.Wait()
		assert.DeepEqual(t, answers, []string{"v2", "v1"})
	})
}
