package rollout_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/declaration"
	"skylarkstand/core/rollout"
	"skylarkstand/test/eventqueue"
)

var (
	desk1 = core.ModelVersion{Model: "desk", Version: "v1"}
	desk2 = core.ModelVersion{Model: "desk", Version: "v2"}
)

// configuration returns a generation with a roll-out of desk@v2.
func configuration(t testing.TB, number core.Generation, percent int, halted string) *declaration.Snapshot {
	t.Helper()
	return declared(t, number, percent, halted, 0.9)
}

// declared is configuration with the quality that is declared of desk@v2.
func declared(t testing.TB, number core.Generation, percent int, halted string, quality core.Quality) *declaration.Snapshot {
	t.Helper()
	gen := &declaration.Generation{Number: number, Document: declaration.Document{
		Models: []declaration.Model{{ID: "desk", Stable: "v1", Versions: []declaration.Version{
			{ID: "v1", Quality: 0.9}, {ID: "v2", Quality: quality},
		}}},
		RollOuts: []declaration.RollOut{{Model: "desk", Version: "v2", Percent: percent, Halted: halted}},
	}}
	raw, err := gen.Encode()
	assert.NilError(t, err)
	return declaration.NewSnapshot(gen, raw)
}

// trialRun is one roll-out in virtual time: new callers come at random, are
// answered, and their answers are rated a while later.
type trialRun struct {
	// stable and candidate are the shares of good answers.
	stable, candidate float64
	percent           int
	// cheaper says that the candidate is declared at 0.8, the stable one at
	// 0.9: it is meant to be worse.
	cheaper bool
	// entries see the callers that come to them, and send what they see to
	// the first, but for those that are alone.
	entries int
	alone   bool
	// callers of the candidate after which the run ends without a halt.
	callers int
	// decide replaces the guard by a rule over the ratings so far.
	decide func(seen [2][2]int) bool
}

// pace is the callers a second over all entries.
const pace = 100

const (
	// batchPace is the time between two batches to the home.
	batchPace = 500 * time.Millisecond
	// spreadTime is what a halt takes to all entries.
	spreadTime = 200 * time.Millisecond
)

// batches sends all entries' evidence to the home and reports whether it has
// halted the roll-out.
func batches(guards []*rollout.Guard) bool {
	for _, gu := range guards {
		for _, ba := range gu.Batches() {
			guards[0].Pool(ba)
		}
	}
	return guards[0].Halted(desk2)
}

// play returns how many callers were given the candidate and whether it was
// halted.
func (tr trialRun) play(t testing.TB, seed uint64) (reached int, halted bool) {
	rnd := rand.New(rand.NewPCG(seed, 11))
	guards := make([]*rollout.Guard, max(tr.entries, 1))
	for i := range guards {
		guards[i] = rollout.New()
		quality := core.Quality(0.9)
		if tr.cheaper {
			quality = 0.8
		}
		guards[i].Follow(declared(t, 1, tr.percent, "", quality))
		guards[i].Alone("desk", tr.alone)
	}
	var qu eventqueue.Queue
	var seen [2][2]int
	now, stop := time.Unix(1_000_000, 0), time.Time{}
	sent := now
	end := func(at time.Time) {
		if stop.IsZero() {
			halted, stop = true, at.Add(spreadTime)
		}
	}
	for reached < tr.callers && (stop.IsZero() || now.Before(stop)) {
		now = now.Add(time.Duration(rnd.ExpFloat64() * float64(time.Second/pace)))
		qu.RunBefore(now)
		if !tr.alone && now.Sub(sent) >= batchPace {
			sent = now
			if batches(guards) && tr.decide == nil {
				end(now)
			}
		}
		gu := guards[rnd.IntN(len(guards))]
		mv, good, side := desk1, rnd.Float64() < tr.stable, 0
		if rnd.IntN(100) < tr.percent {
			if tr.decide == nil && gu.Halted(desk2) {
				continue
			}
			mv, good, side = desk2, rnd.Float64() < tr.candidate, 1
			reached++
		}
		if rnd.Float64() >= gu.RateShare(mv) {
			continue
		}
		wait := time.Duration(500+rnd.IntN(1000)) * time.Millisecond // The answer, then its rating.
		qu.At(now.Add(wait), func(at time.Time) {
			seen[side][0]++
			if !good {
				seen[side][1]++
			}
			gu.Observe(rollout.Outcome{Version: mv, Kind: rollout.Rating, Bad: !good, At: at})
			if (tr.decide == nil && gu.Halted(desk2)) || (tr.decide != nil && tr.decide(seen)) {
				end(at)
			}
		})
	}
	return reached, halted
}

func (tr trialRun) String() string {
	return fmt.Sprintf("%.2f to %.2f at %d%%", tr.stable, tr.candidate, tr.percent)
}
