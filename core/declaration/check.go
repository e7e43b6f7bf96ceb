package declaration

import (
	"fmt"
	"slices"
)

// Check finds the mistakes of a document that can be seen without the
// configuration in force. It returns nil or a [Mistakes].
func (doc *Document) Check() error {
	fi := doc.find()
	return doc.settle(fi, false).err()
}

// CheckChange finds the mistakes of a document and of the step to it from the
// one in force. It returns nil or a [Mistakes]. The first document of all is
// a step from an empty one: nobody is served yet, so no step is too large.
func CheckChange(from, to *Document) error {
	fi := to.find()
	findChange(fi, from, to)
	return to.settle(fi, true).err()
}

// Accepted returns the entries of accept-risks that the step from one document
// to another makes use of. The audit trail keeps them.
func Accepted(from, to *Document) []AcceptRisk {
	fi := to.find()
	findChange(fi, from, to)
	var out []AcceptRisk
	for _, ar := range to.AcceptRisks {
		if slices.ContainsFunc(fi.risks, ar.covers) {
			out = append(out, ar)
		}
	}
	return out
}

func (doc *Document) find() *findings {
	ch := &checker{findings: &findings{}, doc: doc, sn: NewSnapshot(&Generation{Document: *doc}, nil)}
	if len(doc.Workspaces) == 0 {
		ch.add(EmptyDocument, "workspaces", "no workspace is declared, so every caller would be turned away", "declare the workspaces; is this the right file?")
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

// checker looks at one document.
type checker struct {
	*findings
	doc *Document
	sn  *Snapshot
}

func (ar AcceptRisk) covers(mi Mistake) bool { return Rule(ar.Rule) == mi.Rule && ar.Place == mi.Place }

// settle holds the risks that were found against those that the document
// accepts.
//
// An accepted risk that is not there is refused too: left in the file, it
// would wave the same risk through on a later day, when nobody thought of it.
func (doc *Document) settle(fi *findings, change bool) Mistakes {
	out := fi.mistakes
	for _, mi := range fi.risks {
		if slices.ContainsFunc(doc.AcceptRisks, func(ar AcceptRisk) bool { return ar.covers(mi) }) {
			continue
		}
		mi.Remedy += fmt.Sprintf(`, or accept the risk: {"rule": %q, "place": %q, "reason": "…"}`, mi.Rule, mi.Place)
		out = append(out, mi)
	}
	for i, ar := range doc.AcceptRisks {
		rest := &findings{}
		rest.acceptRisk(i, ar, fi.risks, change)
		out = append(out, rest.mistakes...)
	}
	return out
}

func (fi *findings) acceptRisk(i int, ar AcceptRisk, found Mistakes, change bool) {
	place := fmt.Sprintf("accept-risks[%d]", i)
	of, known := risks[Rule(ar.Rule)]
	if !known {
		fi.unknown(place+".rule", "risk", ar.Rule, names(Risks(), func(ru Rule) Rule { return ru }))
		fi.mistakes[len(fi.mistakes)-1].Rule = UnknownRisk
		return
	}
	if ar.Reason == "" {
		fi.add(NoReason, place+".reason", "the risk is accepted without a reason", "say why; the audit trail keeps it")
	}
	if (change || of == ofDocument) && !slices.ContainsFunc(found, ar.covers) {
		fi.add(IdleRisk, place, fmt.Sprintf("there is no risk %s at %s", ar.Rule, ar.Place), "remove the entry or correct its place")
	}
}
