package rollout

import (
	"fmt"
	"sync"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/declaration"
)

// Outcome is one piece of evidence about a version.
type Outcome struct {
	Version core.ModelVersion
	Kind    Kind
	Bad     bool
	At      time.Time
	// Upstream is where the attempt ran; it is needed for Crash alone.
	Upstream core.UpstreamID
}

// GoodFrom is the rating from which on an answer counts as good.
const GoodFrom core.Quality = 0.5

// Halt is the decision that a version gets no new sessions.
type Halt struct {
	Version core.ModelVersion
	// Why is the evidence, for the audit trail.
	Why string
	// Reached counts the callers that were given the version as new ones.
	Reached int
}

// Guard decides on the roll-outs that are under way. It is safe for concurrent
// use.
type Guard struct {
	mu sync.Mutex
	// tests are on this entry's own evidence, pools on all entries'.
	tests, pools map[core.ModelID]*test
	halts        map[core.ModelVersion]*halt
	// own and pooled are the losses that were counted in either.
	own, pooled losses
	generation  core.Generation
	halted      chan struct{}
}

// test is one roll-out under way.
type test struct {
	stable, candidate core.ModelVersion
	percent           int
	trials            [kinds]*trial
	reached           int
	// sending is what goes to the home with the next batch; pooled says that
	// the home decides.
	sending Batch
	pooled  bool
}

// halt is a decision of this guard. It holds until the configuration has
// taken it over and an operator has started the roll-out again after that.
type halt struct {
	Halt
	stored bool
}

// New returns a guard of no roll-outs.
func New() *Guard {
	return &Guard{
		tests: map[core.ModelID]*test{}, pools: map[core.ModelID]*test{}, halts: map[core.ModelVersion]*halt{},
		own: losses{}, pooled: losses{}, halted: make(chan struct{}, 1),
	}
}

// Follow takes in a configuration: tests begin and end with its roll-outs.
//
// An operator may apply a change that knows nothing of a halt which has not
// reached the store yet. Were the halt dropped then, the version would get new
// sessions again and callers would meet it a second time; so a halt is lifted
// only by a configuration in which it was seen and then cleared.
func (gu *Guard) Follow(sn *declaration.Snapshot) {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	gu.generation = sn.Number
	tests, pools := map[core.ModelID]*test{}, map[core.ModelID]*test{}
	listed := map[core.ModelVersion]bool{}
	for _, ro := range sn.Doc.RollOuts {
		mv := core.ModelVersion{Model: ro.Model, Version: ro.Version}
		listed[mv] = true
		if gu.holds(mv, ro.Halted != "") || ro.Halted != "" {
			continue
		}
		if te := newTest(sn, mv, ro.Percent); te != nil {
			tests[ro.Model] = gu.tests[ro.Model].follow(te)
			pools[ro.Model] = gu.pools[ro.Model].follow(newTest(sn, mv, ro.Percent))
		}
	}
	for mv := range gu.halts {
		if !listed[mv] {
			delete(gu.halts, mv)
		}
	}
	gu.tests, gu.pools = tests, pools
}

// holds reports whether a halt of this guard stands against a configuration.
func (gu *Guard) holds(mv core.ModelVersion, stored bool) bool {
	ha := gu.halts[mv]
	switch {
	case ha == nil:
		return false
	case stored:
		ha.stored = true
	case ha.stored:
		delete(gu.halts, mv)
		return false
	}
	return true
}

// newTest returns the test of a roll-out, or nil when it is none.
func newTest(sn *declaration.Snapshot, mv core.ModelVersion, percent int) *test {
	mo := sn.Model(mv.Model)
	if mo == nil || mo.Stable == mv.Version {
		return nil
	}
	stable := core.ModelVersion{Model: mv.Model, Version: mo.Stable}
	sv, cv := sn.Version(stable), sn.Version(mv)
	if sv == nil || cv == nil {
		return nil
	}
	return &test{stable: stable, candidate: mv, percent: percent, trials: newTrials(sv.Quality, cv.Quality, percent)}
}

// follow returns the test to go on with under a newer configuration: the
// running one if it is of the same two versions. A change of the share goes on
// with the evidence so far.
func (te *test) follow(next *test) *test {
	if te == nil || te.candidate != next.candidate || te.stable != next.stable {
		return next
	}
	te.percent = next.percent
	for ki, tr := range te.trials {
		tr.need = next.trials[ki].need
	}
	return te
}

// Reach notes that a new caller was given a version.
func (gu *Guard) Reach(mv core.ModelVersion) {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	if te := gu.tests[mv.Model]; te != nil && te.candidate == mv {
		te.reached++
		te.sending.Reached++
	}
}

// RateShare returns the share of a version's answers that are to be rated:
// all of a version under roll-out, and of the stable version as many as the
// test can use.
func (gu *Guard) RateShare(mv core.ModelVersion) float64 {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	te := gu.tests[mv.Model]
	switch {
	case te == nil:
		return 0
	case te.candidate == mv:
		return 1
	case te.stable == mv:
		// A half more than a block needs, since their number varies.
		return min(1, 1.5*float64(needFor(te.percent)*te.percent)/float64(max(100-te.percent, 1)))
	}
	return 0
}

// Observe takes in an outcome of this entry.
func (gu *Guard) Observe(ou Outcome) {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	te := gu.tests[ou.Version.Model]
	if te == nil || (te.candidate != ou.Version && te.stable != ou.Version) || gu.own.same(ou) {
		return
	}
	if len(te.sending.Outcomes) < maxBatch {
		te.sending.Outcomes = append(te.sending.Outcomes, ou)
	}
	moved := te.trials[ou.Kind].observe(te.candidate == ou.Version, ou.Bad)
	if moved && !te.pooled && te.evidence() >= 1/FalseHalts {
		gu.halt(te)
	}
}

// halt decides against the candidate of a test.
func (gu *Guard) halt(te *test) {
	gu.halts[te.candidate] = &halt{Halt: Halt{Version: te.candidate, Why: te.why(), Reached: te.reached}}
	gu.drop(te.candidate.Model)
}

// drop ends the tests of a model and wakes whoever records its halt.
func (gu *Guard) drop(mo core.ModelID) {
	delete(gu.tests, mo)
	delete(gu.pools, mo)
	select {
	case gu.halted <- struct{}{}:
	default:
	}
}

const (
	// lossPause is the time in which all attempts lost at one upstream count
	// as one. A host that goes takes all its attempts along; taken one by one
	// they would be a dozen crashes at once, and a version would be halted for
	// the loss of a host.
	lossPause = 10 * time.Second
	// maxLosses bounds the memory of upstreams that lost attempts.
	maxLosses = 1024
)

// losses are the times of the last losses that were counted.
type losses map[core.UpstreamID]time.Time

// same reports whether a lost attempt belongs to a loss that was counted.
func (lo losses) same(ou Outcome) bool {
	if ou.Kind != Crash || !ou.Bad {
		return false
	}
	if last, ok := lo[ou.Upstream]; ok && ou.At.Sub(last) < lossPause {
		return true
	}
	if len(lo) >= maxLosses {
		clear(lo)
	}
	lo[ou.Upstream] = ou.At
	return false
}

// Halted reports whether this guard has halted a version. It holds at once,
// before the configuration says so, and also while the store is away.
func (gu *Guard) Halted(mv core.ModelVersion) bool {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	return gu.halts[mv] != nil
}

// Halts lists the halts that the configuration does not have yet.
func (gu *Guard) Halts() []Halt {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	var out []Halt
	for _, ha := range gu.halts {
		if !ha.stored {
			out = append(out, ha.Halt)
		}
	}
	return out
}

// New halts are signalled on this channel, one signal for several.
func (gu *Guard) New() <-chan struct{} { return gu.halted }

// evidence is the weighted mean over the kinds, an e-process itself.
func (te *test) evidence() float64 {
	sum := 0.0
	for ki, tr := range te.trials {
		sum += kindWeights[ki] * tr.evidence()
	}
	return sum
}

// why tells the evidence of the kind that weighs most.
func (te *test) why() string {
	most := Rating
	for ki := range kinds {
		if kindWeights[ki]*te.trials[ki].evidence() > kindWeights[most]*te.trials[most].evidence() {
			most = ki
		}
	}
	seen := te.trials[most].seen
	return fmt.Sprintf("%d of %d answers of %s were %s, against %d of %d of %s; %d new callers were given it",
		seen[1].bad, seen[1].all, te.candidate, most, seen[0].bad, seen[0].all, te.stable, te.reached)
}
