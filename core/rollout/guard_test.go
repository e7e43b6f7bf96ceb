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

// A version answers worse than the stable one. After some dozens of its callers have received bad
// answers, no further caller may be assigned to it.
func TestBadVersionIsHalted(t *testing.T) {
	for _, sc := range []struct {
		testName string
		run      simulation
		atMost   int
	}{
		{"clearly worse at a small share", simulation{stable: 0.9, candidate: 0.7, percent: 5, callers: 2000}, 200},
		{"three entries with one home", simulation{stable: 0.9, candidate: 0.7, percent: 5, entries: 3, callers: 2000}, 250},
		{"three entries without a home", simulation{stable: 0.9, candidate: 0.7, percent: 5, entries: 3, noHome: true, callers: 2000}, 350},
		{"worse than declared", simulation{stable: 0.9, candidate: 0.55, percent: 20, cheaper: true, callers: 2000}, 300},
		{"broken at half", simulation{stable: 0.9, candidate: 0.2, percent: 50, callers: 2000}, 150},
		{"clearly worse for all new callers, contrary to its declared quality", simulation{stable: 0.9, candidate: 0.6, percent: 100, callers: 2000}, 400},
		{"a weak model that gets weaker", simulation{stable: 0.7, candidate: 0.4, percent: 20, callers: 2000}, 250},
	} {
		t.Run(sc.testName, func(t *testing.T) {
			for seed := range uint64(20) {
				exposed, halted := sc.run.simulate(t, seed)
				assert.Assert(t, halted && exposed <= sc.atMost, "seed %d: halted is %v after %d callers", seed, halted, exposed)
			}
		})
	}
}

// A version as good as the stable one is halted by chance. Operators who see that stop trusting the
// guard. The declared quality may be wrong for both versions, and both may do worse for a while;
// neither is a fault of the new version.
func TestHarmlessVersionIsNotHalted(t *testing.T) {
	for _, run := range []simulation{
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
				if _, halted := run.simulate(t, 500+seed); halted {
					halts++
				}
			}
			assert.Assert(t, halts <= 2, "%d of 50 harmless roll-outs were halted", halts)
		})
	}
}

func haltedGuard(t *testing.T) *rollout.Guard {
	t.Helper()
	gu := rollout.New()
	gu.Apply(configuration(t, 1, 20, ""))
	now := time.Unix(1_000_000, 0)
	for i := range 400 {
		mv := desk1
		if i%5 == 0 {
			mv = desk2
		}
		gu.CountExposed(mv)
		gu.Observe(rollout.Outcome{Version: mv, Kind: rollout.Rating, Bad: mv == desk2, At: now})
	}
	assert.Assert(t, gu.Halted(desk2))
	return gu
}

// The store is unavailable when the guard halts a version, and the next configuration is an
// operator's change made without the halt. It must not assign callers to the bad version again.
// Once the configuration has contained the halt, an operator may restart the roll-out.
func TestLocalHaltStaysInForce(t *testing.T) {
	gu := haltedGuard(t)
	assert.Assert(t, cmp.Len(gu.PendingHalts(), 1))
	assert.Assert(t, gu.PendingHalts()[0].Exposed < 30)
	for _, step := range []struct {
		number  core.Generation
		halted  string
		inForce bool
		pending int
	}{{2, "", true, 1}, {3, "evidence", true, 0}, {4, "", false, 0}} {
		gu.Apply(configuration(t, step.number, 30, step.halted))
		assert.Equal(t, gu.Halted(desk2), step.inForce)
		assert.Assert(t, cmp.Len(gu.PendingHalts(), step.pending))
	}
	assert.Equal(t, gu.RateShare(desk2), 1.0)
}

// The store is unavailable, and another entry has halted a version. Callers of this entry must not
// be assigned to it either. A message older than the configuration may be about a halt that an
// operator has lifted, and is ignored.
func TestHaltOfAnotherEntry(t *testing.T) {
	for _, sc := range []struct {
		testName string
		halted   core.ModelVersion
		decided  core.Generation
		adopted  bool
	}{
		{"by the same configuration", desk2, 3, true},
		{"by a newer one", desk2, 4, true},
		{"by an older one", desk2, 2, false},
		{"of a version that is not rolled out", desk1, 3, false},
	} {
		t.Run(sc.testName, func(t *testing.T) {
			gu := rollout.New()
			gu.Apply(configuration(t, 3, 20, ""))
			ha := rollout.Halt{Version: sc.halted, Evidence: "elsewhere"}
			assert.Equal(t, gu.AdoptHalt(ha, sc.decided), sc.adopted)
			assert.Equal(t, gu.Halted(sc.halted), sc.adopted)
			assert.Assert(t, !gu.AdoptHalt(ha, sc.decided), "a halt that is known already is not new")
		})
	}
}

// fakeUpstreams is a fake of the upstreams whose attempts end with the given errors.
type fakeUpstreams struct {
	core.Upstreams
	err, next error
}

func (fu *fakeUpstreams) Dispatch(context.Context, core.UpstreamID, *core.Attempt) (core.Answer, error) {
	if fu.err != nil {
		return nil, fu.err
	}
	return &fakeAnswer{err: fu.next}, nil
}

type fakeAnswer struct {
	core.Answer
	err error
}

func (an *fakeAnswer) Next() ([]byte, error) { return nil, an.err }

func dispatch(ctx context.Context, gu *rollout.Guard, mv core.ModelVersion, fake *fakeUpstreams) {
	ans, err := rollout.ObserveAttempts(fake, gu).Dispatch(ctx, "one", &core.Attempt{Target: mv})
	if err == nil {
		_, _ = ans.Next()
	}
}

// A version's upstreams fail or are lost during attempts, and the retries succeed on other
// upstreams, so that callers notice only the delay. The guard must record each of these attempts.
// It must not record attempts that were refused before they ran or whose caller disconnected, nor
// count one lost host a dozen times because of all its attempts: none of these is a fault of the
// version.
func TestObserveAttemptsRecordsFailuresOfTheVersion(t *testing.T) {
	failed := &core.Failure{Code: core.CodeUpstream, Ran: core.RanFailed}
	for _, sc := range []struct {
		testName     string
		err, next    error
		disconnected bool
		halts        bool
		records      bool
	}{
		{testName: "answers", next: io.EOF, records: true},
		{testName: "fails at once", err: failed, halts: true, records: true},
		{testName: "fails in the middle", next: failed, halts: true, records: true},
		{testName: "one host is lost", err: core.OutcomeUnknown("host"), records: true},
		{testName: "refused", err: core.Refuse(core.CodeOverloaded, 0, "full")},
		{testName: "caller gone", next: failed, disconnected: true},
	} {
		t.Run(sc.testName, func(t *testing.T) {
			gu := rollout.New()
			gu.Apply(configuration(t, 1, 20, ""))
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if sc.disconnected {
				cancel()
			}
			dispatch(ctx, gu, desk2, &fakeUpstreams{err: sc.err, next: sc.next})
			assert.Equal(t, len(gu.TakeBatches()[0].Outcomes) > 0, sc.records)
			for range 40 {
				dispatch(ctx, gu, desk1, &fakeUpstreams{next: io.EOF})
				dispatch(ctx, gu, desk2, &fakeUpstreams{err: sc.err, next: sc.next})
			}
			assert.Equal(t, gu.Halted(desk2), sc.halts)
		})
	}
}
