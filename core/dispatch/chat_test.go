package dispatch_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/declaration"
	"skylarkstand/core/dispatch"
	"skylarkstand/core/ledger"
	"skylarkstand/core/rollout"
	"skylarkstand/core/routing"
)

// upstreams is a fake with one upstream a version.
type upstreams struct {
	core.Upstreams
	// fail ends the attempts on a version; cut ends them in the middle.
	fail, cut map[core.ModelID]*core.Failure
	ran       []core.ModelVersion
}

func (ups *upstreams) Serving(mv core.ModelVersion) []core.Upstream {
	return []core.Upstream{{Host: core.Host{ID: core.UpstreamID(mv.String()), Model: mv.Model, Version: mv.Version}, Up: true, Load: core.Load{Slots: 8}}}
}

func (ups *upstreams) Dispatch(_ context.Context, _ core.UpstreamID, at *core.Attempt) (core.Answer, error) {
	if fl := ups.fail[at.Target.Model]; fl != nil {
		return nil, fl
	}
	ups.ran = append(ups.ran, at.Target)
	return &answer{text: at.Target.String(), cut: ups.cut[at.Target.Model]}, nil
}

func (ups *upstreams) Settle(core.UpstreamID, core.RequestID, core.AttemptID, []byte) {}

type answer struct {
	text string
	cut  *core.Failure
	sent bool
}

func (an *answer) Next() ([]byte, error) {
	switch {
	case !an.sent:
		an.sent = true
		return []byte(an.text), nil
	case an.cut != nil:
		return nil, an.cut
	}
	return nil, io.EOF
}

func (an *answer) Usage() core.Usage        { return core.Usage{Prompt: 100, Generated: 200} }
func (an *answer) Status() int              { return 200 }
func (an *answer) ContentType() string      { return "" }
func (an *answer) Close()                   {}
func (an *answer) ReplayOf() core.AttemptID { return "" }

// rater is a fake that rates each model alike.
type rater struct {
	rates map[core.ModelID]core.Quality
	late  time.Duration
	away  bool
}

func (ra *rater) Rate(_ context.Context, mv core.ModelVersion, _, _ []byte) (core.Quality, error) {
	time.Sleep(ra.late)
	if ra.away {
		return 0, errors.New("away")
	}
	return ra.rates[mv.Model], nil
}

type bills struct{ all []ledger.Bill }

func (bi *bills) Add(one ledger.Bill) { bi.all = append(bi.all, one) }

func inForce(t *testing.T, ros ...declaration.RollOut) *declaration.InForce {
	t.Helper()
	gen := &declaration.Generation{Number: 1, Document: declaration.Document{
		Models: []declaration.Model{
			{ID: "desk", Stable: "v1", Versions: []declaration.Version{{ID: "v1", Quality: 0.7, TokenPrice: 40}, {ID: "v2", Quality: 0.7, TokenPrice: 40}}},
			{ID: "drafter", Stable: "v1", Versions: []declaration.Version{{ID: "v1", Quality: 0.95, TokenPrice: 600}}},
		},
		Cascades: []declaration.Cascade{{ID: "quick", Stages: []core.ModelID{"desk", "drafter"}}},
		Workspaces: []declaration.Workspace{{
			ID: "ws", Quality: 0.9, LatencyPrice: 5, Share: 1, Cascades: []core.CascadeID{"quick"},
			Allow: []declaration.Allow{{Model: "desk", Versions: []core.VersionID{"v1", "v2"}}, {Model: "drafter", Versions: []core.VersionID{"v1"}}},
		}},
		RollOuts: ros,
	}}
	raw, err := gen.Encode()
	assert.NilError(t, err)
	inf := declaration.NewInForce()
	_, err = inf.Adopt(raw)
	assert.NilError(t, err)
	return inf
}

func ask(t *testing.T, dis *dispatch.Dispatcher, model string, se routing.Session) (string, error) {
	t.Helper()
	out, err := dis.Chat(context.Background(), &dispatch.Request{ID: core.RequestID(core.NewID()), Workspace: "ws", Model: model, Session: se, Prompt: []byte("which lamp?")})
	if err != nil {
		return "", err
	}
	defer out.Close()
	text := ""
	for {
		piece, err := out.Next()
		if errors.Is(err, io.EOF) {
			out.Settle()
			assert.Equal(t, text, out.Target.String())
			return text, nil
		}
		if err != nil {
			return text, err
		}
		text += string(piece)
	}
}

// A stage's pool runs out, its engine breaks in the middle of an answer, or
// nobody can say whether an answer is good. The caller gets the best answer
// that can be had and one bill for what was run whole, or is told the truth.
func TestCascadeUnderFaults(t *testing.T) {
	full, broke := core.Refuse(core.CodeOverloaded, time.Second, "full"), core.Lost("broke")
	type failures = map[core.ModelID]*core.Failure
	for _, sc := range []struct {
		testName  string
		fail, cut failures
		ra        rater
		want      string
		lines     int
		ran       core.Ran
		wait      time.Duration
	}{
		{testName: "cheap answer is good", ra: rater{rates: map[core.ModelID]core.Quality{"desk": 1}}, want: "desk@v1", lines: 1},
		{testName: "cheap answer is bad", ra: rater{rates: map[core.ModelID]core.Quality{"drafter": 1}}, want: "drafter@v1", lines: 2},
		{testName: "ratings are away", ra: rater{away: true}, want: "drafter@v1", lines: 2},
		{testName: "ratings are late", ra: rater{late: 3 * time.Second}, want: "drafter@v1", lines: 2, wait: 300 * time.Millisecond},
		{testName: "cheap pool is full", fail: failures{"desk": full}, want: "drafter@v1", lines: 1},
		{testName: "cheap answer is cut", cut: failures{"desk": broke}, want: "drafter@v1", lines: 1},
		{testName: "costly pool is full after a bad answer", fail: failures{"drafter": full}, want: "desk@v1", lines: 1},
		{testName: "all pools are full", fail: failures{"desk": full, "drafter": full}, ran: core.NotRun},
		{testName: "cheap answer is cut and the costly pool is full", cut: failures{"desk": broke}, fail: failures{"drafter": full}, ran: core.RanUnknown},
	} {
		t.Run(sc.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				bi := &bills{}
				dis := dispatch.New(core.NewDeps(), inForce(t), &upstreams{fail: sc.fail, cut: sc.cut}, &sc.ra, bi)
				began := time.Now()
				got, err := ask(t, dis, "quick", routing.Session{})
				assert.Equal(t, time.Since(began), sc.wait)
				if sc.want == "" {
					var fl *core.Failure
					assert.Assert(t, errors.As(err, &fl))
					assert.Equal(t, fl.Ran, sc.ran)
					assert.Equal(t, len(bi.all), 0)
					return
				}
				assert.NilError(t, err)
				assert.Equal(t, got, sc.want)
				assert.Equal(t, len(bi.all), 1)
				assert.Equal(t, len(bi.all[0].Lines), sc.lines)
				time.Sleep(sc.ra.late) // The late rating is still taken in.
			})
		})
	}
}

// The rating service is away for a while. After a few requests none runs the
// cheap stage in vain or waits any more: callers get answers from the stage
// that was declared good enough, and no later than always.
func TestNobodyWaitsForRatingsThatAreAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ups := &upstreams{}
		dis := dispatch.New(core.NewDeps(), inForce(t), ups, &rater{late: time.Hour}, &bills{})
		began := time.Now()
		for range 20 {
			got, err := ask(t, dis, "quick", routing.Session{})
			assert.NilError(t, err)
			assert.Equal(t, got, "drafter@v1")
		}
		assert.Assert(t, time.Since(began) <= 4*300*time.Millisecond)
		assert.Assert(t, len(ups.ran) <= 20+4)
		time.Sleep(time.Hour)
	})
}

// The configuration may be outdated, or the guard has just halted a version
// that the configuration still rolls out. New sessions must get the stable
// version at once, or callers meet a bad one for as long as the store is away.
// Sessions that are on the new version keep it.
func TestNewSessionsLeaveARollOut(t *testing.T) {
	ro := declaration.RollOut{Model: "desk", Version: "v2", Percent: 50}
	pinned := routing.Session{Draw: 0.1, Stale: true, Pins: map[core.ModelID]core.VersionID{"desk": "v2"}}
	for _, sc := range []struct {
		testName string
		stale    bool
		halt     bool
		want     string
	}{
		{testName: "fresh", want: "desk@v2"},
		{testName: "stale", stale: true, want: "desk@v1"},
		{testName: "halted here", halt: true, want: "desk@v1"},
	} {
		t.Run(sc.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				inf, gu := inForce(t, ro), rollout.New()
				gu.Follow(inf.Current())
				dis := dispatch.New(core.NewDeps(), inf, &upstreams{}, &rater{rates: map[core.ModelID]core.Quality{"desk": 1}}, &bills{}, dispatch.Guard(gu))
				for i := 0; sc.halt && i < 200; i++ {
					gu.Observe(rollout.Outcome{Version: core.ModelVersion{Model: "desk", Version: "v1"}, Kind: rollout.Rating})
					gu.Observe(rollout.Outcome{Version: core.ModelVersion{Model: "desk", Version: "v2"}, Kind: rollout.Rating, Bad: true})
				}
				got, err := ask(t, dis, "desk", routing.Session{Draw: 0.1, Stale: sc.stale})
				assert.NilError(t, err)
				assert.Equal(t, got, sc.want)
				got, err = ask(t, dis, "desk", pinned)
				assert.NilError(t, err)
				assert.Equal(t, got, "desk@v2")
			})
		})
	}
}

// A version under roll-out answers badly. Its answers are rated although it
// stands in no cascade, the caller does not wait for that, and the roll-out
// ends.
func TestSingleModelAnswersAreRatedAside(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inf, gu := inForce(t, declaration.RollOut{Model: "desk", Version: "v2", Percent: 50}), rollout.New()
		gu.Follow(inf.Current())
		ra := &byVersion{}
		dis := dispatch.New(core.NewDeps(), inf, &upstreams{}, ra, &bills{}, dispatch.Guard(gu))
		reached := 0
		for i := range 400 {
			began := time.Now()
			got, err := ask(t, dis, "desk", routing.Session{Draw: float64(i%10) / 10})
			assert.NilError(t, err)
			assert.Equal(t, time.Since(began), time.Duration(0))
			if got == "desk@v2" {
				reached++
			}
			time.Sleep(time.Second)
		}
		assert.Assert(t, gu.Halted(core.ModelVersion{Model: "desk", Version: "v2"}))
		assert.Assert(t, reached < 40, "%d callers", reached)
	})
}

// byVersion rates v2 badly and takes its time.
type byVersion struct{}

func (*byVersion) Rate(_ context.Context, mv core.ModelVersion, _, _ []byte) (core.Quality, error) {
	time.Sleep(100 * time.Millisecond)
	if mv.Version == "v2" {
		return 0, nil
	}
	return 1, nil
}
