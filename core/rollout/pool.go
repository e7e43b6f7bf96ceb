package rollout

import (
	"skylarkstand/core"
	"skylarkstand/core/rendezvous"
)

// Batch is evidence on one model's roll-out on its way from an entry to the
// entry that pools it.
type Batch struct {
	Model core.ModelID
	// Reached counts the new callers that were given the version meanwhile.
	Reached  int
	Outcomes []Outcome
}

// maxBatch bounds the outcomes of an entry that wait for the next batch: about
// ten seconds' worth at a thousand answers a second with their ratings. What
// is beyond is left out; the pool then learns more slowly.
const maxBatch = 1 << 14

// Home returns the entry that pools the evidence on a model's roll-out, and
// whether the host list names any.
//
// Each entry alone sees its own callers only. With three entries, each needs
// as many bad answers as one would, and a version reaches half as many callers
// again before the first of them has seen enough. So all send what they see to
// one home. Entries whose lists differ may prefer two homes for a while: each
// then has part of the evidence, and the halt comes later, but never wrongly.
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

// Batches takes out what was observed since the last call, for each roll-out
// under way.
func (gu *Guard) Batches() []Batch {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	var out []Batch
	for mo, te := range gu.tests {
		out = append(out, Batch{Model: mo, Reached: te.sending.Reached, Outcomes: te.sending.Outcomes})
		te.sending = Batch{}
	}
	return out
}

// Pool takes in a batch at the home of a roll-out. The stable version's
// outcomes go first, so that the new version's find others to stand beside.
// The evidence is looked at once a batch. Pool reports false when there is no
// such roll-out here: this entry may not know the configuration yet, or the
// roll-out has been halted.
func (gu *Guard) Pool(ba Batch) bool {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	te := gu.pools[ba.Model]
	if te == nil {
		return false
	}
	te.reached += ba.Reached
	for _, mv := range []core.ModelVersion{te.stable, te.candidate} {
		for _, ou := range ba.Outcomes {
			if ou.Version == mv && !gu.pooled.same(ou) {
				te.trials[ou.Kind].observe(mv == te.candidate, ou.Bad)
			}
		}
	}
	if te.evidence() >= 1/FalseHalts {
		gu.halt(te)
	}
	return true
}

// Alone says whether this entry must decide on a model's roll-out by its own
// evidence, because the home cannot be reached. An entry that waited for a
// home that is gone would go on giving its callers a bad version.
func (gu *Guard) Alone(mo core.ModelID, alone bool) {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	te := gu.tests[mo]
	if te == nil {
		return
	}
	te.pooled = !alone
	if alone && te.evidence() >= 1/FalseHalts {
		gu.halt(te)
	}
}

// Heed takes in another entry's halt, decided by a generation of the
// configuration, and reports whether it was news here.
//
// While the store is away a halt can not reach the others through the
// configuration. Once the generation has moved on, the store is back and the
// configuration tells of the halt itself; a word that comes later than that
// may be of a halt which an operator has lifted since.
func (gu *Guard) Heed(ha Halt, decided core.Generation) bool {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	te := gu.tests[ha.Version.Model]
	if te == nil || te.candidate != ha.Version || gu.generation > decided {
		return false
	}
	gu.halts[ha.Version] = &halt{Halt: ha}
	gu.drop(ha.Version.Model)
	return true
}
