package rollout_test

import (
	"context"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"skylarkstand/core"
	"skylarkstand/core/rollout"
)

// A version answers worse than the stable one. Callers who were given it
// notice bad answers; after some dozens of them no further caller is.
func TestBadVersionIsHalted(t *testing.T) {
	for _, sc := range []struct {
		testName string
		run      trialRun
		atMost   int
	}{
		{"clearly worse at a small share", trialRun{stable: 0.9, candidate: 0.7, percent: 5, callers: 2000}, 200},
		{"three entries with one home", trialRun{stable: 0.9, candidate: 0.7, percent: 5, entries: 3, callers: 2000}, 250},
		{"three entries without a home", trialRun{stable: 0.9, candidate: 0.7, percent: 5, entries: 3, alone: true, callers: 2000}, 350},
		{"worse than was declared of it", trialRun{stable: 0.9, candidate: 0.55, percent: 20, cheaper: true, callers: 2000}, 300},
		{"broken at half", trialRun{stable: 0.9, candidate: 0.2, percent: 50, callers: 2000}, 150},
		{"clearly worse for all new callers, against what was declared", trialRun{stable: 0.9, candidate: 0.6, percent: 100, callers: 2000}, 400},
		{"a weak model that gets weaker", trialRun{stable: 0.7, candidate: 0.4, percent: 20, callers: 2000}, 250},
	} {
		t.Run(sc.testName, func(t *testing.T) {
			for seed := range uint64(20) {
				reached, halted := sc.run.play(t, seed)
				assert.Assert(t, halted && reached <= sc.atMost, "seed %d: halted %v after %d", seed, halted, reached)
			}
		})
	}
}

// A version as good as the stable one is halted by chance. Operators who see
// that happen stop to believe the guard. The declared quality may be wrong for
// both, and an hour may be hard for both; neither is the version's fault.
func TestHarmlessVersionGoesOn(t *testing.T) {
	for _, run := range []trialRun{
		{stable: 0.9, candidate: 0.9, percent: 5, callers: 500},
		{stable: 0.9, candidate: 0.89, percent: 20, callers: 500},
		{stable: 0.6, candidate: 0.6, percent: 20, callers: 500},
		{stable: 0.9, candidate: 0.8, percent: 20, cheaper: true, callers: 500},
		{stable: 0.6, candidate: 0.6, percent: 50, callers: 500, entries: 3},
		{stable: 0.7, candidate: 0.7, percent: 90, callers: 1000, entries: 3},
		{stable: 0.8, candidate: 0.95, percent: 50, callers: 500},
	} {
		t.Run(run.String(), func(t *testing.T) {
			halts := 0
			for seed := range uint64(50) {
				if _, halted := run.play(t, 500+seed); halted {
					halts++
				}
			}
			assert.Assert(t, halts <= 2, "%d of 50", halts)
		})
	}
}

func halted(t *testing.T) *rollout.Guard {
	t.Helper()
	gu := rollout.New()
	gu.Follow(configuration(t, 1, 20, ""))
	now := time.Unix(1_000_000, 0)
	for i := range 400 {
		mv := desk1
		if i%5 == 0 {
			mv = desk2
		}
		gu.Reach(mv)
		gu.Observe(rollout.Outcome{Version: mv, Kind: rollout.Rating, Bad: mv == desk2, At: now})
	}
	assert.Assert(t, gu.Halted(desk2))
	return gu
}

// The store is away when the guard halts a version, and an operator's change
// that knows nothing of the halt is the next configuration. Callers must not
// be given the bad version again by that. Once the halt has stood in the
// configuration, an operator may start the roll-out again.
func TestLocalHaltHolds(t *testing.T) {
	gu := halted(t)
	assert.Assert(t, cmp.Len(gu.Halts(), 1))
	assert.Assert(t, gu.Halts()[0].Reached < 30)
	for _, step := range []struct {
		number  core.Generation
		halted  string
		holds   bool
		pending int
	}{{2, "", true, 1}, {3, "evidence", true, 0}, {4, "", false, 0}} {
		gu.Follow(configuration(t, step.number, 30, step.halted))
		assert.Equal(t, gu.Halted(desk2), step.holds)
		assert.Assert(t, cmp.Len(gu.Halts(), step.pending))
	}
	assert.Equal(t, gu.RateShare(desk2), 1.0)
}

// The store is away, and another entry has halted a version. Callers of this
// entry must not be given it either. A word that is older than the
// configuration may be of a halt that an operator has lifted, and is not
// heeded.
func TestHaltOfAnotherEntry(t *testing.T) {
	for _, sc := range []struct {
		testName string
		halted   core.ModelVersion
		decided  core.Generation
		heeded   bool
	}{
		{"by the same configuration", desk2, 3, true},
		{"by a newer one", desk2, 4, true},
		{"by an older one", desk2, 2, false},
		{"of a version that is not rolled out", desk1, 3, false},
	} {
		t.Run(sc.testName, func(t *testing.T) {
			gu := rollout.New()
			gu.Follow(configuration(t, 3, 20, ""))
			ha := rollout.Halt{Version: sc.halted, Why: "elsewhere"}
			assert.Equal(t, gu.Heed(ha, sc.decided), sc.heeded)
			assert.Equal(t, gu.Halted(sc.halted), sc.heeded)
			assert.Assert(t, !gu.Heed(ha, sc.decided), "a word that circles is no news")
		})
	}
}

// attempts is a fake of the upstreams whose attempts end as told.
type attempts struct {
	core.Upstreams
	err, next error
}

func (at *attempts) Dispatch(context.Context, core.UpstreamID, *core.Attempt) (core.Answer, error) {
	if at.err != nil {
		return nil, at.err
	}
	return &answer{err: at.next}, nil
}

type answer struct {
	core.Answer
	err error
}

func (an *answer) Next() ([]byte, error) { return nil, an.err }

func try(ctx context.Context, gu *rollout.Guard, mv core.ModelVersion, fake *attempts) {
	ans, err := rollout.Watch(fake, gu).Dispatch(ctx, "one", &core.Attempt{Target: mv})
	if err == nil {
		_, _ = ans.Next()
	}
}

// A version's upstreams fail or are lost while they work, and the requests
// succeed elsewhere, so that callers notice nothing but the wait. The guard
// must hear of each attempt all the same. It must not hear of attempts that
// were refused before they ran, of callers that hung up, nor a dozen times of
// one host that was lost with all its attempts: none of it is the version's.
func TestWatchTellsWhatTheVersionDid(t *testing.T) {
	failed := &core.Failure{Code: core.CodeUpstream, Ran: core.RanFailed}
	for _, sc := range []struct {
		testName  string
		err, next error
		gone      bool
		halts     bool
		tells     bool
	}{
		{testName: "answers", next: io.EOF, tells: true},
		{testName: "fails at once", err: failed, halts: true, tells: true},
		{testName: "fails in the middle", next: failed, halts: true, tells: true},
		{testName: "one host is lost", err: core.Lost("host"), tells: true},
		{testName: "refused", err: core.Refuse(core.CodeOverloaded, 0, "full")},
		{testName: "caller gone", next: failed, gone: true},
	} {
		t.Run(sc.testName, func(t *testing.T) {
			gu := rollout.New()
			gu.Follow(configuration(t, 1, 20, ""))
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if sc.gone {
				cancel()
			}
			try(ctx, gu, desk2, &attempts{err: sc.err, next: sc.next})
			assert.Equal(t, len(gu.Batches()[0].Outcomes) > 0, sc.tells)
			for range 40 {
				try(ctx, gu, desk1, &attempts{next: io.EOF})
				try(ctx, gu, desk2, &attempts{err: sc.err, next: sc.next})
			}
			assert.Equal(t, gu.Halted(desk2), sc.halts)
		})
	}
}
