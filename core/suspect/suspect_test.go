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

// pool is a fake of the entry's upstreams. A body "poison" crashes the
// upstream that runs it, and everything in flight there fails with it.
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
		return nil, core.Lost("the link was lost")
	}
	return whole{}, nil
}

type whole struct{}

func (whole) Next() ([]byte, error) { return nil, io.EOF }
func (whole) Usage() core.Usage     { return core.Usage{} }
func (whole) Status() int           { return 200 }
func (whole) ContentType() string   { return "" }
func (whole) Close()                {}

func (whole) ReplayOf() core.AttemptID { return "a1" }

// A caller asks again for a booking that ran, and gets the stored answer. If
// the watch on the answer hid that it is stored, the caller would pay twice.
func TestReplayShowsThroughTheWatch(t *testing.T) {
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

// poison sends one poisonous request fifty times over two entries that tell
// each other, and returns how many upstreams it took.
func poison(t *testing.T) int {
	po := new(pool)
	regs := []*suspect.Registry{suspect.New(), suspect.New()}
	tell := func(re suspect.Record) {
		for _, reg := range regs {
			reg.Learn(re, time.Now())
		}
	}
	for i := range 50 {
		ups := suspect.NewUpstreams(core.NewDeps(), po, regs[i%2], tell)
		err := send(ups, "poison")
		assert.Assert(t, err != nil)
		if i >= 2 {
			assert.Equal(t, code(err), core.CodeQuarantined)
		}
	}
	return po.crashes
}

// A caller whose request crashes every engine sends it again and again,
// through whichever entry the balancer picks. Without a memory of it the whole
// pool would go down, one engine a try.
func TestPoisonousRequestTakesTwoUpstreams(t *testing.T) {
	assert.Equal(t, poison(t), 2)
}

// innocents loses a host with requests in flight a number of times and
// returns how many of them were quarantined or suspected.
func innocents(t *testing.T, losses int) int {
	po, reg := new(pool), suspect.New()
	ups := suspect.NewUpstreams(core.NewDeps(), po, reg, func(suspect.Record) { t.Error("told of a crash") })
	refused := 0
	for i := range losses {
		po.hostLost = true
		body := fmt.Sprintf("innocent %d", i%5) // The same bodies come again, as retries do.
		_ = send(ups, body)
		po.hostLost = false
		if send(ups, body) != nil {
			refused++
		}
	}
	return refused
}

// Hosts fail 160 times a day with work in flight. Were the loss of a host
// taken for a crash by request, callers of innocent work would be refused for
// an hour after two bad hosts.
func TestLostHostSuspectsNobody(t *testing.T) {
	assert.Equal(t, innocents(t, 100), 0)
}

// An engine crashes with a poisonous request and an innocent one in flight.
// The innocent one runs again alone, ends well, and is free of suspicion; a
// second crash elsewhere must not then quarantine it.
func TestInnocentIsCleared(t *testing.T) {
	reg, now := suspect.New(), time.Now()
	fp := suspect.Of(attempt("innocent"))
	reg.Crashed(fp, false, now)
	assert.Equal(t, reg.Verdict(fp, now).State, suspect.Suspected)
	ups := suspect.NewUpstreams(core.NewDeps(), new(pool), reg, func(suspect.Record) {})
	assert.NilError(t, send(ups, "innocent"))
	assert.Equal(t, reg.Verdict(fp, now).State, suspect.Free)
	reg.Crashed(fp, false, now)
	assert.Equal(t, reg.Verdict(fp, now).State, suspect.Suspected)
}

// Two copies of a suspect arrive at once. Run side by side, each alone on an
// upstream, they would cost two upstreams where one tells enough.
func TestOneCopyRunsAtATime(t *testing.T) {
	reg, now := suspect.New(), time.Now()
	fp := suspect.Of(attempt("x"))
	reg.Crashed(fp, false, now)
	_, first := reg.Begin(fp, now)
	_, second := reg.Begin(fp, now)
	assert.Assert(t, first)
	assert.Assert(t, !second)
	reg.End(fp)
	_, third := reg.Begin(fp, now)
	assert.Assert(t, third)
}

// Records end, and late word of an ended one does not revive it.
func TestRecordsEnd(t *testing.T) {
	reg, now := suspect.New(), time.Now()
	re := reg.Crashed(1, true, now)
	assert.Equal(t, reg.Verdict(1, now).State, suspect.Quarantined)
	assert.Equal(t, reg.Verdict(1, re.Until).State, suspect.Free)
	assert.Assert(t, !reg.Learn(re, re.Until))
}

func TestFiguresSuspects(t *testing.T) {
	if os.Getenv("SKYLARKSTAND_MEASURE") == "" {
		t.Skip("only when measuring")
	}
	figure.AtMost("upstreams-lost-to-one-poisonous-request-of-50", float64(poison(t)), "upstreams", 2)
	figure.AtMost("innocents-quarantined-in-100-host-losses", float64(innocents(t, 100)), "requests", 0)
}
