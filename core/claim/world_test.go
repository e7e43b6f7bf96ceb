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

// TestMain fixes the seed of the properties unless one is given.
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

// world is agents over one store, and the journal of the upstream behind them.
type world struct {
	st     *fakestore.Store
	agents []*agent
	calls  sync.WaitGroup

	mu      sync.Mutex
	serial  int
	died    bool
	runs    map[string][]core.AttemptID
	notRun  map[core.AttemptID]bool
	faults  []string
	history []porcupine.Operation
}

func newWorld(agents int) *world {
	wo := &world{st: fakestore.New(), runs: map[string][]core.AttemptID{}, notRun: map[core.AttemptID]bool{}}
	for range agents {
		wo.agents = append(wo.agents, wo.newAgent())
	}
	return wo
}

func (wo *world) newAgent() *agent {
	tbl, cleanup := claim.New(core.NewDeps(), wo.st, claim.Writes(50), claim.Room(4<<10))
	return &agent{tbl: tbl, stop: cleanup}
}

// plan is what becomes of a call that owns its claim.
type plan struct {
	pause    time.Duration
	deadline time.Duration
	end      string
}

// call is one caller's try of a key at an agent, in a goroutine of its own.
func (wo *world) call(ag *agent, key string, pl plan) {
	wo.mu.Lock()
	wo.serial++
	req := request(key, core.AttemptID(fmt.Sprintf("attempt-%d", wo.serial)))
	wo.mu.Unlock()
	wo.calls.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), pl.deadline)
		defer cancel()
		op := wo.begin(input{claiming, req.Attempt}, key)
		out, err := ag.tbl.Claim(ctx, req)
		wo.end(op, output{state: out.State, attempt: out.Attempt, err: err})
		switch {
		case err != nil:
			wo.refused(req.Attempt)
		case out.State == claim.Owned:
			time.Sleep(pl.pause)
			wo.own(ag, key, req, pl.end)
		case out.State == claim.Done:
			wo.check(string(out.Answer.Body) == string(out.Attempt), "%s was told the answer %q of attempt %s", key, out.Answer.Body, out.Attempt)
		}
	})
}

func (wo *world) own(ag *agent, key string, req claim.Request, end string) {
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
		op := wo.begin(input{finishing, req.Attempt}, key)
		err := ag.tbl.Finish(context.Background(), req, claim.Answer{Status: 200, Body: []byte(req.Attempt)})
		wo.end(op, output{err: err})
	case "release":
		wo.refused(req.Attempt)
		op := wo.begin(input{releasing, req.Attempt}, key)
		err := ag.tbl.Release(context.Background(), req)
		wo.end(op, output{err: err})
	case "lost":
		ag.tbl.Forget(req, core.Lost("the service broke the call off"))
	}
}

func (wo *world) refused(id core.AttemptID) {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	wo.notRun[id] = true
}

func (wo *world) check(ok bool, format string, args ...any) {
	if !ok {
		wo.mu.Lock()
		defer wo.mu.Unlock()
		wo.faults = append(wo.faults, fmt.Sprintf(format, args...))
	}
}

// kill ends an agent at once: what it has under way is never written.
func (wo *world) kill(at int) {
	wo.mu.Lock()
	wo.agents[at].dead, wo.died = true, true
	wo.mu.Unlock()
	wo.agents[at].tbl.Kill()
	wo.agents[at] = wo.newAgent()
}

// promises are checked from the outside: by the upstream's journal and by what
// callers were told.
func (wo *world) promises(rt *rapid.T) {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	for key, runs := range wo.runs {
		if len(runs) > 1 {
			rt.Fatalf("%s ran %d times: %v", key, len(runs), runs)
		}
		for _, id := range runs {
			if wo.notRun[id] {
				rt.Fatalf("attempt %s of %s was told not run and ran", id, key)
			}
		}
	}
	if len(wo.faults) > 0 {
		rt.Fatal(wo.faults)
	}
}

// Callers send the same keys at once and again to several agents, while the
// store loses replies, applies writes late, refuses and is down, agents pause
// between claim and call, die and come back. A caller notices a broken claim
// as a second booking, a wrong answer, a "not run" that ran, or a key that
// can never be used although nothing ran.
func TestClaimsRunAtMostOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubbled{t}, func(rt *rapid.T) {
			wo := newWorld(3)
			defer wo.stop()
			rt.Repeat(wo.actions())
			wo.heal()
			wo.promises(rt)
			wo.nothingLost(rt)
			wo.linear(rt)
		})
	})
}

// bubbled hides the deadline of a test, which cannot be read in a bubble of
// virtual time.
type bubbled struct{ testing.TB }

// keys share one bucket, so that their claims go in groups and are folded.
var keys = func() []string {
	var keys []string
	for _, req := range sameBucket(3) {
		keys = append(keys, req.Key.Idempotency)
	}
	return keys
}()

func (wo *world) actions() map[string]func(*rapid.T) {
	durations := func(ds ...time.Duration) *rapid.Generator[time.Duration] { return rapid.SampledFrom(ds) }
	return map[string]func(*rapid.T){
		"": wo.promises,
		"call": func(rt *rapid.T) {
			ag := wo.agents[rapid.IntRange(0, len(wo.agents)-1).Draw(rt, "agent")]
			wo.call(ag, rapid.SampledFrom(keys).Draw(rt, "key"), plan{
				pause:    durations(0, 10*time.Millisecond, time.Minute).Draw(rt, "pause"),
				deadline: durations(time.Millisecond, 30*time.Millisecond, 10*time.Second).Draw(rt, "deadline"),
				end:      rapid.SampledFrom([]string{"answer", "answer", "release", "lost"}).Draw(rt, "end"),
			})
		},
		"faults": func(rt *rapid.T) {
			wo.st.Set(fakestore.Faults{
				Down:      rapid.IntRange(0, 3).Draw(rt, "down") == 0,
				LoseReply: 0.2, LoseWrite: 0.1, Late: 0.3, Refuse: 0.1,
				LateBy:  durations(0, 30*time.Millisecond, time.Second).Draw(rt, "late"),
				Latency: durations(0, 5*time.Millisecond, time.Second).Draw(rt, "latency"),
			})
		},
		"land": func(*rapid.T) { wo.st.Land() },
		"kill": func(rt *rapid.T) { wo.kill(rapid.IntRange(0, len(wo.agents)-1).Draw(rt, "agent")) },
		"wait": func(rt *rapid.T) {
			time.Sleep(durations(time.Millisecond, 50*time.Millisecond, 5*time.Second).Draw(rt, "time"))
		},
	}
}

// heal ends all faults and lets everything under way end.
func (wo *world) heal() {
	wo.st.Set(fakestore.Faults{})
	wo.calls.Wait()
	time.Sleep(10 * time.Second)
	wo.st.Land()
}

func (wo *world) stop() {
	for _, ag := range wo.agents {
		ag.tbl.Kill()
	}
	wo.calls.Wait()
}

// nothingLost: a key that never ran and whose agents all lived can be claimed.
func (wo *world) nothingLost(rt *rapid.T) {
	for _, key := range keys {
		if wo.died || len(wo.runs[key]) > 0 {
			continue
		}
		out, err := wo.agents[0].tbl.Claim(context.Background(), request(key, "last"))
		if err != nil || out.State != claim.Owned {
			rt.Fatalf("%s never ran and cannot be claimed: %+v %v", key, out, err)
		}
	}
}
