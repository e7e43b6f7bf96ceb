package declaration

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"skylarkstand/core"
)

// Clash is one scope that two operators changed.
type Clash struct {
	Scope Scope
	// By is the audit record of the other change, accepted as Generation.
	By         Audit
	Generation core.Generation
}

// String names the other operator's change.
func (cl Clash) String() string {
	return fmt.Sprintf("%s was changed by %s at %s in generation %d (%s)", cl.Scope, cl.By.Who, cl.By.When.Format(time.RFC3339), cl.Generation, cl.By.Why)
}

// Clashes is the error that Rebase returns.
type Clashes []Clash

// Error implements error.
func (cls Clashes) Error() string {
	lines := make([]string, len(cls))
	for i, cl := range cls {
		lines[i] = cl.String()
	}
	return strings.Join(lines, "\n")
}

// Rebase carries a document that was written against one generation over to
// the newest one. Since lists the generations accepted after the base, in
// order. Changes to other scopes are kept from both sides; a scope that both
// sides changed, and not in the same way, is a [Clashes] error.
//
// Without it, the second of two operators who began from one generation would
// put the whole of their file in force and silently take the first one's
// change back: a withdrawn version would serve again, and the first operator
// would learn it from callers.
func Rebase(base *Generation, since []*Generation, doc *Document) (Document, error) {
	if len(since) == 0 {
		return *doc, nil
	}
	newest := since[len(since)-1]
	mine := Touched(&base.Document, doc)
	theirs := Touched(&base.Document, &newest.Document)
	own, cur := doc.parts(), newest.Document.parts()
	var cls Clashes
	for _, sc := range mine {
		if slices.Contains(theirs, sc) && !own.get(sc).equal(cur.get(sc)) {
			by := lastTouch(base, since, sc)
			cls = append(cls, Clash{sc, by.Audit, by.Number})
		}
	}
	if len(cls) > 0 {
		return Document{}, cls
	}
	return merge(&newest.Document, doc, mine), nil
}

// lastTouch returns the last generation that changed a scope.
func lastTouch(base *Generation, since []*Generation, sc Scope) *Generation {
	last, before := since[len(since)-1], base
	for _, gen := range since {
		if slices.Contains(Touched(&before.Document, &gen.Document), sc) {
			last = gen
		}
		before = gen
	}
	return last
}

// merge takes the scopes that were changed from doc, and all others from cur.
func merge(cur, doc *Document, mine []Scope) Document {
	own, theirs := doc.parts(), cur.parts()
	order := slices.Clone(theirs.order)
	for _, sc := range own.order {
		if !slices.Contains(order, sc) && slices.Contains(mine, sc) {
			order = append(order, sc)
		}
	}
	var out Document
	for _, sc := range order {
		from := theirs
		if slices.Contains(mine, sc) {
			from = own
		}
		out.take(from.get(sc))
	}
	out.AcceptRisks = acceptRisks(cur, doc, &out)
	return out
}

func (doc *Document) take(pa *part) {
	if pa.Model != nil {
		doc.Models = append(doc.Models, *pa.Model)
	}
	if pa.Service != nil {
		doc.Services = append(doc.Services, *pa.Service)
	}
	if pa.Cascade != nil {
		doc.Cascades = append(doc.Cascades, *pa.Cascade)
	}
	if pa.Workspace != nil {
		doc.Workspaces = append(doc.Workspaces, *pa.Workspace)
	}
	if pa.Zone != nil {
		doc.Zones = append(doc.Zones, *pa.Zone)
	}
	doc.RollOuts = append(doc.RollOuts, pa.RollOuts...)
	doc.Withdrawals = append(doc.Withdrawals, pa.Withdrawals...)
}

// acceptRisks keeps what the operator accepts, and what the other operators
// accepted about the document as it stands. What they accepted about their
// own step is spent.
func acceptRisks(cur, doc, merged *Document) []AcceptRisk {
	out := slices.Clone(doc.AcceptRisks)
	found := merged.find().risks
	for _, ar := range cur.AcceptRisks {
		same := func(el AcceptRisk) bool { return el.Rule == ar.Rule && el.Place == ar.Place }
		if slices.ContainsFunc(found, ar.covers) && !slices.ContainsFunc(out, same) {
			out = append(out, ar)
		}
	}
	return out
}

// Again returns the content of an old generation as a document for a new one.
// What was accepted about the step to the old one is spent; what is accepted
// about the step back is given.
func Again(old *Generation, accept []AcceptRisk) Document {
	doc := old.Document
	doc.AcceptRisks = acceptRisks(&old.Document, &Document{AcceptRisks: accept}, &doc)
	return doc
}
