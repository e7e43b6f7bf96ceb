package declaration

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"skylarkstand/core"
)

// Clash is a conflict: one scope that two operators changed in different ways.
type Clash struct {
	Scope Scope
	// By is the audit record of the other change, which was accepted as
	// Generation.
	By         Audit
	Generation core.Generation
}

// String describes the other operator's change.
func (cl Clash) String() string {
	return fmt.Sprintf("%s was changed by %s at %s in generation %d (%s)", cl.Scope, cl.By.Who, cl.By.When.Format(time.RFC3339), cl.Generation, cl.By.Why)
}

// Clashes is the error that Rebase returns, one for each conflicting scope.
type Clashes []Clash

// Error implements error.
func (cls Clashes) Error() string {
	lines := make([]string, len(cls))
	for i, cl := range cls {
		lines[i] = cl.String()
	}
	return strings.Join(lines, "\n")
}

// Rebase applies the changes of a document that was written against the base
// generation to the newest generation. Since lists the generations accepted after
// the base, in order. The result has the changes of both sides; a scope that both
// sides changed in different ways is a [Clashes] error.
//
// Without a rebase, the second of two operators who started from the same
// generation would replace the whole document and silently revert the first
// operator's change: a withdrawn version would serve again, and the first operator
// would learn it only from callers.
func Rebase(base *Generation, since []*Generation, doc *Document) (Document, error) {
	if len(since) == 0 {
		return *doc, nil
	}
	newest := since[len(since)-1]
	mine := ChangedScopes(&base.Document, doc)
	theirs := ChangedScopes(&base.Document, &newest.Document)
	own, cur := doc.parts(), newest.Document.parts()
	var cls Clashes
	for _, sc := range mine {
		if slices.Contains(theirs, sc) && !own.get(sc).equal(cur.get(sc)) {
			by := lastChange(base, since, sc)
			cls = append(cls, Clash{sc, by.Audit, by.Number})
		}
	}
	if len(cls) > 0 {
		return Document{}, cls
	}
	return merge(&newest.Document, doc, mine), nil
}

// lastChange returns the last generation that changed a scope.
func lastChange(base *Generation, since []*Generation, sc Scope) *Generation {
	last, before := since[len(since)-1], base
	for _, gen := range since {
		if slices.Contains(ChangedScopes(&before.Document, &gen.Document), sc) {
			last = gen
		}
		before = gen
	}
	return last
}

// merge takes the changed scopes, mine, from doc and all others from cur.
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
		out.appendPart(from.get(sc))
	}
	out.AcceptRisks = mergeAcceptedRisks(cur, doc, &out)
	return out
}

// appendPart appends the entries of a part to the document.
func (doc *Document) appendPart(pa *part) {
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

// mergeAcceptedRisks returns the risks that doc accepts, and those that cur accepts and
// that are still found in the merged document. Risks that cur accepts about its own
// change are dropped, since that change is complete.
func mergeAcceptedRisks(cur, doc, merged *Document) []AcceptRisk {
	out := slices.Clone(doc.AcceptRisks)
	found := merged.inspect().risks
	for _, ar := range cur.AcceptRisks {
		same := func(el AcceptRisk) bool { return el.Rule == ar.Rule && el.Place == ar.Place }
		if slices.ContainsFunc(found, ar.covers) && !slices.ContainsFunc(out, same) {
			out = append(out, ar)
		}
	}
	return out
}

// Restore returns the content of an old generation as a document for a new one, to
// roll the configuration back. The risks that the old generation accepts about its
// own change are dropped; accept lists the risks to accept about the change back.
func Restore(old *Generation, accept []AcceptRisk) Document {
	doc := old.Document
	doc.AcceptRisks = mergeAcceptedRisks(&old.Document, &Document{AcceptRisks: accept}, &doc)
	return doc
}
