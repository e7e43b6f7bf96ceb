package gateway_test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/standin/kv"
	"skylarkstand/standin/upstream"
	"skylarkstand/test/fleet"
)

// The soak test runs gateways as separate processes, injects random faults around them,
// and checks by what callers and upstreams observed that no promise was broken. To run more seeds:
//
//	go test ./test/gateway -run Soak -soak-seeds 50 -soak-first 1000 -timeout 30m
var (
	soakSeeds = flag.Int("soak-seeds", 2, "number of seeds that the soak test runs")
	soakFirst = flag.Uint64("soak-first", 1, "the first seed")
)

// regressions are all seeds that have failed, each with its cause.
var regressions = []uint64{}

func TestSoak(t *testing.T) {
	seeds := append([]uint64{}, regressions...)
	for i := range uint64(*soakSeeds) {
		seeds = append(seeds, *soakFirst+i)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { soak(t, seed) })
	}
}

const (
	soakDuration   = 6 * time.Second
	soakCallers    = 10
	soakFaults     = 25
	requestTimeout = 6 * time.Second
)

// soakBudget has the default ratio and slack, and a window within the soak's duration.
var soakBudget = retryBudget{4 * time.Second, 0.5, 20}

// exchange is one request of a caller and the response to it.
type exchange struct {
	id, kind, body string
	sent           time.Time
	response
}

// soakFixture is a fixture into which random faults are injected.
type soakFixture struct {
	*fixture
	rnd    *rand.Rand
	stores []*fleet.Relay // in front of the store, one per gateway

	mu         sync.Mutex
	exchanges  []exchange
	version    int
	starts     int
	terminated []*fleet.Process
}

func soak(t *testing.T, seed uint64) {
	sf := newSoakFixture(t, seed)
	ctx, cancel := context.WithTimeout(t.Context(), soakDuration)
	defer cancel()
	var wg sync.WaitGroup
	for i := range soakCallers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			sf.sendUntilDone(ctx, i, rand.New(rand.NewPCG(seed, uint64(i)+10)))
		}()
	}
	for range soakFaults {
		sf.injectFault()
		time.Sleep(time.Duration(50+sf.rnd.IntN(250)) * time.Millisecond)
	}
	sf.removeFaults()
	wg.Wait()
	sf.check()
}

func newSoakFixture(t *testing.T, seed uint64) *soakFixture {
	t.Helper()
	sf := &soakFixture{fixture: newFixture(t, 0), rnd: rand.New(rand.NewPCG(seed, 1)), version: 10}
	for _, up := range sf.upstreams() {
		re, cleanup, err := fleet.NewRelay(sf.addrs[up.ID()])
		assert.NilError(t, err)
		t.Cleanup(cleanup)
		sf.relays = append(sf.relays, re)
		sf.st.Put("servers/"+up.ID(), up.HostEntry(re.Addr, "muc-a", "ready"))
	}
	for range 3 {
		re, cleanup, err := fleet.NewRelay(sf.store)
		assert.NilError(t, err)
		t.Cleanup(cleanup)
		sf.stores = append(sf.stores, re)
		sf.gws = append(sf.gws, nil)
	}
	for i := range sf.gws {
		sf.start(i)
	}
	return sf
}

// start starts a gateway at new addresses as the replacement of gateway i.
func (sf *soakFixture) start(i int) {
	sf.mu.Lock()
	sf.starts++
	name := fmt.Sprint("gateway-", i, "-", sf.starts)
	sf.mu.Unlock()
	sf.stores[i].Restore()
	sf.st.SetFault(kv.None)
	gw, err := sf.fl.StartGateway(name, sf.stores[i].Addr, fleet.Location{Zone: "muc-a", Region: "muc"}, soakBudget.settings())
	assert.NilError(sf.t, err)
	sf.mu.Lock()
	defer sf.mu.Unlock()
	sf.gws[i] = gw
}

func (sf *soakFixture) gateway(i int) *fleet.Process {
	sf.mu.Lock()
	defer sf.mu.Unlock()
	return sf.gws[i]
}

// sendUntilDone sends requests over persistent connections until the context ends.
func (sf *soakFixture) sendUntilDone(ctx context.Context, n int, rnd *rand.Rand) {
	cl := &http.Client{Transport: &http.Transport{}}
	defer cl.CloseIdleConnections()
	kinds := []string{"claim", "lookup", "draft"}
	for i := 0; ctx.Err() == nil; i++ {
		kind := kinds[rnd.IntN(len(kinds))]
		id := fmt.Sprintf("c%d-%d", n, i)
		body := strings.Repeat(id+" ", 1+rnd.IntN(200))
		sent := time.Now()
		re := sf.post(cl, sf.gateway(rnd.IntN(len(sf.stores))), id, kind, body)
		sf.mu.Lock()
		sf.exchanges = append(sf.exchanges, exchange{id, kind, body, sent, re})
		sf.mu.Unlock()
		time.Sleep(time.Duration(rnd.IntN(20)) * time.Millisecond)
	}
}

func (sf *soakFixture) post(cl *http.Client, gw *fleet.Process, id, kind, body string) response {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+gw.Addr+"/"+kind+"/"+id, strings.NewReader(body))
	if err != nil {
		return response{err: err}
	}
	rq.Host = "a.example"
	// Prevents the client from retrying by itself.
	rq.GetBody = nil
	rq.Header.Set("X-Skylarkstand-Attempt-Id", id)
	rq.Header.Set("X-Skylarkstand-Key", "key-1")
	rq.Header.Set("X-Skylarkstand-Deadline-Ms", "4000")
	if kind == "draft" || kind == "compose" {
		rq.Header.Set("X-Skylarkstand-Model", "*")
		rq.Header.Set("X-Skylarkstand-Token-Usage", "100,30")
	}
	rs, err := cl.Do(rq)
	if err != nil {
		return response{err: err}
	}
	defer rs.Body.Close()
	data, err := io.ReadAll(rs.Body)
	return response{rs.StatusCode, string(data), rs.Header, err}
}

// injectFault injects or removes one random fault.
func (sf *soakFixture) injectFault() {
	modes := []upstream.Mode{upstream.Fail, upstream.Overloaded, upstream.CutOff, upstream.Slow, upstream.Answer}
	all := sf.upstreams()
	re, st := sf.relays[sf.rnd.IntN(len(sf.relays))], sf.stores[sf.rnd.IntN(len(sf.stores))]
	gw := sf.rnd.IntN(len(sf.gws))
	switch sf.rnd.IntN(18) {
	case 0:
		re.Cut()
	case 1:
		re.Stall()
	case 2, 3:
		re.Restore()
	case 4:
		st.Cut()
	case 5:
		st.Stall()
	case 6:
		st.Restore()
	case 7, 8:
		all[sf.rnd.IntN(len(all))].SetMode(modes[sf.rnd.IntN(len(modes))])
	case 9:
		sf.st.SetFault([]kv.Fault{kv.Unavailable, kv.LostReplies, kv.None}[sf.rnd.IntN(3)])
	case 10:
		sf.st.Compact()
		sf.version++
		sf.configure(sf.version, "key-1", fmt.Sprint("key-", sf.version))
	case 11:
		sf.gateway(gw).Freeze()
		time.Sleep(time.Duration(200+sf.rnd.IntN(600)) * time.Millisecond)
		sf.gateway(gw).Resume()
	case 12:
		sf.gateway(gw).Kill()
		sf.start(gw)
	case 13:
		old := sf.gateway(gw)
		old.Terminate()
		if sf.rnd.IntN(2) == 0 {
			old.Hangup()
		}
		sf.start(gw)
		sf.mu.Lock()
		sf.terminated = append(sf.terminated, old)
		sf.mu.Unlock()
	case 14:
		all[sf.rnd.IntN(len(all))].SetRateLimit(float64(sf.rnd.IntN(20)))
	case 15:
		all[sf.rnd.IntN(len(all))].SetRetryAfter(0.2 + sf.rnd.Float64())
	case 16:
		all[sf.rnd.IntN(len(all))].StartDraining()
	case 17:
		sf.restart(sf.rnd.IntN(len(all)))
	}
}

// removeFaults removes all faults.
func (sf *soakFixture) removeFaults() {
	for _, re := range append(append([]*fleet.Relay{}, sf.relays...), sf.stores...) {
		re.Restore()
	}
	sf.st.SetFault(kv.None)
	for i, up := range sf.upstreams() {
		up.SetMode(upstream.Answer)
		sf.restart(i)
	}
}

// upstreams lists the upstreams in the order of their relays.
func (sf *soakFixture) upstreams() []*upstream.Upstream {
	return append(append([]*upstream.Upstream{}, sf.desks...), sf.lms...)
}

// restart makes an upstream a new incarnation in the host list.
func (sf *soakFixture) restart(i int) {
	up := sf.upstreams()[i]
	up.Restart()
	sf.st.Put("servers/"+up.ID(), up.HostEntry(sf.relays[i].Addr, "muc-a", "ready"))
}

// check compares what callers received with what upstreams ran.
func (sf *soakFixture) check() {
	t := sf.t
	sf.configure(sf.version+1, "key-1", "key-last")
	for i := range sf.gws {
		sf.waitFor(fmt.Sprint("service of gateway ", i, " after the faults"), func() bool {
			re := sf.post(http.DefaultClient, sf.gateway(i), fmt.Sprint("last-", i), "lookup", "x")
			return re.err == nil && re.status == http.StatusOK
		})
	}
	for _, gw := range sf.terminated {
		assert.NilError(t, gw.Wait(), "exit of a gateway after a planned stop")
	}
	ran := map[string][]upstream.Run{}
	for _, up := range sf.upstreams() {
		for _, run := range up.Runs() {
			ran[run.ID] = append(ran[run.ID], run)
		}
	}
	answered := 0
	for _, ex := range sf.exchanges {
		for _, run := range ran[ex.id] {
			assert.Equal(t, run.Body, ex.body, "%s: the upstream received another body", ex.id)
			assert.Equal(t, run.Workspace, "school")
		}
		if ex.kind == "claim" {
			assert.Assert(t, len(ran[ex.id]) <= 1, "the claim %s ran %d times", ex.id, len(ran[ex.id]))
		}
		if ex.status == http.StatusServiceUnavailable && ex.kind == "claim" {
			assert.Equal(t, len(ran[ex.id]), 0, "the claim %s ran, although its caller received 503: %s", ex.id, ex.response.body)
		}
		if ex.status == http.StatusOK && ex.err == nil {
			answered++
			ex.checkAnswer(t)
		}
		if ex.status == http.StatusOK && ex.err != nil {
			assert.Assert(t, ex.kind != "draft" || strings.HasPrefix(completeStream(), ex.response.body), "%s: the cut stream is not a prefix of the complete one: %q", ex.id, ex.response.body)
		}
	}
	sf.checkBudget("desk", sf.desks, "lookup", "claim")
	sf.checkBudget("lm", sf.lms, "draft")
	assert.Assert(t, answered > len(sf.exchanges)/10, "only %d of %d requests were answered; want more than a tenth", answered, len(sf.exchanges))
	t.Logf("%d requests, %d answered, %d gateway starts", len(sf.exchanges), answered, sf.starts)
}

// checkBudget checks that a service got no more retries than allowed in any span, over all gateways.
func (sf *soakFixture) checkBudget(service string, ups []*upstream.Upstream, kinds ...string) {
	var sent []time.Time
	for _, ex := range sf.exchanges {
		if slices.Contains(kinds, ex.kind) {
			sent = append(sent, ex.sent)
		}
	}
	worst, allowed := soakBudget.worstSpan(sent, retries(ups))
	sf.t.Logf("%s: in the worst span %d retries of %.1f allowed", service, worst, allowed)
	assert.Assert(sf.t, float64(worst) <= allowed, "%s: %d retries in a span, %.1f allowed", service, worst, allowed)
}

// checkAnswer checks that a complete answer is the upstream's answer to this request.
func (ex exchange) checkAnswer(t *testing.T) {
	t.Helper()
	assert.Equal(t, ex.header.Get("X-Skylarkstand-Attempt-Id"), ex.id)
	if ex.kind == "draft" {
		assert.Equal(t, ex.response.body, completeStream(), "%s: the stream is not the complete one", ex.id)
		return
	}
	assert.Assert(t, strings.HasSuffix(ex.response.body, " did "+ex.body), "%s: not the answer to this request: %q", ex.id, ex.response.body)
}
