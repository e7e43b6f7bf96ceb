package declaration

import (
	"slices"
	"time"

	"skylarkstand/core"
)

// GuardName stands in the audit trail for changes that no person made.
const GuardName = "roll-out guard"

// Halt returns the next generation after one, with the roll-out of a version
// halted. It reports false when there is nothing to halt: the roll-out is over
// or is halted already. The generation that it is given does not change, since
// others may hold a snapshot of it.
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
