package declaration

import (
	"slices"
	"time"

	"skylarkstand/core"
)

// GuardName is the author in the audit record of changes that the roll-out guard
// makes.
const GuardName = "roll-out guard"

// Halt returns the generation that follows gen, with the roll-out of a version
// halted for the reason why. It reports false if there is nothing to halt: the
// roll-out has ended or is halted already. Gen is not modified, since snapshots
// of it may be in use.
func Halt(gen *Generation, mv core.ModelVersion, why string, when time.Time) (*Generation, bool) {
	i := slices.IndexFunc(gen.Document.RollOuts, func(ro RollOut) bool {
		return ro.Model == mv.Model && ro.Version == mv.Version && ro.Halted == ""
	})
	if i < 0 {
		return nil, false
	}
	next := &Generation{Number: gen.Number + 1, Document: gen.Document}
	next.Document.RollOuts = slices.Clone(gen.Document.RollOuts)
	next.Document.RollOuts[i].Halted = why
	next.Audit = Audit{
		Who: GuardName, When: when, Why: why, Base: gen.Number,
		Changed: Diff(&gen.Document, &next.Document),
	}
	return next, true
}
