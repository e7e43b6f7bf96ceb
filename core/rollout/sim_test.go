package rollout_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/declaration"
	"skylarkstand/core/rollout"
)

var (
	desk1 = core.ModelVersion{Model: "desk", Version: "v1"}
	desk2 = core.ModelVersion{Model: "desk", Version: "v2"}
)

// configuration returns a generation with a roll-out of desk@v2.
func configuration(t testing.TB, number core.Generation, percent int, halted string) *declaration.Snapshot {
	t.Helper()
	gen := &declaration.Generation{Number: number, Document: declaration.Document{
		Models: []declaration.Model{{ID: "desk", Stable: "v1", Versions: []declaration.Version{
			{ID: "v1", Quality: 0.9}, {ID: "v2", Quality: 0.9},
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
	// entries decide each by the callers that come to it.
	entries int
	// callers of the candidate after which the run ends without a halt.
	callers int
	// decide replaces the guard by a rule over the ratings so far.
	decide func(seen [2][2]int) bool
}

// pace is the callers a second over all entries.
const pace = 100

type simEvent struct {
	at  time.Time
	run func(time.Time)
}

type events []simEvent

func (evs events) Len() int           { return len(evs) }
func (evs events) Less(i, j int) bool { return evs[i].at.Before(evs[j].at) }
func (evs events) Swap(i, j int)      { evs[i], evs[j] = evs[j], evs[i] }
func (evs *events) Push(ev any)       { *evs = append(*evs, ev.(simEvent)) }
func (evs *events) Pop() any {
	old := *evs
	ev := old[len(old)-1]
	*evs = old[:len(old)-1]
	return ev
}

// play returns how many callers were given the candidate and whether it was
// halted. A halt by one entry holds in all of them: it goes out with the next
// generation, within a second.
func (tr trialRun) play(t testing.TB, seed uint64) (reached int, halted bool) {
	rnd := rand.New(rand.NewPCG(seed, 11))
	guards := make([]*rollout.Guard, max(tr.entries, 1))
	for i := range guards {
		guards[i] = rollout.New()
		guards[i].Follow(configuration(t, 1, tr.percent, ""))
	}
	var evs events
	var seen [2][2]int
	now, stop := time.Unix(1_000_000, 0), time.Time{}
	for reached < tr.callers && (stop.IsZero() || now.Before(stop)) {
		now = now.Add(time.Duration(rnd.ExpFloat64() * float64(time.Second/pace)))
		for len(evs) > 0 && evs[0].at.Before(now) {
			ev := heap.Pop(&evs).(simEvent)
			ev.run(ev.at)
		}
		gu := guards[rnd.IntN(len(guards))]
		mv, good, side := desk1, rnd.Float64() < tr.stable, 0
		if rnd.IntN(100) < tr.percent {
			if gu.Halted(desk2) {
				continue
			}
			mv, good, side = desk2, rnd.Float64() < tr.candidate, 1
			reached++
		}
		if rnd.Float64() >= gu.RateShare(mv) {
			continue
		}
		wait := time.Duration(500+rnd.IntN(1000)) * time.Millisecond // The answer, then its rating.
		heap.Push(&evs, simEvent{now.Add(wait), func(at time.Time) {
			seen[side][0]++
			if !good {
				seen[side][1]++
			}
			var over bool
			if tr.decide != nil {
				over = tr.decide(seen)
			} else {
				gu.Observe(rollout.Outcome{Version: mv, Kind: rollout.Rating, Bad: !good, At: at})
				over = gu.Halted(desk2)
			}
			if over && stop.IsZero() {
				halted = true
				stop = at
				if len(guards) > 1 {
					stop = at.Add(time.Second)
				}
			}
		}})
	}
	return reached, halted
}

func (tr trialRun) String() string {
	return fmt.Sprintf("%.2f to %.2f at %d%%", tr.stable, tr.candidate, tr.percent)
}
