package suspect_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/suspect"
	"skylarkstand/test/figure"
)

// pool is a fake of the entry's upstreams. The body "poison" crashes the upstream that
// runs it.
type pool struct {
	core.Upstreams
	crashes  int
	hostLost bool
}

func (po *pool) Dispatch(_ context.Context, _ core.UpstreamID, at *core.Attempt) (core.Answer, error) {
	switch {
	case string(at.Body) == "poison":
		po.crashes++
		return nil, &core.Failure{Code: core.CodeCrashed, Ran: core.RanFailed}
	case po.hostLost:
		return nil, core.OutcomeUnknown("the link was lost")
	}
	return emptyAnswer{}, nil
}

type emptyAnswer struct{}

func (emptyAnswer) Next() ([]byte, error) { return nil, io.EOF }
func (emptyAnswer) Usage() core.Usage     { return core.Usage{} }
func (emptyAnswer) Status() int           { return 200 }
func (emptyAnswer) ContentType() string   { return "" }
func (emptyAnswer) Close()                {}

func (emptyAnswer) ReplayOf() core.AttemptID { return "a1" }

// A caller retries a booking that ran, and gets the stored answer. If the wrapper around
// the answer hid its ReplayOf, the caller would pay twice.
func TestUpstreamsKeepReplayOf(t *testing.T) {
	ups := suspect.NewUpstreams(core.NewDeps(), new(pool), suspect.New(), func(suspect.Record) {})
	ans, err := ups.Dispatch(t.Context(), "orders-1", attempt("booking"))
	assert.NilError(t, err)
	assert.Equal(t, ans.ReplayOf(), core.AttemptID("a1"))
}

func attempt(body string) *core.Attempt {
	return &core.Attempt{Workspace: "schools", Target: core.ModelVersion{Model: "desk", Version: "v1"}, Body: []byte(body)}
}

func send(ups *suspect.Upstreams, body string) error {
	ans, err := ups.Dispatch(context.Background(), "desk-1", attempt(body))
	if err != nil {
		return err
	}
	_, err = ans.Next()
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

func code(err error) core.Code {
	var fl *core.Failure
	if errors.As(err, &fl) {
		return fl.Code
	}
	return ""
}

// sendPoison sends one poisonous request fifty times through two entries that exchange
// records, and returns the number of upstreams it crashed.
func sendPoison(t *testing.T) int {
	po := new(pool)
	regs := []*suspect.Registry{suspect.New(), suspect.New()}
	announce := func(re suspect.Record) {
		for _, reg := range regs {
			reg.Merge(re, time.Now())
		}
	}
	for i := range 50 {
		ups := suspect.NewUpstreams(core.NewDeps(), po, regs[i%2], announce)
		err := send(ups, "poison")
		assert.Assert(t, err != nil)
		if i >= 2 {
			assert.Equal(t, code(err), core.CodeQuarantined)
		}
	}
	return po.crashes
}

// A caller keeps retrying a request that crashes every engine, through whichever entry
// the load balancer picks. Without shared records, each attempt would crash another
// engine until the whole pool is down.
func TestPoisonousRequestCrashesTwoUpstreams(t *testing.T) {
	assert.Equal(t, sendPoison(t), 2)
}

// loseHosts loses a host with a request in flight a number of times, retries the request
// each time, and returns how many retries were refused.
func loseHosts(t *testing.T, losses int) int {
	po, reg := new(pool), suspect.New()
	ups := suspect.NewUpstreams(core.NewDeps(), po, reg, func(suspect.Record) { t.Error("a host loss was announced as a crash") })
	refused := 0
	for i := range losses {
		po.hostLost = true
		body := fmt.Sprintf("innocent %d", i%5) // The same bodies recur, as with retries.
		_ = send(ups, body)
		po.hostLost = false
		if send(ups, body) != nil {
			refused++
		}
	}
	return refused
}

// Hosts fail 160 times a day with requests in flight. If a host loss counted as a crash
// caused by its requests, innocent requests would be refused for an hour after two host
// losses.
func TestHostLossSuspectsNoRequest(t *testing.T) {
	assert.Equal(t, loseHosts(t, 100), 0)
}

// An engine crashes with a poisonous and an innocent request in flight. The innocent one
// is retried alone, succeeds, and is cleared. A later crash makes it a suspect again, but
// must not quarantine it.
func TestInnocentRequestIsCleared(t *testing.T) {
	reg, now := suspect.New(), time.Now()
	fp := suspect.FingerprintOf(attempt("innocent"))
	reg.RecordCrash(fp, false, now)
	assert.Equal(t, reg.Lookup(fp, now).State, suspect.Suspected)
	ups := suspect.NewUpstreams(core.NewDeps(), new(pool), reg, func(suspect.Record) {})
	assert.NilError(t, send(ups, "innocent"))
	assert.Equal(t, reg.Lookup(fp, now).State, suspect.Free)
	reg.RecordCrash(fp, false, now)
	assert.Equal(t, reg.Lookup(fp, now).State, suspect.Suspected)
}

// Two copies of a suspect arrive at once. If both ran, each alone on an upstream, they
// would crash two upstreams where one is enough to quarantine the request.
func TestOneCopyRunsAtATime(t *testing.T) {
	reg, now := suspect.New(), time.Now()
	fp := suspect.FingerprintOf(attempt("x"))
	reg.RecordCrash(fp, false, now)
	_, first := reg.Begin(fp, now)
	_, second := reg.Begin(fp, now)
	assert.Assert(t, first)
	assert.Assert(t, !second)
	reg.End(fp)
	_, third := reg.Begin(fp, now)
	assert.Assert(t, third)
}

// Records expire, and a late message with an expired record does not revive it.
func TestRecordsExpire(t *testing.T) {
	reg, now := suspect.New(), time.Now()
	re := reg.RecordCrash(1, true, now)
	assert.Equal(t, reg.Lookup(1, now).State, suspect.Quarantined)
	assert.Equal(t, reg.Lookup(1, re.Until).State, suspect.Free)
	assert.Assert(t, !reg.Merge(re, re.Until))
}

func TestFiguresSuspects(t *testing.T) {
	if os.Getenv("SKYLARKSTAND_MEASURE") == "" {
		t.Skip("set SKYLARKSTAND_MEASURE=1 or run make measure to print the figures")
	}
	figure.AtMost("upstreams-lost-to-one-poisonous-request-of-50", float64(sendPoison(t)), "upstreams", 2)
	figure.AtMost("innocents-quarantined-in-100-host-losses", float64(loseHosts(t, 100)), "requests", 0)
}
