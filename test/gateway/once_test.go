package gateway_test

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/standin/rawupstream"
	"skylarkstand/test/fleet"
	"skylarkstand/test/oncecheck"
)

// journals hold the journals of upstreams in this process.
type journals struct {
	mu  sync.Mutex
	all []*bytes.Buffer
}

// journal is the journal of one upstream.
type journal struct {
	jos *journals
	out *bytes.Buffer
}

// Write implements io.Writer.
func (jo journal) Write(p []byte) (int, error) {
	jo.jos.mu.Lock()
	defer jo.jos.mu.Unlock()
	return jo.out.Write(p)
}

func (jos *journals) add() journal {
	jos.mu.Lock()
	defer jos.mu.Unlock()
	jo := journal{jos, new(bytes.Buffer)}
	jos.all = append(jos.all, jo.out)
	return jo
}

// runs returns the runs so far, of all upstreams.
func (jos *journals) runs(t *testing.T) []rawupstream.Run {
	t.Helper()
	jos.mu.Lock()
	defer jos.mu.Unlock()
	var out []rawupstream.Run
	for _, bu := range jos.all {
		runs, err := rawupstream.ReadJournal(bytes.NewReader(bu.Bytes()))
		assert.NilError(t, err)
		out = append(out, runs...)
	}
	return out
}

// newRawFixture starts a gateway and upstreams of a service that write their answers themselves.
func newRawFixture(t *testing.T, service string, cfgs ...rawupstream.Config) (*fixture, *journals) {
	t.Helper()
	fx, jos := newStoreFixture(t), &journals{}
	for i, cfg := range cfgs {
		li, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		t.Cleanup(func() { li.Close() })
		cfg.ID, cfg.Slots = fmt.Sprint("i-raw-", i), 100
		go func() { _ = rawupstream.New(cfg, jos.add()).Serve(li) }()
		re, cleanup, err := fleet.NewRelay(li.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(cleanup)
		fx.relays = append(fx.relays, re)
		fx.st.Put("servers/"+cfg.ID, object{
			"service": service, "address": re.Addr, "zone": "muc-a", "version": "v1", "slots": 100, "state": "ready",
			"warmup_left_ms": 0, "sequence": 1, "born": 1,
		})
	}
	gw, err := fx.fl.StartGateway("gateway", fx.store, fleet.Location{Zone: "muc-a", Region: "muc"}, retryBudget{10 * time.Second, 5, 200}.settings())
	assert.NilError(t, err)
	fx.gws = append(fx.gws, gw)
	return fx, jos
}

func never(rawupstream.Run, rawupstream.Run) bool { return false }

// A refusal without an id stands in front of the answer to a claim that runs: the claim was sent to another
// upstream, and callers were told that it had not run.
func TestRefusalWithoutIDIsNotBelieved(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusBadRequest} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			cfg := rawupstream.Config{Work: 5 * time.Millisecond, Faults: rawupstream.Faults{Unnamed: 0.5, UnnamedStatus: status}}
			fx, jos := newRawFixture(t, "desk", cfg, cfg)
			fx.sendClaims(jos, 60)
		})
	}
}

// An upstream answers a claim that it has run with a status that callers take for "not run", and does not state
// that: the claim was sent to another upstream, and callers were told that it had not run.
func TestStatusIsNoStatementOfNotRun(t *testing.T) {
	for _, status := range promises {
		t.Run(http.StatusText(status), func(t *testing.T) {
			cfg := rawupstream.Config{Work: 5 * time.Millisecond, Faults: rawupstream.Faults{Fail: 0.5, FailStatus: status}}
			fx, jos := newRawFixture(t, "desk", cfg, cfg)
			fx.sendClaims(jos, 60)
		})
	}
}

// sendClaims sends claims one after the other, and checks that none ran twice and that no caller was told falsely
// that its claim did not run.
func (fx *fixture) sendClaims(jos *journals, count int) {
	fx.t.Helper()
	promised := map[string]int{}
	for i := range count {
		id := fmt.Sprint("claim-", i)
		if status := fx.sendAs(request{path: "/claim/1"}, id).status; slices.Contains(promises, status) {
			promised[id] = status
		}
	}
	time.Sleep(100 * time.Millisecond) // The last run ends.
	runs := jos.runs(fx.t)
	falsely := 0
	for _, ru := range runs {
		if promised[ru.Request] != 0 {
			falsely++
		}
	}
	found := oncecheck.Find(runs, func(string) bool { return true }, never)
	assert.Check(fx.t, len(found) == 0, "%d of %d claims ran twice", len(found), count)
	assert.Check(fx.t, falsely == 0, "callers were told of %d runs that they had not been", falsely)
	assert.Assert(fx.t, len(runs) > count/2)
}

// A claim comes to an address that has changed hands, and then, under the new name, to the same address once more:
// a copy of the first refusal stood in front of the answer to its run, over another connection.
func TestAddressThatRefusedIsNotSentAClaimAgain(t *testing.T) {
	cfg := rawupstream.Config{Work: 5 * time.Millisecond, Faults: rawupstream.Faults{Stale: 1}}
	fx, jos := newRawFixture(t, "desk", cfg, cfg)
	for i := range 30 {
		fx.st.Put(fmt.Sprint("servers/i-gone-", i), object{
			"service": "desk", "address": fx.relays[i%2].Addr, "zone": "muc-a", "version": "v1", "slots": 100, "state": "ready",
			"warmup_left_ms": 0, "sequence": 1, "born": 1,
		})
	}
	time.Sleep(200 * time.Millisecond) // The gateway has read the list.
	fx.sendClaims(jos, 60)
}

// A copy of the refusal of an earlier attempt stands in front of the answer to a later one at the same
// upstream: the later attempt's run went on while the request ran elsewhere.
func TestRefusalOfAnEarlierAttemptIsNotBelieved(t *testing.T) {
	// byModel makes an upstream refuse or be unsure of the small model's work, and run the large one's.
	byModel := func(small, large rawupstream.Faults) rawupstream.Config {
		return rawupstream.Config{Work: time.Millisecond, Events: 3, Interval: time.Millisecond, FaultsOf: func(rq *http.Request) rawupstream.Faults {
			if rq.Header.Get("X-Skylarkstand-Model") == "small" {
				return small
			}
			return large
		}}
	}
	refuses := rawupstream.Faults{Refuse: 1}
	fx, jos := newRawFixture(t, "lm",
		byModel(refuses, rawupstream.Faults{Repeat: 1, Slow: time.Second}),
		byModel(rawupstream.Faults{Unsure: 1}, refuses),
		byModel(refuses, rawupstream.Faults{Slow: time.Second}))
	var wg sync.WaitGroup
	for i := range 40 {
		wg.Go(func() { fx.sendAs(request{path: "/draft/1", model: "*"}, fmt.Sprint("draft-", i)) })
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
	runs := jos.runs(t)
	assert.Assert(t, slices.ContainsFunc(runs, func(ru rawupstream.Run) bool { return ru.Upstream == "i-raw-0" }), "the first upstream ran nothing")
	found := oncecheck.Find(runs, func(string) bool { return false }, never)
	assert.Equal(t, len(found), 0, "%v", found)
}

// The reset of a canceled call is lost on the way: its upstream worked on for as long as it had nothing to send,
// while the request ran elsewhere.
func TestCanceledCallEndsAlthoughItsResetIsLost(t *testing.T) {
	slow := rawupstream.Config{Work: 3 * time.Second, Events: 3, Interval: time.Millisecond}
	fx, jos := newRawFixture(t, "lm", slow, slow)
	for _, re := range fx.relays {
		re.LoseResets()
	}
	var wg sync.WaitGroup
	for i := range 10 {
		wg.Go(func() {
			fx.sendAs(request{path: "/compose/1", model: "*", body: strings.Repeat("x", 100+300*i)}, fmt.Sprint("draft-", i))
		})
	}
	wg.Wait()
	time.Sleep(2 * oncecheck.Grace)
	runs := jos.runs(t)
	assert.Assert(t, len(runs) > 10, "no request was sent to a second upstream")
	found := oncecheck.Find(runs, func(string) bool { return false }, never)
	assert.Equal(t, len(found), 0, "%v", found)
	for _, ru := range runs {
		assert.Assert(t, !ru.End.IsZero(), "%s runs on at %s after its caller has left", ru.Request, ru.Upstream)
	}
}
