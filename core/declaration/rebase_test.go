package declaration_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"skylarkstand/core"
	"skylarkstand/core/declaration"
)

func generation(number core.Generation, who string, doc *declaration.Document) *declaration.Generation {
	return &declaration.Generation{Number: number, Document: *doc, Audit: declaration.Audit{
		Who: who, When: time.Date(2026, 11, 27, 9, 30, 0, 0, time.UTC), Why: "Advent", Base: number - 1,
	}}
}

// Two operators start from the same generation. One raises a share, the other rolls
// out a version. If the second file were applied unchanged, it would revert the
// share, and the first operator would learn it only from callers.
func TestRebaseKeepsChangesOfOtherScopes(t *testing.T) {
	base, theirs, mine := validDocument(), validDocument(), validDocument()
	theirs.Workspaces[1].Share = 4
	theirs.Withdrawals = []declaration.Withdrawal{withdraw("drafter", "v1")}
	mine.RollOuts = []declaration.RollOut{{Model: "desk", Version: "v2", Percent: 10}}
	got, err := declaration.Rebase(generation(7, "ana", base), []*declaration.Generation{generation(8, "mei", theirs)}, mine)
	assert.NilError(t, err)
	want := *theirs
	want.RollOuts = mine.RollOuts
	assert.DeepEqual(t, declaration.Diff(&want, &got), []string{})
}

// Two operators change the same workspace. The error must state who made the other
// change, when and why, so that they can agree instead of overwriting it.
func TestRebaseReportsAClashWithTheOtherChange(t *testing.T) {
	base, theirs, later, mine := validDocument(), validDocument(), validDocument(), validDocument()
	theirs.Workspaces[1].Share = 4
	later.Workspaces[1].Share = 4
	later.Workspaces[0].Share = 9
	mine.Workspaces[1].Limit = 50
	since := []*declaration.Generation{generation(8, "mei", theirs), generation(9, "jun", later)}
	_, err := declaration.Rebase(generation(7, "ana", base), since, mine)
	assert.Error(t, err, "workspace districts was changed by mei at 2026-11-27T09:30:00Z in generation 8 (Advent)")
}

// The roll-out guard halts a roll-out while an operator edits the same model in an
// older file. Applying the file would resume the roll-out of the bad version.
func TestRebaseDoesNotLiftAHalt(t *testing.T) {
	base := validDocument()
	base.RollOuts = []declaration.RollOut{{Model: "desk", Version: "v2", Percent: 10}}
	halted, mine := *base, *base
	halted.RollOuts = []declaration.RollOut{{Model: "desk", Version: "v2", Percent: 10, Halted: "20 of 40 rated bad"}}
	mine.RollOuts = []declaration.RollOut{{Model: "desk", Version: "v2", Percent: 30}}
	_, err := declaration.Rebase(generation(7, "ana", base), []*declaration.Generation{generation(8, "guard", &halted)}, &mine)
	assert.ErrorContains(t, err, "model desk was changed by guard")
}

// For any two changes, either the result contains both of them and nothing else, or
// the error lists scopes that both operators changed.
func TestRebaseLosesNoChange(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		base := validDocument()
		theirs, mine := drawEdited(rt, "theirs"), drawEdited(rt, "mine")
		got, err := declaration.Rebase(generation(1, "ana", base), []*declaration.Generation{generation(2, "mei", theirs)}, mine)
		own, other := declaration.ChangedScopes(base, mine), declaration.ChangedScopes(base, theirs)
		if err != nil {
			for _, cl := range err.(declaration.Clashes) { //nolint:errorlint // The type is what is tested.
				assert.Assert(rt, contains(own, cl.Scope) && contains(other, cl.Scope))
			}
			return
		}
		for _, sc := range declaration.ChangedScopes(mine, &got) {
			assert.Assert(rt, contains(other, sc) && !contains(own, sc), "%s differs from mine", sc)
		}
		for _, sc := range declaration.ChangedScopes(theirs, &got) {
			assert.Assert(rt, contains(own, sc), "%s differs from theirs", sc)
		}
	})
}

func contains(list []declaration.Scope, sc declaration.Scope) bool {
	for _, el := range list {
		if el == sc {
			return true
		}
	}
	return false
}

// drawEdited draws edits of a valid document.
func drawEdited(rt *rapid.T, who string) *declaration.Document {
	doc := validDocument()
	edits := []func(){
		func() { doc.Workspaces[0].Share = 7 },
		func() { doc.Workspaces[1].Limit = 70 },
		func() { doc.Workspaces = doc.Workspaces[:1] },
		func() { doc.Withdrawals = append(doc.Withdrawals, withdraw("desk", "v2")) },
		func() {
			doc.RollOuts = append(doc.RollOuts, declaration.RollOut{Model: "drafter", Version: "v1", Percent: 5})
		},
		func() { doc.Cascades = nil },
		func() { doc.Services[0].Operations[1].Price = 8 },
		func() {
			doc.Cascades = append(doc.Cascades, declaration.Cascade{ID: core.CascadeID("of-" + who), Stages: []core.ModelID{"desk"}})
		},
	}
	for i, edit := range edits {
		if rapid.Bool().Draw(rt, fmt.Sprintf("%s edit %d", who, i)) {
			edit()
		}
	}
	return doc
}

// A reviewer judges a change by its effects on callers, not by the lines of the file
// that differ.
func TestEffectsReportLostAccessAndMovedSessions(t *testing.T) {
	from, to := validDocument(), validDocument()
	to.RollOuts = []declaration.RollOut{{Model: "desk", Version: "v2", Percent: 10}}
	to.Withdrawals = []declaration.Withdrawal{withdraw("drafter", "v1")}
	to.Workspaces[0].Services = nil
	assert.DeepEqual(t, declaration.Diff(from, to), []string{
		"~ model desk: roll-out of v2 to 10% begins",
		"~ model drafter: v1 withdrawn: wrong prices",
		"~ workspace schools: services subsidy -> none",
	})
	assert.DeepEqual(t, declaration.Effects(from, to), []string{
		"drafter@v1 stops: it gets no new work, and all sessions on it move",
		"workspace schools: loses model drafter",
		"workspace schools: loses service subsidy",
		"workspace schools: 10% of new sessions of desk move (v1 100% -> v2 10%, v1 90%)",
	})
}
