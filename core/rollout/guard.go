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
	// Upstream is the upstream that ran the attempt; required for Crash only.
	Upstream core.UpstreamID
}

// MinGoodRating is the lowest rating of an answer that counts as good.
const MinGoodRating core.Quality = 0.5

// Halt is the decision that a version receives no new sessions.
type Halt struct {
	Version core.ModelVersion
	// Evidence describes the evidence, for the audit trail.
	Evidence string
	// Exposed counts the new callers that were assigned the version.
	Exposed int
}

// Guard decides on the roll-outs in progress. It is safe for concurrent use.
type Guard struct {
	mu sync.Mutex
	// ownTests evaluate this entry's own evidence, pooledTests the evidence of all entries.
	ownTests, pooledTests map[core.ModelID]*comparison
	halts                 map[core.ModelVersion]*haltRecord
	// ownLosses are the losses of upstreams counted in ownTests, pooledLosses those in pooledTests.
	ownLosses, pooledLosses lossTimes
	generation              core.Generation
	haltSignal              chan struct{}
}

// comparison is the test of one roll-out in progress.
type comparison struct {
	stable, candidate core.ModelVersion
	percent           int
	tests             [kinds]*sequentialTest
	exposed           int
	// nextBatch is the evidence that is sent to the home entry next. decidedByHome reports that the
	// home decides on the roll-out instead of this entry.
	nextBatch     Batch
	decidedByHome bool
}

// haltRecord is a halt decided or adopted by this guard. It stays in force until the configuration
// has contained it and an operator has restarted the roll-out after that.
type haltRecord struct {
	Halt
	stored bool
}

// New returns a guard without roll-outs.
func New() *Guard {
	return &Guard{
		ownTests: map[core.ModelID]*comparison{}, pooledTests: map[core.ModelID]*comparison{}, halts: map[core.ModelVersion]*haltRecord{},
		ownLosses: lossTimes{}, pooledLosses: lossTimes{}, haltSignal: make(chan struct{}, 1),
	}
}

// Apply applies a configuration: tests begin and end with its roll-outs.
//
// An operator may apply a change that was made without a halt that has not reached the store yet.
// If that dropped the halt, the version would receive new sessions again and harm callers a second
// time. So a halt is lifted only by a configuration in which it was present before and has been
// cleared.
func (gu *Guard) Apply(sn *declaration.Snapshot) {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	gu.generation = sn.Number
	own, pooled := map[core.ModelID]*comparison{}, map[core.ModelID]*comparison{}
	listed := map[core.ModelVersion]bool{}
	for _, ro := range sn.Doc.RollOuts {
		mv := core.ModelVersion{Model: ro.Model, Version: ro.Version}
		listed[mv] = true
		if gu.haltInForce(mv, ro.Halted != "") || ro.Halted != "" {
			continue
		}
		if co := newComparison(sn, mv, ro.Percent); co != nil {
			own[ro.Model] = gu.ownTests[ro.Model].continueAs(co)
			pooled[ro.Model] = gu.pooledTests[ro.Model].continueAs(newComparison(sn, mv, ro.Percent))
		}
	}
	for mv := range gu.halts {
		if !listed[mv] {
			delete(gu.halts, mv)
		}
	}
	gu.ownTests, gu.pooledTests = own, pooled
}

// haltInForce reports whether a halt of this guard overrides a configuration; stored reports that
// the configuration contains a halt of the version.
func (gu *Guard) haltInForce(mv core.ModelVersion, stored bool) bool {
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

// newComparison returns the comparison for a roll-out, or nil if there is nothing to compare.
func newComparison(sn *declaration.Snapshot, mv core.ModelVersion, percent int) *comparison {
	mo := sn.Model(mv.Model)
	if mo == nil || mo.Stable == mv.Version {
		return nil
	}
	stable := core.ModelVersion{Model: mv.Model, Version: mo.Stable}
	sv, cv := sn.Version(stable), sn.Version(mv)
	if sv == nil || cv == nil {
		return nil
	}
	return &comparison{stable: stable, candidate: mv, percent: percent, tests: newSequentialTests(sv.Quality, cv.Quality, percent)}
}

// continueAs returns the comparison to continue with under a newer configuration: the current one
// if it is of the same two versions. A change of the percentage keeps the evidence so far.
func (co *comparison) continueAs(next *comparison) *comparison {
	if co == nil || co.candidate != next.candidate || co.stable != next.stable {
		return next
	}
	co.percent = next.percent
	for ki, st := range co.tests {
		st.controls = next.tests[ki].controls
	}
	return co
}

// CountExposed records that a new caller was assigned a version.
func (gu *Guard) CountExposed(mv core.ModelVersion) {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	if co := gu.ownTests[mv.Model]; co != nil && co.candidate == mv {
		co.exposed++
		co.nextBatch.Exposed++
	}
}

// RateShare returns the fraction of a version's answers that are to be rated: all of a version
// under roll-out, and of the stable version as many as the test can use.
func (gu *Guard) RateShare(mv core.ModelVersion) float64 {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	co := gu.ownTests[mv.Model]
	switch {
	case co == nil:
		return 0
	case co.candidate == mv:
		return 1
	case co.stable == mv:
		// 1.5 times as many as a block needs, since their number varies.
		return min(1, 1.5*float64(controlsFor(co.percent)*co.percent)/float64(max(100-co.percent, 1)))
	}
	return 0
}

// Observe records an outcome of this entry.
func (gu *Guard) Observe(ou Outcome) {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	co := gu.ownTests[ou.Version.Model]
	if co == nil || (co.candidate != ou.Version && co.stable != ou.Version) || gu.ownLosses.deduplicate(ou) {
		return
	}
	if len(co.nextBatch.Outcomes) < maxBatch {
		co.nextBatch.Outcomes = append(co.nextBatch.Outcomes, ou)
	}
	changed := co.tests[ou.Kind].observe(co.candidate == ou.Version, ou.Bad)
	if changed && !co.decidedByHome && co.evidence() >= 1/MaxFalseHaltChance {
		gu.decideHalt(co)
	}
}

// decideHalt halts the candidate of a comparison.
func (gu *Guard) decideHalt(co *comparison) {
	gu.halts[co.candidate] = &haltRecord{Halt: Halt{Version: co.candidate, Evidence: co.describe(), Exposed: co.exposed}}
	gu.endTests(co.candidate.Model)
}

// endTests ends the tests of a model and signals a new halt.
func (gu *Guard) endTests(mo core.ModelID) {
	delete(gu.ownTests, mo)
	delete(gu.pooledTests, mo)
	select {
	case gu.haltSignal <- struct{}{}:
	default:
	}
}

const (
	// lossWindow is the time in which all attempts lost at one upstream count as one loss. All
	// attempts on a host are lost when it fails; counted separately they would be a dozen crashes
	// at once, and a version would be halted for the loss of a host.
	lossWindow = 10 * time.Second
	// maxLosses bounds the memory for upstreams that lost attempts.
	maxLosses = 1024
)

// lossTimes holds the time of the last counted loss by upstream.
type lossTimes map[core.UpstreamID]time.Time

// deduplicate reports whether a lost attempt belongs to a loss that was already counted; if not, it
// counts it.
func (lo lossTimes) deduplicate(ou Outcome) bool {
	if ou.Kind != Crash || !ou.Bad {
		return false
	}
	if last, ok := lo[ou.Upstream]; ok && ou.At.Sub(last) < lossWindow {
		return true
	}
	if len(lo) >= maxLosses {
		clear(lo)
	}
	lo[ou.Upstream] = ou.At
	return false
}

// Halted reports whether this guard has halted a version. A halt is in force at once, before the
// configuration contains it, and also while the store is unavailable.
func (gu *Guard) Halted(mv core.ModelVersion) bool {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	return gu.halts[mv] != nil
}

// PendingHalts returns the halts that the configuration does not contain yet.
func (gu *Guard) PendingHalts() []Halt {
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

// HaltSignal returns the channel on which new halts are signalled, one signal for several.
func (gu *Guard) HaltSignal() <-chan struct{} { return gu.haltSignal }

// evidence returns the weighted mean over the kinds, which is itself an e-process.
func (co *comparison) evidence() float64 {
	sum := 0.0
	for ki, st := range co.tests {
		sum += kindWeights[ki] * st.evidence()
	}
	return sum
}

// describe returns the evidence of the kind with the largest weighted evidence.
func (co *comparison) describe() string {
	strongest := Rating
	for ki := range kinds {
		if kindWeights[ki]*co.tests[ki].evidence() > kindWeights[strongest]*co.tests[strongest].evidence() {
			strongest = ki
		}
	}
	seen := co.tests[strongest].seen
	return fmt.Sprintf("%d of %d answers of %s were %s, against %d of %d of %s; %d new callers were given it",
		seen[1].bad, seen[1].all, co.candidate, strongest, seen[0].bad, seen[0].all, co.stable, co.exposed)
}
