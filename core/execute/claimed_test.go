package execute_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/claim"
	"skylarkstand/core/declaration"
	"skylarkstand/core/execute"
	"skylarkstand/test/fakestore"
)

// booking is a plain service that counts its runs.
type booking struct {
	runs int
	err  error
	hold time.Duration
}

func (bo *booking) Run(context.Context, *core.Attempt) (core.Answer, error) {
	time.Sleep(bo.hold)
	var fl *core.Failure
	if errors.As(bo.err, &fl) && fl.Ran == core.NotRun {
		return nil, bo.err
	}
	bo.runs++
	if bo.err != nil {
		return nil, bo.err
	}
	return &reply{}, nil
}

type reply struct{ read bool }

func (re *reply) Next() ([]byte, error) {
	if re.read {
		return nil, io.EOF
	}
	re.read = true
	return []byte("booked"), nil
}
func (re *reply) Usage() core.Usage        { return core.Usage{} }
func (re *reply) Status() int              { return 201 }
func (re *reply) ContentType() string      { return "application/json" }
func (re *reply) Close()                   {}
func (re *reply) ReplayOf() core.AttemptID { return "" }

// rig is one agent beside the booking service.
type rig struct {
	t  *testing.T
	st *fakestore.Store
	bo *booking
	ex *execute.Executor
	// inf is the configuration of the agents.
	inf *declaration.InForce
}

func newRig(t *testing.T) *rig {
	ri := &rig{t: t, st: fakestore.New(), bo: &booking{}}
	deps := core.NewDeps()
	tbl, cleanup := claim.New(deps, ri.st)
	t.Cleanup(cleanup)
	gen := declaration.Generation{Number: 1, Document: declaration.Document{
		Services:   []declaration.Service{{ID: "booking", Operations: []declaration.Operation{{ID: "survey", AtMostOnce: true}}}},
		Workspaces: []declaration.Workspace{{ID: "school", Services: []core.ServiceID{"booking"}}},
	}}
	raw, err := gen.Encode()
	assert.NilError(t, err)
	inf := declaration.NewInForce()
	_, err = inf.Adopt(raw)
	assert.NilError(t, err)
	ri.inf = inf
	ri.ex = execute.New(deps, core.Host{ID: "booking-1", Service: "booking"}, inf, ri.bo, tbl, execute.Slots(1), execute.Queue(1))
	return ri
}

// told is what a caller was told: an answer, or a code and whether it ran.
type told struct {
	ran  core.Ran
	text string
}

func (ri *rig) call(ctx context.Context, key string) told {
	at := &core.Attempt{
		ID: core.AttemptID(core.NewID()), Workspace: "school", Service: "booking", Operation: "survey",
		IdempotencyKey: key, Generation: 1, Body: []byte("{}"),
	}
	ans, err := ri.ex.Run(ctx, at)
	if err != nil {
		var fl *core.Failure
		assert.Assert(ri.t, errors.As(err, &fl), "%v", err)
		return told{fl.Ran, string(fl.Code)}
	}
	defer ans.Close()
	data, err := ans.Next()
	assert.NilError(ri.t, err)
	return told{"", string(data)}
}

// beside is another agent of the same service over the same store.
func (ri *rig) beside() *rig {
	other := newRig(ri.t)
	other.st, other.bo = ri.st, ri.bo
	tbl, cleanup := claim.New(core.NewDeps(), ri.st)
	ri.t.Cleanup(cleanup)
	other.ex = execute.New(core.NewDeps(), core.Host{ID: "booking-2", Service: "booking"}, other.inf, ri.bo, tbl, execute.Slots(1), execute.Queue(1))
	return other
}

// Many callers send one booking with one key at once, and reach two agents. One
// of these runs it. The callers at the other one get the same answer, and not
// the word that its outcome is unknown, which would have a clerk look into each.
func TestCallersAtAnotherAgentGetTheAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one := newRig(t)
		two := one.beside()
		one.bo.hold = time.Second
		got := make(chan told)
		for i := range 40 {
			ri := []*rig{one, two}[i%2]
			go func() { got <- ri.told("key") }()
		}
		for range 40 {
			assert.Equal(t, <-got, told{"", "booked"})
		}
		assert.Equal(t, one.bo.runs, 1)
	})
}

// The agent that took a key is paused with its host. Callers at the other agent
// hear after a few seconds that the outcome is not known, and nothing runs
// twice.
func TestCallersDoNotWaitForAPausedAgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one := newRig(t)
		two := one.beside()
		one.bo.hold = time.Hour
		first := make(chan told)
		go func() { first <- one.told("key") }()
		time.Sleep(time.Second)
		began := time.Now()
		assert.Equal(t, two.told("key"), told{core.RanUnknown, "outcome-unknown"})
		took := time.Since(began)
		assert.Assert(t, took > 4*time.Second && took < 7*time.Second, "%s", took)
		assert.Equal(t, <-first, told{"", "booked"})
		assert.Equal(t, one.bo.runs, 1)
	})
}

// A caller sends one booking again and again: while it runs, after its answer
// was lost, after the service could not be reached, while the store is down.
// It must see one booking at most, and "not run" only when there is none.
func TestRunsUnderClaim(t *testing.T) {
	scenarios := []struct {
		testName string
		run      func(ri *rig) []told
		want     []told
		runs     int
	}{
		{"again after the answer", func(ri *rig) []told {
			return []told{ri.told("key"), ri.told("key"), ri.told("key")}
		}, []told{{"", "booked"}, {"", "booked"}, {"", "booked"}}, 1},
		{"again while it runs", func(ri *rig) []told {
			ri.bo.hold = time.Minute
			first := make(chan told)
			go func() { first <- ri.told("key") }()
			time.Sleep(time.Second)
			second := ri.told("key")
			return []told{<-first, second}
		}, []told{{"", "booked"}, {"", "booked"}}, 1},
		{"the service lost the call", func(ri *rig) []told {
			ri.bo.err = core.Lost("broken off")
			first := ri.told("key")
			ri.bo.err = nil
			return []told{first, ri.told("key")}
		}, []told{{core.RanUnknown, "outcome-unknown"}, {core.RanUnknown, "outcome-unknown"}}, 1},
		{"the service could not be reached", func(ri *rig) []told {
			ri.bo.err = core.Refuse(core.CodeNoUpstream, time.Second, "no way there")
			first := ri.told("key")
			ri.bo.err = nil
			return []told{first, ri.told("key")}
		}, []told{{core.NotRun, "no-upstream"}, {"", "booked"}}, 1},
		{"the store is down and comes back", func(ri *rig) []told {
			ri.st.Set(fakestore.Faults{Down: true})
			first := ri.told("key")
			ri.st.Set(fakestore.Faults{})
			return []told{first, ri.told("key")}
		}, []told{{core.NotRun, "store-unavailable"}, {"", "booked"}}, 1},
		{"the store goes down while the service works", func(ri *rig) []told {
			ri.bo.hold = time.Second
			time.AfterFunc(time.Second/2, func() { ri.st.Set(fakestore.Faults{Down: true}) })
			time.AfterFunc(time.Minute, func() { ri.st.Set(fakestore.Faults{}) })
			first := ri.told("key")
			second := ri.told("key")
			time.Sleep(2 * time.Minute)
			return []told{first, second, ri.told("key")}
		}, []told{{"", "booked"}, {core.NotRun, "store-unavailable"}, {"", "booked"}}, 1},
		{"the caller gives up before its claim stands", func(ri *rig) []told {
			ri.st.Set(fakestore.Faults{Latency: time.Second})
			ctx, cancel := context.WithTimeout(ri.t.Context(), time.Second/2)
			defer cancel()
			first := ri.call(ctx, "key")
			ri.st.Set(fakestore.Faults{})
			time.Sleep(10 * time.Second)
			return []told{first, ri.told("key")}
		}, []told{{core.NotRun, "deadline"}, {"", "booked"}}, 1},
		{"a burst fills the queue", func(ri *rig) []told {
			ri.bo.hold = time.Minute
			for _, key := range []string{"runs", "waits"} {
				go ri.told(key)
				time.Sleep(time.Second)
			}
			before := ri.st.Counts()
			third := ri.told("key")
			assert.Equal(ri.t, ri.st.Counts(), before)
			time.Sleep(time.Hour)
			return []told{third, ri.told("key")}
		}, []told{{core.NotRun, "overloaded"}, {"", "booked"}}, 3},
		{"the upstream leaves while the claim is written", func(ri *rig) []told {
			ri.st.Set(fakestore.Faults{Latency: time.Second})
			time.AfterFunc(time.Second/2, ri.ex.Leave)
			return []told{ri.told("key")}
		}, []told{{core.NotRun, "leaving"}}, 0},
		{"no key", func(ri *rig) []told { return []told{ri.told("")} }, []told{{core.NotRun, "bad-request"}}, 0},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ri := newRig(t)
				got := sc.run(ri)
				assert.Equal(t, len(got), len(sc.want))
				for i := range got {
					assert.Equal(t, got[i], sc.want[i])
				}
				assert.Equal(t, ri.bo.runs, sc.runs)
				assert.Equal(t, ri.ex.Load().Running, 0)
			})
		})
	}
}

func (ri *rig) told(key string) told { return ri.call(context.Background(), key) }

// An attempt owns its claim and then stands still for two days, paused with its
// host or behind a call that hangs. The others have dropped its claim by then
// and the key may have run elsewhere, so it must not call when it goes on.
func TestPausedBeyondRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ri := newRig(t)
		ri.bo.hold = 50 * time.Hour
		go ri.told("hangs")
		time.Sleep(time.Minute)
		assert.Equal(t, ri.told("waits"), told{core.NotRun, "deadline"})
		assert.Equal(t, ri.bo.runs, 1)
	})
}
