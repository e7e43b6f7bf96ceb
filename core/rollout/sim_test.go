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
	return configurationWithQuality(t, number, percent, halted, 0.9)
}

// configurationWithQuality is configuration with a declared quality of desk@v2.
func configurationWithQuality(t testing.TB, number core.Generation, percent int, halted string, quality core.Quality) *declaration.Snapshot {
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

// simulation is one roll-out in virtual time: new callers arrive at random and are answered, and
// their answers are rated a while later.
type simulation struct {
	// stable and candidate are the fractions of good answers.
	stable, candidate float64
	percent           int
	// cheaper declares the candidate at 0.8 and the stable version at 0.9: it is meant to be worse.
	cheaper bool
	// entries is the number of entries. Each observes its own callers and sends its evidence to the
	// first, unless noHome is set.
	entries int
	noHome  bool
	// callers is the number of callers of the candidate after which the run ends without a halt.
	callers int
	// decide replaces the guard by a rule over the ratings so far.
	decide func(seen [2][2]int) bool
}

// callersPerSecond is the rate of callers over all entries.
const callersPerSecond = 100

const (
	// batchInterval is the time between two batches to the home.
	batchInterval = 500 * time.Millisecond
	// haltPropagation is the time that a halt takes to reach all entries.
	haltPropagation = 200 * time.Millisecond
)

// exchangeBatches sends all entries' evidence to the home and reports whether it has halted the
// roll-out.
func exchangeBatches(guards []*rollout.Guard) bool {
	for _, gu := range guards {
		for _, ba := range gu.TakeBatches() {
			guards[0].MergeBatch(ba)
		}
	}
	return guards[0].Halted(desk2)
}

// simulate returns how many callers were assigned the candidate and whether it was halted.
func (si simulation) simulate(t testing.TB, seed uint64) (exposed int, halted bool) {
	rnd := rand.New(rand.NewPCG(seed, 11))
	guards := make([]*rollout.Guard, max(si.entries, 1))
	for i := range guards {
		guards[i] = rollout.New()
		quality := core.Quality(0.9)
		if si.cheaper {
			quality = 0.8
		}
		guards[i].Apply(configurationWithQuality(t, 1, si.percent, "", quality))
		guards[i].SetDecideLocally("desk", si.noHome)
	}
	var qu eventqueue.Queue
	var seen [2][2]int
	now, stop := time.Unix(1_000_000, 0), time.Time{}
	sent := now
	end := func(at time.Time) {
		if stop.IsZero() {
			halted, stop = true, at.Add(haltPropagation)
		}
	}
	for exposed < si.callers && (stop.IsZero() || now.Before(stop)) {
		now = now.Add(time.Duration(rnd.ExpFloat64() * float64(time.Second/callersPerSecond)))
		qu.RunBefore(now)
		if !si.noHome && now.Sub(sent) >= batchInterval {
			sent = now
			if exchangeBatches(guards) && si.decide == nil {
				end(now)
			}
		}
		gu := guards[rnd.IntN(len(guards))]
		mv, good, side := desk1, rnd.Float64() < si.stable, 0
		if rnd.IntN(100) < si.percent {
			if si.decide == nil && gu.Halted(desk2) {
				continue
			}
			mv, good, side = desk2, rnd.Float64() < si.candidate, 1
			exposed++
		}
		if rnd.Float64() >= gu.RateShare(mv) {
			continue
		}
		wait := time.Duration(500+rnd.IntN(1000)) * time.Millisecond // The time to the answer and then to its rating.
		qu.Schedule(now.Add(wait), func(at time.Time) {
			seen[side][0]++
			if !good {
				seen[side][1]++
			}
			gu.Observe(rollout.Outcome{Version: mv, Kind: rollout.Rating, Bad: !good, At: at})
			if (si.decide == nil && gu.Halted(desk2)) || (si.decide != nil && si.decide(seen)) {
				end(at)
			}
		})
	}
	return exposed, halted
}

func (si simulation) String() string {
	return fmt.Sprintf("%.2f to %.2f at %d%%", si.stable, si.candidate, si.percent)
}
