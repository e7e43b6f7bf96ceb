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
	wo := &harness{st: fakestore.New(), runs: map[string][]core.AttemptID{}, notRun: map[core.AttemptID]bool{}}
	for range agents {
		wo.agents = append(wo.agents, wo.newAgent())
	}
	return wo
}

func (wo *harness) newAgent() *agent {
	tbl, cleanup := claim.New(core.NewDeps(), wo.st, claim.WriteBudget(50), claim.MaxBucketBytes(4<<10))
	return &agent{tbl: tbl, stop: cleanup}
}

// callPlan is the course of a call that owns its claim.
type callPlan struct {
	pause    time.Duration
	deadline time.Duration
	end      string
}

// call sends one request with a key to an agent, in its own goroutine.
func (wo *harness) call(ag *agent, key string, pl callPlan) {
	wo.mu.Lock()
	wo.lastAttempt++
	req := request(key, core.AttemptID(fmt.Sprintf("attempt-%d", wo.lastAttempt)))
	wo.mu.Unlock()
	wo.calls.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), pl.deadline)
		defer cancel()
		op := wo.recordCall(input{claiming, req.Attempt}, key)
		out, err := ag.tbl.Claim(ctx, req)
		wo.recordReturn(op, output{state: out.State, attempt: out.Attempt, err: err})
		switch {
		case err != nil:
			wo.markNotRun(req.Attempt)
		case out.State == claim.Owned:
			time.Sleep(pl.pause)
			wo.runOwned(ag, key, req, pl.end)
		case out.State == claim.Done:
			wo.expect(string(out.Answer.Body) == string(out.Attempt), "the caller of %s got the answer %q for attempt %s", key, out.Answer.Body, out.Attempt)
		}
	})
}

func (wo *harness) runOwned(ag *agent, key string, req claim.Request, end string) {
	wo.mu.Lock()
	if ag.dead {
		wo.mu.Unlock()
		return
	}
	if end != "release" {
		wo.runs[key] = append(wo.runs[key], req.Attempt)
	}
	wo.mu.Unlock()
	switch end {
	case "answer":
		op := wo.recordCall(input{finishing, req.Attempt}, key)
		err := ag.tbl.Finish(context.Background(), req, claim.Answer{Status: 200, Body: []byte(req.Attempt)})
		wo.recordReturn(op, output{err: err})
	case "release":
		wo.markNotRun(req.Attempt)
		op := wo.recordCall(input{releasing, req.Attempt}, key)
		err := ag.tbl.Release(context.Background(), req)
		wo.recordReturn(op, output{err: err})
	case "lost":
		ag.tbl.MarkOutcomeUnknown(req, core.OutcomeUnknown("the service broke the call off"))
	}
}

func (wo *harness) markNotRun(id core.AttemptID) {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	wo.notRun[id] = true
}

func (wo *harness) expect(ok bool, format string, args ...any) {
	if !ok {
		wo.mu.Lock()
		defer wo.mu.Unlock()
		wo.violations = append(wo.violations, fmt.Sprintf(format, args...))
	}
}

// kill stops an agent at once, without its pending writes, and replaces it.
func (wo *harness) kill(at int) {
	wo.mu.Lock()
	wo.agents[at].dead, wo.anyKilled = true, true
	wo.mu.Unlock()
	wo.agents[at].tbl.Kill()
	wo.agents[at] = wo.newAgent()
}

// checkInvariants checks what is visible from outside: the runs at the upstream and the answers to
// callers.
func (wo *harness) checkInvariants(rt *rapid.T) {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	for key, runs := range wo.runs {
		if len(runs) > 1 {
			rt.Fatalf("%s ran %d times: %v", key, len(runs), runs)
		}
		for _, id := range runs {
			if wo.notRun[id] {
				rt.Fatalf("attempt %s of %s was answered \"not run\" but ran", id, key)
			}
		}
	}
	if len(wo.violations) > 0 {
		rt.Fatal(wo.violations)
	}
}

// Callers send the same keys concurrently and repeatedly to several agents, while the store loses
// replies, applies writes late, refuses calls and is down, and agents pause between claim and call,
// die and are replaced. A caller notices a broken claim as a second booking, a wrong answer, a "not
// run" that ran, or a key that can never be used although nothing ran.
func TestClaimsRunAtMostOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadline{t}, func(rt *rapid.T) {
			wo := newHarness(3)
			defer wo.stop()
			rt.Repeat(wo.actions())
			wo.removeFaults()
			wo.checkInvariants(rt)
			wo.checkUnusedKeysClaimable(rt)
			wo.checkLinearizable(rt)
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

func (wo *harness) actions() map[string]func(*rapid.T) {
	durations := func(ds ...time.Duration) *rapid.Generator[time.Duration] { return rapid.SampledFrom(ds) }
	return map[string]func(*rapid.T){
		"": wo.checkInvariants,
		"call": func(rt *rapid.T) {
			ag := wo.agents[rapid.IntRange(0, len(wo.agents)-1).Draw(rt, "agent")]
			wo.call(ag, rapid.SampledFrom(keys).Draw(rt, "key"), callPlan{
				pause:    durations(0, 10*time.Millisecond, time.Minute).Draw(rt, "pause"),
				deadline: durations(time.Millisecond, 30*time.Millisecond, 10*time.Second).Draw(rt, "deadline"),
				end:      rapid.SampledFrom([]string{"answer", "answer", "release", "lost"}).Draw(rt, "end"),
			})
		},
		"faults": func(rt *rapid.T) {
			wo.st.SetFaults(fakestore.Faults{
				Down:      rapid.IntRange(0, 3).Draw(rt, "down") == 0,
				LoseReply: 0.2, LoseWrite: 0.1, DelayWrite: 0.3, Refuse: 0.1,
				WriteDelay: durations(0, 30*time.Millisecond, time.Second).Draw(rt, "late"),
				Latency:    durations(0, 5*time.Millisecond, time.Second).Draw(rt, "latency"),
			})
		},
		"land": func(*rapid.T) { wo.st.ApplyLateWrites() },
		"kill": func(rt *rapid.T) { wo.kill(rapid.IntRange(0, len(wo.agents)-1).Draw(rt, "agent")) },
		"wait": func(rt *rapid.T) {
			time.Sleep(durations(time.Millisecond, 50*time.Millisecond, 5*time.Second).Draw(rt, "time"))
		},
	}
}

// removeFaults removes all faults and waits until every pending call and write has ended.
func (wo *harness) removeFaults() {
	wo.st.SetFaults(fakestore.Faults{})
	wo.calls.Wait()
	time.Sleep(10 * time.Second)
	wo.st.ApplyLateWrites()
}

func (wo *harness) stop() {
	for _, ag := range wo.agents {
		ag.tbl.Kill()
	}
	wo.calls.Wait()
}

// checkUnusedKeysClaimable checks that a key that never ran can be claimed, if no agent was killed.
func (wo *harness) checkUnusedKeysClaimable(rt *rapid.T) {
	for _, key := range keys {
		if wo.anyKilled || len(wo.runs[key]) > 0 {
			continue
		}
		out, err := wo.agents[0].tbl.Claim(context.Background(), request(key, "last"))
		if err != nil || out.State != claim.Owned {
			rt.Fatalf("%s never ran and cannot be claimed: %+v %v", key, out, err)
		}
	}
}
