package claim_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"skylarkstand/core"
	"skylarkstand/core/claim"
	"skylarkstand/test/fakestore"
	"skylarkstand/test/property"
)

// TestMain fixes the seed of the property tests unless one is given.
func TestMain(m *testing.M) { property.Main(m, "4") }

func request(key string, id core.AttemptID) claim.Request {
	return claim.Request{
		Key:    claim.Key{Workspace: "school", Service: "booking", Operation: "survey", Idempotency: key},
		Digest: "body-of-" + key, Attempt: id,
	}
}

// agent is one incarnation of an agent process.
type agent struct {
	tbl  *claim.Table
	dead bool
	stop func()
}

// harness is a set of agents over one store, with a record of the runs at the upstream behind them.
type harness struct {
	st     *fakestore.Store
	agents []*agent
	calls  sync.WaitGroup

	mu          sync.Mutex
	lastAttempt int
	anyKilled   bool
	runs        map[string][]core.AttemptID
	notRun      map[core.AttemptID]bool
	violations  []string
	history     []porcupine.Operation
}

func newHarness(agents int) *harness {
	ha := &harness{st: fakestore.New(), runs: map[string][]core.AttemptID{}, notRun: map[core.AttemptID]bool{}}
	for range agents {
		ha.agents = append(ha.agents, ha.newAgent())
	}
	return ha
}

func (ha *harness) newAgent() *agent {
	tbl, cleanup := claim.New(core.NewDeps(), ha.st, claim.WriteBudget(50), claim.MaxBucketBytes(4<<10))
	return &agent{tbl: tbl, stop: cleanup}
}

// callPlan is the course of a call that owns its claim.
type callPlan struct {
	pause    time.Duration
	deadline time.Duration
	end      string
}

// call sends one request with a key to an agent, in its own goroutine.
func (ha *harness) call(ag *agent, key string, pl callPlan) {
	ha.mu.Lock()
	ha.lastAttempt++
	req := request(key, core.AttemptID(fmt.Sprintf("attempt-%d", ha.lastAttempt)))
	ha.mu.Unlock()
	ha.calls.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), pl.deadline)
		defer cancel()
		op := ha.recordCall(input{claiming, req.Attempt}, key)
		out, err := ag.tbl.Claim(ctx, req)
		ha.recordReturn(op, output{state: out.State, attempt: out.Attempt, err: err})
		switch {
		case err != nil:
			ha.markNotRun(req.Attempt)
		case out.State == claim.Owned:
			time.Sleep(pl.pause)
			ha.runOwned(ag, key, req, pl.end)
		case out.State == claim.Done:
			ha.expect(string(out.Answer.Body) == string(out.Attempt), "the caller of %s got the answer %q for attempt %s", key, out.Answer.Body, out.Attempt)
		}
	})
}

func (ha *harness) runOwned(ag *agent, key string, req claim.Request, end string) {
	ha.mu.Lock()
	if ag.dead {
		ha.mu.Unlock()
		return
	}
	if end != "release" {
		ha.runs[key] = append(ha.runs[key], req.Attempt)
	}
	ha.mu.Unlock()
	switch end {
	case "answer":
		op := ha.recordCall(input{finishing, req.Attempt}, key)
		err := ag.tbl.Finish(context.Background(), req, claim.Answer{Status: 200, Body: []byte(req.Attempt)})
		ha.recordReturn(op, output{err: err})
	case "release":
		ha.markNotRun(req.Attempt)
		op := ha.recordCall(input{releasing, req.Attempt}, key)
		err := ag.tbl.Release(context.Background(), req)
		ha.recordReturn(op, output{err: err})
	case "lost":
		ag.tbl.MarkOutcomeUnknown(req, core.OutcomeUnknown("the service broke the call off"))
	}
}

func (ha *harness) markNotRun(id core.AttemptID) {
	ha.mu.Lock()
	defer ha.mu.Unlock()
	ha.notRun[id] = true
}

func (ha *harness) expect(ok bool, format string, args ...any) {
	if !ok {
		ha.mu.Lock()
		defer ha.mu.Unlock()
		ha.violations = append(ha.violations, fmt.Sprintf(format, args...))
	}
}

// kill stops an agent at once, without its pending writes, and replaces it.
func (ha *harness) kill(at int) {
	ha.mu.Lock()
	ha.agents[at].dead, ha.anyKilled = true, true
	ha.mu.Unlock()
	ha.agents[at].tbl.Kill()
	ha.agents[at] = ha.newAgent()
}

// checkInvariants checks what is visible from outside: the runs at the upstream and the answers to
// callers.
func (ha *harness) checkInvariants(rt *rapid.T) {
	ha.mu.Lock()
	defer ha.mu.Unlock()
	for key, runs := range ha.runs {
		if len(runs) > 1 {
			rt.Fatalf("%s ran %d times: %v", key, len(runs), runs)
		}
		for _, id := range runs {
			if ha.notRun[id] {
				rt.Fatalf("attempt %s of %s was answered \"not run\" but ran", id, key)
			}
		}
	}
	if len(ha.violations) > 0 {
		rt.Fatal(ha.violations)
	}
}

// Callers send the same keys concurrently and repeatedly to several agents, while the store loses
// replies, applies writes late, refuses calls and is down, and agents pause between claim and call,
// die and are replaced. A caller notices a broken claim as a second booking, a wrong answer, a "not
// run" that ran, or a key that can never be used although nothing ran.
func TestClaimsRunAtMostOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadline{t}, func(rt *rapid.T) {
			ha := newHarness(3)
			defer ha.stop()
			rt.Repeat(ha.actions())
			ha.removeFaults()
			ha.checkInvariants(rt)
			ha.checkUnusedKeysClaimable(rt)
			ha.checkLinearizable(rt)
		})
	})
}

// noDeadline hides the deadline of a test, which cannot be read in a synctest bubble.
type noDeadline struct{ testing.TB }

// keys share one bucket, so that their claims are written in batches and archived.
var keys = func() []string {
	var keys []string
	for _, req := range sameBucket(3) {
		keys = append(keys, req.Key.Idempotency)
	}
	return keys
}()

func (ha *harness) actions() map[string]func(*rapid.T) {
	durations := func(ds ...time.Duration) *rapid.Generator[time.Duration] { return rapid.SampledFrom(ds) }
	return map[string]func(*rapid.T){
		"": ha.checkInvariants,
		"call": func(rt *rapid.T) {
			ag := ha.agents[rapid.IntRange(0, len(ha.agents)-1).Draw(rt, "agent")]
			ha.call(ag, rapid.SampledFrom(keys).Draw(rt, "key"), callPlan{
				pause:    durations(0, 10*time.Millisecond, time.Minute).Draw(rt, "pause"),
				deadline: durations(time.Millisecond, 30*time.Millisecond, 10*time.Second).Draw(rt, "deadline"),
				end:      rapid.SampledFrom([]string{"answer", "answer", "release", "lost"}).Draw(rt, "end"),
			})
		},
		"faults": func(rt *rapid.T) {
			ha.st.SetFaults(fakestore.Faults{
				Down:      rapid.IntRange(0, 3).Draw(rt, "down") == 0,
				LoseReply: 0.2, LoseWrite: 0.1, DelayWrite: 0.3, Refuse: 0.1,
				WriteDelay: durations(0, 30*time.Millisecond, time.Second).Draw(rt, "late"),
				Latency:    durations(0, 5*time.Millisecond, time.Second).Draw(rt, "latency"),
			})
		},
		"land": func(*rapid.T) { ha.st.ApplyLateWrites() },
		"kill": func(rt *rapid.T) { ha.kill(rapid.IntRange(0, len(ha.agents)-1).Draw(rt, "agent")) },
		"wait": func(rt *rapid.T) {
			time.Sleep(durations(time.Millisecond, 50*time.Millisecond, 5*time.Second).Draw(rt, "time"))
		},
	}
}

// removeFaults removes all faults and waits until every pending call and write has ended.
func (ha *harness) removeFaults() {
	ha.st.SetFaults(fakestore.Faults{})
	ha.calls.Wait()
	time.Sleep(10 * time.Second)
	ha.st.ApplyLateWrites()
}

func (ha *harness) stop() {
	for _, ag := range ha.agents {
		ag.tbl.Kill()
	}
	ha.calls.Wait()
}

// checkUnusedKeysClaimable checks that a key that never ran can be claimed, if no agent was killed.
func (ha *harness) checkUnusedKeysClaimable(rt *rapid.T) {
	for _, key := range keys {
		if ha.anyKilled || len(ha.runs[key]) > 0 {
			continue
		}
		out, err := ha.agents[0].tbl.Claim(context.Background(), request(key, "last"))
		if err != nil || out.State != claim.Owned {
			rt.Fatalf("%s never ran and cannot be claimed: %+v %v", key, out, err)
		}
	}
}
