package forward_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/canary"
	"skylarkstand/core/cooldown"
	"skylarkstand/core/fleet"
	"skylarkstand/core/forward"
	"skylarkstand/core/ratelimit"
	"skylarkstand/core/retry"
	"skylarkstand/core/route"
	"skylarkstand/core/suspect"
	"skylarkstand/core/warmup"
)

// pool is a pool of upstreams behind several entries.
type pool struct {
	entries []*forward.Forwarder
	// fleets are the host lists of the entries.
	fleets []*fleet.Fleet
	// replies are the replies of upstreams that send signals.
	replies map[core.UpstreamID]func() *core.Reply

	mu       sync.Mutex
	rnd      *rand.Rand
	arrivals map[core.UpstreamID][]arrival
	// signals holds when entries received replies with signals.
	signals map[signalKey][]time.Time
}

// arrival is a request that arrived at an upstream.
type arrival struct {
	at    time.Time
	entry core.ProcessID
}

// signalKey identifies an entry and an upstream that sent it signals.
type signalKey struct {
	entry    core.ProcessID
	upstream core.UpstreamID
}

// poolClient is an entry's client of a pool. It implements core.UpstreamClient.
type poolClient struct {
	po    *pool
	entry core.ProcessID
}

// upstreamsPerRegion is the number of upstreams in each of the pool's two regions.
const upstreamsPerRegion = 3

// answerTime is the time until an upstream answers.
const answerTime = 20 * time.Millisecond

// newPool returns a pool of upstreams in two regions. It must be called inside a
// synctest bubble.
func newPool(t *testing.T, entries int, replies map[core.UpstreamID]func() *core.Reply) *pool {
	t.Helper()
	fx := newUnconfiguredFixture(t)
	fx.inf.Adopt(fx.tb)
	po := &pool{replies: replies, rnd: rand.New(rand.NewPCG(1, 1)), arrivals: map[core.UpstreamID][]arrival{}, signals: map[signalKey][]time.Time{}}
	ids := make([]core.ProcessID, entries)
	for i := range ids {
		ids[i] = core.ProcessID(fmt.Sprint("entry-", i))
	}
	for _, id := range ids {
		po.entries = append(po.entries, po.newEntry(id, ids, fx.inf))
	}
	return po
}

func (po *pool) newEntry(id core.ProcessID, ids []core.ProcessID, inf *route.InForce) *forward.Forwarder {
	fl := fleet.New()
	for _, re := range []core.Region{north, south} {
		for i := range upstreamsPerRegion {
			fl.Put(core.Host{ID: core.UpstreamID(fmt.Sprint(re, "-", i)), Service: "pool", Version: "v1", Slots: 8, Region: re, StartedAt: 1, Addr: fmt.Sprint(re, "-", i)})
		}
	}
	po.fleets = append(po.fleets, fl)
	deps := core.NewDeps()
	deps.Self, deps.Region = id, north
	return forward.New(deps, poolClient{po, id}, forward.Components{
		InForce: inf, Fleet: fl, Warmup: warmup.New(id), Canary: canary.New(), Cooldowns: cooldown.New(), Suspects: suspect.NewDetector(suspect.New()),
		RateLimits:     ratelimit.New(id, func() []core.ProcessID { return ids }),
		ConfigAge:      func() time.Duration { return 0 },
		NewRetryWindow: func() *retry.Window { return retry.NewWindow(10*time.Second, 1, func(time.Time) float64 { return 20 }) },
	}, forward.RandomSource(po.draw))
}

func (po *pool) draw() float64 {
	po.mu.Lock()
	defer po.mu.Unlock()
	return po.rnd.Float64()
}

// Call implements core.UpstreamClient. An upstream without replies of its own fails a part of its
// calls in every way that is followed by another attempt.
func (pc poolClient) Call(ctx context.Context, ca *core.Call) (*core.Reply, error) {
	if withheld(ca) {
		return nil, errWithheld
	}
	kind := pc.po.arrived(pc.entry, ca.To.ID)
	time.Sleep(answerTime)
	if respond := pc.po.replies[ca.To.ID]; respond != nil {
		pc.po.recordSignal(pc.entry, ca.To.ID)
		return respond(), nil
	}
	behaviors := []behavior{
		answers(http.StatusInternalServerError, "no"), refuses, losesConnection, unreachable, breaksOff("id: 1\n\nid:"), withConfidence(5, "id: 1\n\n"),
	}
	if kind < len(behaviors) {
		return behaviors[kind](ctx, ca)
	}
	return reply(http.StatusOK, "id: 1\n\nid: 2\n\n"), nil
}

// arrived records a request and returns a random number below 10.
func (po *pool) arrived(entry core.ProcessID, id core.UpstreamID) int {
	po.mu.Lock()
	defer po.mu.Unlock()
	po.arrivals[id] = append(po.arrivals[id], arrival{time.Now(), entry})
	return po.rnd.IntN(10)
}

func (po *pool) recordSignal(entry core.ProcessID, id core.UpstreamID) {
	po.mu.Lock()
	defer po.mu.Unlock()
	po.signals[signalKey{entry, id}] = append(po.signals[signalKey{entry, id}], time.Now())
}

// run sends requests of all kinds to all entries for a time, and returns the failures.
func (po *pool) run(t *testing.T, duration, interval time.Duration) []error {
	t.Helper()
	var mu sync.Mutex
	var wg sync.WaitGroup
	var failures []error
	until := time.Now().Add(duration)
	for n := 0; time.Now().Before(until); n++ {
		entry := po.entries[n%len(po.entries)]
		path := []string{"/lookup/x", "/claim/x", "/draft/x", "/south/x"}[n/len(po.entries)%4]
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

// learningTime is how long after a reply with signals an entry must comply with them.
const learningTime = 500 * time.Millisecond
