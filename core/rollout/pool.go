package rollout

import (
	"skylarkstand/core"
	"skylarkstand/core/rendezvous"
)

// Batch is evidence on one model's roll-out, sent by an entry to the entry that pools it.
type Batch struct {
	Model core.ModelID
	// Exposed counts the new callers that were assigned the version since the last batch.
	Exposed  int
	Outcomes []Outcome
}

// maxBatch bounds the outcomes of an entry that wait for the next batch: about ten seconds' worth
// at a thousand answers a second with their ratings. Outcomes beyond it are dropped, so that the
// pooled test gathers evidence more slowly.
const maxBatch = 1 << 14

// Home returns the entry that pools the evidence on a model's roll-out, and whether the host list
// contains one.
//
// Each entry alone sees only its own callers. With three entries deciding separately, each needs as
// many bad answers as a single one would, and 1.5 times as many callers are assigned the version
// before the first of them has enough evidence. So all of them send their evidence to one home.
// Entries with different host lists may use two homes for a while: each then has part of the
// evidence, so that the halt comes later, but is never a wrong one.
func Home(mo core.ModelID, hosts []core.Host) (core.Host, bool) {
	var entries []core.Host
	for _, ho := range hosts {
		if ho.Role == core.RoleEntry && ho.Addr != "" && !ho.Leaving {
			entries = append(entries, ho)
		}
	}
	top := rendezvous.Top("roll-out/"+string(mo), entries, 1, func(ho core.Host) string { return ho.Addr })
	if len(top) == 0 {
		return core.Host{}, false
	}
	return top[0], true
}

// TakeBatches removes and returns the evidence recorded since the last call, for each roll-out in
// progress.
func (gu *Guard) TakeBatches() []Batch {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	var out []Batch
	for mo, co := range gu.ownTests {
		out = append(out, Batch{Model: mo, Exposed: co.nextBatch.Exposed, Outcomes: co.nextBatch.Outcomes})
		co.nextBatch = Batch{}
	}
	return out
}

// MergeBatch merges a batch at the home of a roll-out. The stable version's outcomes are added
// first, so that they are available as controls for the new version's. The evidence is evaluated
// once per batch. MergeBatch returns false if there is no such roll-out here: this entry may not
// have the configuration yet, or the roll-out has been halted.
func (gu *Guard) MergeBatch(ba Batch) bool {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	co := gu.pooledTests[ba.Model]
	if co == nil {
		return false
	}
	co.exposed += ba.Exposed
	for _, mv := range []core.ModelVersion{co.stable, co.candidate} {
		for _, ou := range ba.Outcomes {
			if ou.Version == mv && !gu.pooledLosses.deduplicate(ou) {
				co.tests[ou.Kind].observe(mv == co.candidate, ou.Bad)
			}
		}
	}
	if co.evidence() >= 1/MaxFalseHaltChance {
		gu.decideHalt(co)
	}
	return true
}

// SetDecideLocally sets whether this entry decides on a model's roll-out by its own evidence, which
// it must while the home is unreachable. An entry that waited for an unreachable home would keep
// assigning callers to a bad version.
func (gu *Guard) SetDecideLocally(mo core.ModelID, locally bool) {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	co := gu.ownTests[mo]
	if co == nil {
		return
	}
	co.decidedByHome = !locally
	if locally && co.evidence() >= 1/MaxFalseHaltChance {
		gu.decideHalt(co)
	}
}

// AdoptHalt adopts another entry's halt, which was decided under a generation of the configuration,
// and reports whether it was new here.
//
// While the store is unavailable, a halt cannot reach the other entries through the configuration.
// Once the generation has advanced, the store is available again and the configuration contains the
// halt itself; a message that arrives later may be about a halt that an operator has lifted since.
func (gu *Guard) AdoptHalt(ha Halt, decided core.Generation) bool {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	co := gu.ownTests[ha.Version.Model]
	if co == nil || co.candidate != ha.Version || gu.generation > decided {
		return false
	}
	gu.halts[ha.Version] = &haltRecord{Halt: ha}
	gu.endTests(ha.Version.Model)
	return true
}
