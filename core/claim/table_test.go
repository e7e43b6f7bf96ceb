package claim_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/google/uuid"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"skylarkstand/core"
	"skylarkstand/core/claim"
	"skylarkstand/test/fakestore"
)

// TestMain fixes the seed of the properties unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("4")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

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

// The store is slow, or loses a write that takes effect minutes later, and the
// caller gives up meanwhile. It was told "not run", so nobody will ever run
// that claim: left standing, the caller's key could never be used again.
func TestGivenUpClaimIsReleased(t *testing.T) {
	scenarios := []struct {
		testName string
		faults   fakestore.Faults
	}{
		{"slow", fakestore.Faults{Latency: time.Second}},
		{"takes effect late", fakestore.Faults{Late: 1}},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				wo := newWorld(2)
				defer wo.stop()
				wo.st.Set(sc.faults)
				ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
				defer cancel()
				_, err := wo.agents[0].tbl.Claim(ctx, request("key", "one"))
				assert.ErrorIs(t, err, claim.ErrUnsettled)
				wo.st.Set(fakestore.Faults{})
				time.Sleep(5 * time.Second)
				wo.st.Land()
				out, err := wo.agents[1].tbl.Claim(t.Context(), request("key", "two"))
				assert.NilError(t, err)
				assert.Equal(t, out.State, claim.Owned)
			})
		})
	}
}

// A store that is down refuses before anything is written: the caller is told
// at once that nothing is claimed, and the same key works once it is back.
func TestStoreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wo := newWorld(1)
		defer wo.agents[0].stop()
		wo.st.Set(fakestore.Faults{Down: true})
		began := time.Now()
		_, err := wo.agents[0].tbl.Claim(t.Context(), request("key", "one"))
		assert.ErrorIs(t, err, claim.ErrAway)
		assert.Assert(t, time.Since(began) < time.Second)
		wo.st.Set(fakestore.Faults{})
		out, err := wo.agents[0].tbl.Claim(t.Context(), request("key", "two"))
		assert.NilError(t, err)
		assert.Equal(t, out.State, claim.Owned)
	})
}

// An agent stops as planned while the store is away for some seconds. The
// answer of its last operation is known but not stored; were it dropped, the
// caller's repeat would be told for good that the outcome is unknown.
func TestStopStoresAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wo := newWorld(2)
		defer wo.stop()
		req := request("key", "one")
		_, err := wo.agents[0].tbl.Claim(t.Context(), req)
		assert.NilError(t, err)
		wo.st.Set(fakestore.Faults{Down: true})
		time.AfterFunc(3*time.Second, func() { wo.st.Set(fakestore.Faults{}) })
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.ErrorIs(t, wo.agents[0].tbl.Finish(ctx, req, claim.Answer{Status: 200}), context.DeadlineExceeded)
		wo.agents[0].stop()
		out, err := wo.agents[1].tbl.Claim(t.Context(), request("key", "two"))
		assert.NilError(t, err)
		assert.Equal(t, out.State, claim.Done)
	})
}

// A caller repeats its key after days. Its first answer is long dropped; when
// the key tells no time nobody can know, but a time-ordered key must be
// refused, also by an agent whose clock stands still, or the claim runs twice.
func TestRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wo := newWorld(1)
		ag := wo.agents[0]
		defer ag.stop()
		key := keyOf(time.Now())
		out, err := ag.tbl.Claim(t.Context(), request(key, "one"))
		assert.NilError(t, err)
		assert.Equal(t, out.State, claim.Owned)
		assert.NilError(t, ag.tbl.Finish(t.Context(), request(key, "one"), claim.Answer{Status: 200}))
		time.Sleep(23 * time.Hour)
		out, err = ag.tbl.Claim(t.Context(), request(key, "two"))
		assert.NilError(t, err)
		assert.Equal(t, out.State, claim.Done)
		time.Sleep(50 * time.Hour)
		// Another agent keeps claims longer than the one that dropped this one.
		assert.NilError(t, err)
		other := request("other-0", "four")
		for i := 0; other.Key.Bucket() != request(key, "").Key.Bucket(); i++ {
			other.Key.Idempotency = fmt.Sprintf("other-%d", i)
		}
		_, err = ag.tbl.Claim(t.Context(), other)
		assert.NilError(t, err)
		longer, cleanup := claim.New(core.NewDeps(), wo.st, claim.Retention(1000*time.Hour))
		defer cleanup()
		_, err = longer.Claim(t.Context(), request(key, "five"))
		assert.ErrorIs(t, err, claim.ErrExpired)
		for _, late := range []string{key, keyOf(time.Now().Add(-25 * time.Hour)), keyOf(time.Now().Add(time.Hour))} {
			_, err = ag.tbl.Claim(t.Context(), request(late, "three"))
			assert.ErrorIs(t, err, claim.ErrExpired)
		}
	})
}

// keyOf returns a UUIDv7 of a time; the library's own is of real time.
func keyOf(at time.Time) string {
	id := uuid.UUID{6: 0x70, 8: 0x80}
	for i := range 6 {
		id[i] = byte(at.UnixMilli() >> (8 * (5 - i)))
	}
	return id.String()
}

// A service loses the answers of a whole season, so that a bucket fills with
// claims of unknown outcome. Dropping one would let its repeat run twice, so
// new keys are refused, and the old ones are still known.
func TestFullBucketRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := fakestore.New()
		tbl, cleanup := claim.New(core.NewDeps(), st, claim.Room(64<<10))
		defer cleanup()
		reqs := sameBucket(1000)
		for i, req := range reqs {
			out, err := tbl.Claim(t.Context(), req)
			if errors.Is(err, claim.ErrFull) {
				break
			}
			assert.NilError(t, err)
			assert.Equal(t, out.State, claim.Owned)
			if i%2 == 0 {
				tbl.Forget(req, core.Lost("the service broke the call off"))
				continue
			}
			assert.NilError(t, tbl.Finish(t.Context(), req, claim.Answer{Status: 200, Body: make([]byte, 900)}))
		}
		fresh := reqs[len(reqs)-1]
		_, err := tbl.Claim(t.Context(), fresh)
		assert.ErrorIs(t, err, claim.ErrFull)
		first := reqs[0]
		first.Attempt = "again"
		out, err := tbl.Claim(t.Context(), first)
		assert.NilError(t, err)
		assert.Equal(t, out.State, claim.Claimed)
		its, err := st.List(t.Context(), "claims/")
		assert.NilError(t, err)
		assert.Assert(t, len(its) > 10, "nothing was folded")
		for _, it := range its {
			assert.Assert(t, len(it.Value) <= 64<<10)
		}
	})
}

// sameBucket returns requests of different keys that share one bucket.
func sameBucket(count int) []claim.Request {
	var reqs []claim.Request
	for no := 0; len(reqs) < count; no++ {
		key := fmt.Sprintf("key-%d", no)
		if req := request(key, core.AttemptID(key)); req.Key.Bucket() == 0 {
			reqs = append(reqs, req)
		}
	}
	return reqs
}

// A busy bucket is folded again and again, and its agent is replaced. A caller
// that repeats its key the next day must get its answer from the agent that
// came new, and after the retention the store must be empty of the claims.
func TestFoldedClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wo := newWorld(2)
		defer wo.stop()
		const many = 40
		reqs := sameBucket(many + 12)
		fresh := reqs[many+10:]
		reqs = reqs[:many+10]
		for at := time.Now(); reqs[0].Key.Bucket() != 0 || len(reqs[0].Key.Idempotency) < 36; at = at.Add(time.Millisecond) {
			reqs[0].Key.Idempotency = keyOf(at)
		}
		wo.runAll(t, reqs[:many])
		time.Sleep(23 * time.Hour)
		for _, req := range reqs[:many] {
			first := req.Attempt
			req.Attempt = "again"
			out, err := wo.agents[1].tbl.Claim(t.Context(), req)
			assert.NilError(t, err)
			assert.Equal(t, out.State, claim.Done)
			assert.Equal(t, string(out.Answer.Body), string(first))
			req.Digest = "another body"
			_, err = wo.agents[1].tbl.Claim(t.Context(), req)
			assert.ErrorIs(t, err, claim.ErrReused)
		}
		before, err := wo.st.List(t.Context(), "claims/")
		assert.NilError(t, err)
		// An hour after a day the first segments go, and nothing of the head.
		wo.runAll(t, reqs[many:])
		time.Sleep(2 * time.Hour)
		longer, cleanup := claim.New(core.NewDeps(), wo.st, claim.Retention(1000*time.Hour), claim.Room(4<<10))
		defer cleanup()
		wo.runAll(t, fresh[:1])
		_, err = longer.Claim(t.Context(), reqs[0])
		assert.ErrorIs(t, err, claim.ErrExpired)
		time.Sleep(50 * time.Hour)
		wo.runAll(t, fresh[1:])
		time.Sleep(time.Minute)
		after, err := wo.st.List(t.Context(), "claims/")
		assert.NilError(t, err)
		assert.Assert(t, len(before) > 10 && len(after) == 1, "%d keys before, %d after", len(before), len(after))
		out, err := longer.Claim(t.Context(), sameBucket(60)[59])
		assert.NilError(t, err)
		assert.Equal(t, out.State, claim.Owned)
	})
}

// runAll claims and answers requests with their attempts at the first agent.
func (wo *world) runAll(t *testing.T, reqs []claim.Request) {
	for _, req := range reqs {
		out, err := wo.agents[0].tbl.Claim(t.Context(), req)
		assert.NilError(t, err)
		assert.Equal(t, out.State, claim.Owned)
		assert.NilError(t, wo.agents[0].tbl.Finish(t.Context(), req, claim.Answer{Status: 200, Body: []byte(req.Attempt)}))
	}
}

// The store loses the reply to a segment, or the segment itself, while a
// bucket is folded. The next fold meets a segment that holds less than the
// bucket has done by then. A claim that is in neither would run again when its
// caller repeats it.
func TestFoldInDoubt(t *testing.T) {
	for _, faults := range []fakestore.Faults{{LoseReply: 1}, {LoseWrite: 1}, {Refuse: 1}} {
		synctest.Test(t, func(t *testing.T) {
			wo := newWorld(2)
			defer wo.stop()
			done := false
			wo.st.Before(func(op fakestore.Op) {
				switch {
				case op.Key == "claims/booking/0/1" && op.Name == "create" && !done:
					done = true
					wo.st.Set(faults)
				case done:
					wo.st.Set(fakestore.Faults{})
				}
			})
			reqs := sameBucket(12)
			wo.runAll(t, reqs)
			assert.Assert(t, done)
			for _, req := range reqs {
				req.Attempt = "again"
				out, err := wo.agents[1].tbl.Claim(t.Context(), req)
				assert.NilError(t, err)
				assert.Equal(t, out.State, claim.Done)
			}
		})
	}
}

// A caller sends one key with two bodies, or asks again while the first try
// still runs. It must not get the other body's answer, nor a second run.
func TestSameKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wo := newWorld(2)
		defer wo.stop()
		ag := wo.agents[0]
		first := request("key", "one")
		_, err := ag.tbl.Claim(t.Context(), first)
		assert.NilError(t, err)
		out, err := wo.agents[1].tbl.Claim(t.Context(), request("key", "elsewhere"))
		assert.NilError(t, err)
		assert.Equal(t, out.State, claim.Claimed)
		other := request("key", "two")
		other.Digest = "another body"
		_, err = ag.tbl.Claim(t.Context(), other)
		assert.ErrorIs(t, err, claim.ErrReused)
		out, err = ag.tbl.Claim(t.Context(), request("key", "three"))
		assert.NilError(t, err)
		assert.Equal(t, out.State, claim.Claimed)
		go func() {
			time.Sleep(time.Second)
			_ = ag.tbl.Finish(context.Background(), first, claim.Answer{Status: 201})
		}()
		en, ok := ag.tbl.Await(t.Context(), out.Attempt)
		assert.Assert(t, ok)
		assert.Equal(t, en.Answer.Status, 201)
		assert.NilError(t, ag.tbl.Release(t.Context(), first))
		out, err = wo.agents[1].tbl.Claim(t.Context(), request("key", "four"))
		assert.NilError(t, err)
		assert.Equal(t, out.State, claim.Done)
	})
}
