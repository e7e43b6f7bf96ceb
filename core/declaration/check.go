package declaration

import (
	"fmt"
	"strings"

	"skylarkstand/core"
)

// Mistake is one fault of a document: where it is, what is wrong, and what to
// do about it.
type Mistake struct {
	Place  string
	Reason string
	Remedy string
}

// String returns the mistake as one line for people.
func (mi Mistake) String() string { return mi.Place + ": " + mi.Reason + "; " + mi.Remedy }

// Mistakes is the error that Check returns: all faults of a document at once.
type Mistakes []Mistake

// Error implements error.
func (mis Mistakes) Error() string {
	lines := make([]string, len(mis))
	for i, mi := range mis {
		lines[i] = mi.String()
	}
	return strings.Join(lines, "\n")
}

// Check finds the faults that would make the document unusable. It returns
// nil or a [Mistakes].
func (doc *Document) Check() error {
	var mis Mistakes
	add := func(place, reason, remedy string) { mis = append(mis, Mistake{place, reason, remedy}) }
	sn := NewSnapshot(&Generation{Document: *doc}, nil)
	for _, mo := range doc.Models {
		place := fmt.Sprintf("models[%s]", mo.ID)
		if sn.Version(core.ModelVersion{Model: mo.ID, Version: mo.Stable}) == nil {
			add(place+".stable", fmt.Sprintf("version %q is not declared", mo.Stable), "name one of the model's versions")
		}
	}
	for _, ca := range doc.Cascades {
		if len(ca.Stages) == 0 {
			add(fmt.Sprintf("cascades[%s].stages", ca.ID), "no stage", "list the models from cheap to costly")
		}
		for _, st := range ca.Stages {
			if sn.Model(st) == nil {
				add(fmt.Sprintf("cascades[%s].stages", ca.ID), fmt.Sprintf("model %q is not declared", st), "declare it or correct its name")
			}
		}
	}
	for _, ws := range doc.Workspaces {
		place := fmt.Sprintf("workspaces[%s]", ws.ID)
		for _, al := range ws.Allow {
			for _, ve := range al.Versions {
				mv := core.ModelVersion{Model: al.Model, Version: ve}
				if sn.Version(mv) == nil {
					add(place+".allow", fmt.Sprintf("%s is not declared", mv), "declare it or correct its name")
				}
			}
		}
		if ws.Share <= 0 {
			add(place+".share", "a share of nought gets no work under load", "give a share of at least 1")
		}
	}
	if len(mis) == 0 {
		return nil
	}
	return mis
}
