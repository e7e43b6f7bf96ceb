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
	mu     sync.Mutex
	tests  map[core.ModelID]*test
	halts  map[core.ModelVersion]*halt
	lost   map[core.UpstreamID]time.Time
	halted chan struct{}
}

// test is one roll-out under way.
type test struct {
	stable, candidate core.ModelVersion
	percent           int
	trials            [kinds]*trial
	reached           int
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
		tests: map[core.ModelID]*test{}, halts: map[core.ModelVersion]*halt{},
		lost: map[core.UpstreamID]time.Time{}, halted: make(chan struct{}, 1),
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
	tests := map[core.ModelID]*test{}
	listed := map[core.ModelVersion]bool{}
	for _, ro := range sn.Doc.RollOuts {
		mv := core.ModelVersion{Model: ro.Model, Version: ro.Version}
		listed[mv] = true
		if gu.holds(mv, ro.Halted != "") || ro.Halted != "" {
			continue
		}
		if te := gu.test(sn, mv, ro.Percent); te != nil {
			tests[ro.Model] = te
		}
	}
	for mv := range gu.halts {
		if !listed[mv] {
			delete(gu.halts, mv)
		}
	}
	gu.tests = tests
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

// test returns the running test of a roll-out, or a new one. A change of the
// share goes on with the evidence so far.
func (gu *Guard) test(sn *declaration.Snapshot, mv core.ModelVersion, percent int) *test {
	mo := sn.Model(mv.Model)
	if mo == nil || mo.Stable == mv.Version {
		return nil
	}
	stable := core.ModelVersion{Model: mv.Model, Version: mo.Stable}
	sv, cv := sn.Version(stable), sn.Version(mv)
	if sv == nil || cv == nil {
		return nil
	}
	old := gu.tests[mv.Model]
	if old != nil && old.candidate == mv && old.stable == stable {
		old.percent = percent
		for _, tr := range old.trials {
			if tr.need > 0 {
				tr.need = needFor(percent)
			}
		}
		return old
	}
	return &test{stable: stable, candidate: mv, percent: percent, trials: newTrials(sv.Quality, cv.Quality, percent)}
}

// Reach notes that a new caller was given a version.
func (gu *Guard) Reach(mv core.ModelVersion) {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	if te := gu.tests[mv.Model]; te != nil && te.candidate == mv {
		te.reached++
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

// Observe takes in an outcome.
func (gu *Guard) Observe(ou Outcome) {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	te := gu.tests[ou.Version.Model]
	if te == nil || (te.candidate != ou.Version && te.stable != ou.Version) || gu.sameLoss(ou) {
		return
	}
	if !te.trials[ou.Kind].observe(te.candidate == ou.Version, ou.Bad) || te.evidence() < 1/FalseHalts {
		return
	}
	gu.halts[te.candidate] = &halt{Halt: Halt{Version: te.candidate, Why: te.why(), Reached: te.reached}}
	delete(gu.tests, te.candidate.Model)
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

// sameLoss reports whether a lost attempt belongs to a loss that was counted.
func (gu *Guard) sameLoss(ou Outcome) bool {
	if ou.Kind != Crash || !ou.Bad {
		return false
	}
	if last, ok := gu.lost[ou.Upstream]; ok && ou.At.Sub(last) < lossPause {
		return true
	}
	if len(gu.lost) >= maxLosses {
		clear(gu.lost)
	}
	gu.lost[ou.Upstream] = ou.At
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
