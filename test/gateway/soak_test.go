package gateway_test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
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
	soakFaults     = 20
	requestTimeout = 6 * time.Second
)

// exchange is one request of a caller and the response to it.
type exchange struct {
	id, kind, body string
	response
}

// soakFixture is a fixture into which random faults are injected.
type soakFixture struct {
	*fixture
	rnd    *rand.Rand
	relays []*fleet.Relay // in front of the upstreams
	stores []*fleet.Relay // in front of the store, one per gateway

	mu         sync.Mutex
	exchanges  []exchange
	version    int
	starts     int
	terminated []*fleet.Process
}

func soak(t *testing.T, seed uint64) {
	be := newSoakFixture(t, seed)
	ctx, cancel := context.WithTimeout(t.Context(), soakDuration)
	defer cancel()
	var wg sync.WaitGroup
	for i := range soakCallers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			be.sendUntilDone(ctx, i, rand.New(rand.NewPCG(seed, uint64(i)+10)))
		}()
	}
	for range soakFaults {
		be.injectFault()
		time.Sleep(time.Duration(50+be.rnd.IntN(250)) * time.Millisecond)
	}
	be.healAll()
	wg.Wait()
	be.check()
}

func newSoakFixture(t *testing.T, seed uint64) *soakFixture {
	t.Helper()
	be := &soakFixture{fixture: newFixture(t, 0), rnd: rand.New(rand.NewPCG(seed, 1)), version: 10}
	for _, ru := range append(append([]*upstream.Upstream{}, be.desks...), be.lms...) {
		re, cleanup, err := fleet.NewRelay(be.addrs[ru.ID()])
		assert.NilError(t, err)
		t.Cleanup(cleanup)
		be.relays = append(be.relays, re)
		be.st.Put("servers/"+ru.ID(), ru.HostEntry(re.Addr, "muc-a", "ready"))
	}
	for range 3 {
		re, cleanup, err := fleet.NewRelay(be.store)
		assert.NilError(t, err)
		t.Cleanup(cleanup)
		be.stores = append(be.stores, re)
		be.gws = append(be.gws, nil)
	}
	for i := range be.gws {
		be.start(i)
	}
	return be
}

// start starts a gateway at new addresses as the replacement of gateway i.
func (be *soakFixture) start(i int) {
	be.mu.Lock()
	be.starts++
	name := fmt.Sprint("gateway-", i, "-", be.starts)
	be.mu.Unlock()
	be.stores[i].Restore()
	be.st.SetFault(kv.None)
	gw, err := be.fl.StartGateway(name, be.stores[i].Addr, fleet.Location{Zone: "muc-a", Region: "muc"}, nil)
	assert.NilError(be.t, err)
	be.mu.Lock()
	defer be.mu.Unlock()
	be.gws[i] = gw
}

func (be *soakFixture) gateway(i int) *fleet.Process {
	be.mu.Lock()
	defer be.mu.Unlock()
	return be.gws[i]
}

// sendUntilDone sends requests over persistent connections until the context ends.
func (be *soakFixture) sendUntilDone(ctx context.Context, n int, rnd *rand.Rand) {
	cl := &http.Client{Transport: &http.Transport{}}
	defer cl.CloseIdleConnections()
	kinds := []string{"claim", "lookup", "draft"}
	for i := 0; ctx.Err() == nil; i++ {
		kind := kinds[rnd.IntN(len(kinds))]
		id := fmt.Sprintf("c%d-%d", n, i)
		body := strings.Repeat(id+" ", 1+rnd.IntN(200))
		re := be.post(cl, be.gateway(rnd.IntN(len(be.stores))), id, kind, body)
		be.mu.Lock()
		be.exchanges = append(be.exchanges, exchange{id, kind, body, re})
		be.mu.Unlock()
		time.Sleep(time.Duration(rnd.IntN(20)) * time.Millisecond)
	}
}

func (be *soakFixture) post(cl *http.Client, gw *fleet.Process, id, kind, body string) response {
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
	if kind == "draft" {
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

// injectFault injects or heals one random fault.
func (be *soakFixture) injectFault() {
	modes := []upstream.Mode{upstream.Fail, upstream.Overloaded, upstream.CutOff, upstream.Slow, upstream.Answer}
	all := append(append([]*upstream.Upstream{}, be.desks...), be.lms...)
	re, st := be.relays[be.rnd.IntN(len(be.relays))], be.stores[be.rnd.IntN(len(be.stores))]
	gw := be.rnd.IntN(len(be.gws))
	switch be.rnd.IntN(14) {
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
		all[be.rnd.IntN(len(all))].SetMode(modes[be.rnd.IntN(len(modes))])
	case 9:
		be.st.SetFault([]kv.Fault{kv.Unavailable, kv.LostReplies, kv.None}[be.rnd.IntN(3)])
	case 10:
		be.st.Compact()
		be.version++
		be.configure(be.version, "key-1", fmt.Sprint("key-", be.version))
	case 11:
		be.gateway(gw).Freeze()
		time.Sleep(time.Duration(200+be.rnd.IntN(600)) * time.Millisecond)
		be.gateway(gw).Resume()
	case 12:
		be.gateway(gw).Kill()
		be.start(gw)
	case 13:
		old := be.gateway(gw)
		old.Terminate()
		if be.rnd.IntN(2) == 0 {
			old.Hangup()
		}
		be.start(gw)
		be.mu.Lock()
		be.terminated = append(be.terminated, old)
		be.mu.Unlock()
	}
}

// healAll heals all faults.
func (be *soakFixture) healAll() {
	for _, re := range append(append([]*fleet.Relay{}, be.relays...), be.stores...) {
		re.Restore()
	}
	be.st.SetFault(kv.None)
	for _, ru := range append(append([]*upstream.Upstream{}, be.desks...), be.lms...) {
		ru.SetMode(upstream.Answer)
	}
}

// check compares what callers received with what upstreams ran.
func (be *soakFixture) check() {
	t := be.t
	be.configure(be.version+1, "key-1", "key-last")
	for i := range be.gws {
		be.waitFor(fmt.Sprint("service of gateway ", i, " after the faults"), func() bool {
			re := be.post(http.DefaultClient, be.gateway(i), fmt.Sprint("last-", i), "lookup", "x")
			return re.err == nil && re.status == http.StatusOK
		})
	}
	for _, gw := range be.terminated {
		assert.NilError(t, gw.Wait(), "exit of a gateway after a planned stop")
	}
	ran := map[string][]upstream.Run{}
	for _, ru := range append(append([]*upstream.Upstream{}, be.desks...), be.lms...) {
		for _, run := range ru.Runs() {
			ran[run.ID] = append(ran[run.ID], run)
		}
	}
	answered := 0
	for _, te := range be.exchanges {
		for _, run := range ran[te.id] {
			assert.Equal(t, run.Body, te.body, "%s: the upstream received another body", te.id)
			assert.Equal(t, run.Workspace, "school")
		}
		if te.kind == "claim" {
			assert.Assert(t, len(ran[te.id]) <= 1, "the claim %s ran %d times", te.id, len(ran[te.id]))
		}
		if te.status == http.StatusServiceUnavailable && te.kind == "claim" {
			assert.Equal(t, len(ran[te.id]), 0, "the claim %s ran, although its caller received 503: %s", te.id, te.response.body)
		}
		if te.status == http.StatusOK && te.err == nil {
			answered++
			te.checkAnswer(t)
		}
		if te.status == http.StatusOK && te.err != nil {
			assert.Assert(t, te.kind != "draft" || strings.HasPrefix(completeStream(), te.response.body), "%s: the cut stream is not a prefix of the complete one: %q", te.id, te.response.body)
		}
	}
	assert.Assert(t, answered > len(be.exchanges)/10, "only %d of %d requests were answered; want more than a tenth", answered, len(be.exchanges))
	t.Logf("%d requests, %d answered, %d gateway starts", len(be.exchanges), answered, be.starts)
}

// checkAnswer checks that a complete answer is the upstream's answer to this request.
func (te exchange) checkAnswer(t *testing.T) {
	t.Helper()
	assert.Equal(t, te.header.Get("X-Skylarkstand-Attempt-Id"), te.id)
	if te.kind == "draft" {
		assert.Equal(t, te.response.body, completeStream(), "%s: the stream is not the complete one", te.id)
		return
	}
	assert.Assert(t, strings.HasSuffix(te.response.body, " did "+te.body), "%s: not the answer to this request: %q", te.id, te.response.body)
}
