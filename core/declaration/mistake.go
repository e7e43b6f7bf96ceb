package declaration

import (
	"fmt"
	"strings"

	"skylarkstand/core/suggest"
)

// Mistake is one fault in a document or a change: the rule that it breaks, the
// path to the value, what is wrong, and how to correct it.
type Mistake struct {
	Rule   Rule
	Place  string
	Reason string
	Remedy string
}

// String returns the mistake as one line of text.
func (mi Mistake) String() string {
	return fmt.Sprintf("%s: %s; %s [%s]", mi.Place, mi.Reason, mi.Remedy, mi.Rule)
}

// Mistakes is the error that checks return. It holds all mistakes at once, so
// that an operator can correct them without running the check once for each.
type Mistakes []Mistake

// Error implements error.
func (mis Mistakes) Error() string {
	lines := make([]string, len(mis))
	for i, mi := range mis {
		lines[i] = mi.String()
	}
	return strings.Join(lines, "\n")
}

func (mis Mistakes) err() error {
	if len(mis) == 0 {
		return nil
	}
	return mis
}

// findings collects the breaches of rules; risks holds those of the rules that
// accept-risks may name.
type findings struct {
	mistakes Mistakes
	risks    Mistakes
}

func (fi *findings) add(ru Rule, place, reason, remedy string) {
	mi := Mistake{ru, place, reason, remedy}
	if _, risky := risks[ru]; risky {
		fi.risks = append(fi.risks, mi)
		return
	}
	fi.mistakes = append(fi.mistakes, mi)
}

// unknown reports a name that is not declared, and suggests the most similar
// declared name.
func (fi *findings) unknown(place, kind, name string, known []string) {
	remedy := "declare it or correct its name"
	if near, ok := suggest.Nearest(name, known); ok {
		remedy = fmt.Sprintf("did you mean %q?", near)
	}
	fi.add(UnknownName, place, fmt.Sprintf("%s %q is not declared", kind, name), remedy)
}

func names[T any, S ~string](list []T, id func(T) S) []string {
	out := make([]string, len(list))
	for i, el := range list {
		out[i] = string(id(el))
	}
	return out
}
