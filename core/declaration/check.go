package declaration

import (
	"fmt"
	"slices"
)

// Check validates the content of a document, without comparing it to the current
// configuration. It returns nil or [Mistakes].
func (doc *Document) Check() error {
	fi := doc.inspect()
	return doc.resolveRisks(fi, false).err()
}

// CheckChange validates a document and the change to it from the current one. It
// returns nil or [Mistakes]. For the first document, from is empty: no caller is
// served yet, so the rules about changes find nothing.
func CheckChange(from, to *Document) error {
	fi := to.inspect()
	inspectChange(fi, from, to)
	return to.resolveRisks(fi, true).err()
}

// AcceptedRisks returns the entries of accept-risks that the change from one document
// to another needs, for the audit record.
func AcceptedRisks(from, to *Document) []AcceptRisk {
	fi := to.inspect()
	inspectChange(fi, from, to)
	var out []AcceptRisk
	for _, ar := range to.AcceptRisks {
		if slices.ContainsFunc(fi.risks, ar.covers) {
			out = append(out, ar)
		}
	}
	return out
}

// inspect applies all rules about a document. The findings include accepted risks.
func (doc *Document) inspect() *findings {
	ch := &checker{findings: &findings{}, doc: doc, sn: NewSnapshot(&Generation{Document: *doc}, nil)}
	if len(doc.Workspaces) == 0 {
		ch.add(EmptyDocument, "workspaces", "no workspace is declared, so every caller would be rejected", "declare the workspaces, or check that this is the right file")
	}
	ch.names()
	ch.models()
	ch.services()
	ch.cascades()
	ch.zones()
	ch.workspaces()
	ch.keys()
	ch.rollOuts()
	ch.withdrawals()
	return ch.findings
}

// checker validates one document.
type checker struct {
	*findings
	doc *Document
	sn  *Snapshot
}

func (ar AcceptRisk) covers(mi Mistake) bool { return Rule(ar.Rule) == mi.Rule && ar.Place == mi.Place }

// resolveRisks returns the mistakes and the risks that the document does not accept.
// If change is set, fi includes findings about a change.
//
// An accepted risk that was not found is a mistake too: if the entry stayed in the
// file, it would accept the same risk in a later change, unintentionally.
func (doc *Document) resolveRisks(fi *findings, change bool) Mistakes {
	out := fi.mistakes
	for _, mi := range fi.risks {
		if slices.ContainsFunc(doc.AcceptRisks, func(ar AcceptRisk) bool { return ar.covers(mi) }) {
			continue
		}
		mi.Remedy += fmt.Sprintf(`, or accept the risk: {"rule": %q, "place": %q, "reason": "…"}`, mi.Rule, mi.Place)
		out = append(out, mi)
	}
	for i, ar := range doc.AcceptRisks {
		entry := &findings{}
		entry.checkAcceptedRisk(i, ar, fi.risks, change)
		out = append(out, entry.mistakes...)
	}
	return out
}

// checkAcceptedRisk validates an entry of accept-risks against the risks found.
func (fi *findings) checkAcceptedRisk(i int, ar AcceptRisk, found Mistakes, change bool) {
	place := fmt.Sprintf("accept-risks[%d]", i)
	subject, known := risks[Rule(ar.Rule)]
	if !known {
		fi.unknown(place+".rule", "risk", ar.Rule, names(Risks(), func(ru Rule) Rule { return ru }))
		fi.mistakes[len(fi.mistakes)-1].Rule = UnknownRisk
		return
	}
	if ar.Reason == "" {
		fi.add(NoReason, place+".reason", "the risk is accepted without a reason", "give a reason; it is recorded in the audit trail")
	}
	if (change || subject == ofDocument) && !slices.ContainsFunc(found, ar.covers) {
		fi.add(UnusedRisk, place, fmt.Sprintf("there is no risk %s at %s", ar.Rule, ar.Place), "remove the entry or correct its place")
	}
}
