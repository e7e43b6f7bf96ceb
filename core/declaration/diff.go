package declaration

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"skylarkstand/core"
)

// Mark is the kind of a difference, as a diff prints it.
type Mark string

// The marks of a change.
const (
	Added   Mark = "+"
	Removed Mark = "-"
	Altered Mark = "~"
)

// Change is one difference between two documents.
type Change struct {
	Mark  Mark
	Scope Scope
	// Detail describes the difference. It is empty for a removed scope.
	Detail string
}

// String returns the change as one line, such as
// "~ workspace schools: share 2 -> 4".
func (ch Change) String() string {
	if ch.Detail == "" {
		return fmt.Sprintf("%s %s", ch.Mark, ch.Scope)
	}
	return fmt.Sprintf("%s %s: %s", ch.Mark, ch.Scope, ch.Detail)
}

// Diff lists the changes from one document to another as lines of text.
func Diff(from, to *Document) []string {
	chs := Compare(from, to)
	out := make([]string, len(chs))
	for i, ch := range chs {
		out[i] = ch.String()
	}
	return out
}

// Compare lists the changes from one document to another, ordered by scope.
func Compare(from, to *Document) []Change {
	old, now := from.parts(), to.parts()
	var out []Change
	for _, sc := range ChangedScopes(from, to) {
		op, np := old.get(sc), now.get(sc)
		switch {
		case !op.declared():
			out = append(out, Change{Added, sc, strings.Join(np.details(new(part)), "; ")})
		case !np.declared():
			out = append(out, Change{Removed, sc, ""})
		default:
			for _, line := range np.details(op) {
				out = append(out, Change{Altered, sc, line})
			}
		}
	}
	return out
}

// declared reports whether the scope's own entry exists. A roll-out or a withdrawal
// of a model that is not declared does not count.
func (pa *part) declared() bool {
	return pa.Model != nil || pa.Service != nil || pa.Cascade != nil || pa.Workspace != nil || pa.Zone != nil
}

// details describes how a part differs from an older one, one line per difference.
func (pa *part) details(old *part) []string {
	di := &differ{}
	switch {
	case pa.Model != nil:
		di.model(orEmpty(old.Model), pa.Model)
	case pa.Service != nil:
		di.service(orEmpty(old.Service), pa.Service)
	case pa.Cascade != nil:
		di.value("stages", join(orEmpty(old.Cascade).Stages, " -> "), join(pa.Cascade.Stages, " -> "))
	case pa.Workspace != nil:
		di.workspace(orEmpty(old.Workspace), pa.Workspace)
	case pa.Zone != nil:
		di.zone(orEmpty(old.Zone), pa.Zone)
	}
	di.rollOuts(old.RollOuts, pa.RollOuts)
	di.withdrawals(old.Withdrawals, pa.Withdrawals)
	return di.lines
}

// orEmpty returns el, or an empty value if el is nil.
func orEmpty[T any](el *T) *T {
	if el == nil {
		return new(T)
	}
	return el
}

// differ collects the lines of one scope.
type differ struct{ lines []string }

func (di *differ) add(format string, args ...any) {
	di.lines = append(di.lines, fmt.Sprintf(format, args...))
}

// value adds a line if a named value differs.
func (di *differ) value(name string, was, now any) {
	wt, nt := fmt.Sprint(was), fmt.Sprint(now)
	switch {
	case wt == nt:
	case wt == "" || wt == "0":
		di.add("%s %s", name, nt)
	case nt == "":
		di.add("%s %s -> none", name, wt)
	default:
		di.add("%s %s -> %s", name, wt, nt)
	}
}

func (di *differ) model(old, mo *Model) {
	di.value("stable", old.Stable, mo.Stable)
	for _, ve := range mo.Versions {
		i := slices.IndexFunc(old.Versions, func(el Version) bool { return el.ID == ve.ID })
		if i < 0 {
			di.add("version %s added (quality %g, prompt %d, token %d)", ve.ID, float64(ve.Quality), ve.PromptPrice, ve.TokenPrice)
			continue
		}
		was := old.Versions[i]
		di.value(fmt.Sprintf("%s quality", ve.ID), was.Quality, ve.Quality)
		di.value(fmt.Sprintf("%s prompt-price", ve.ID), was.PromptPrice, ve.PromptPrice)
		di.value(fmt.Sprintf("%s token-price", ve.ID), was.TokenPrice, ve.TokenPrice)
	}
	for _, ve := range old.Versions {
		if !slices.ContainsFunc(mo.Versions, func(el Version) bool { return el.ID == ve.ID }) {
			di.add("version %s removed", ve.ID)
		}
	}
}

func (di *differ) service(old, sv *Service) {
	for _, op := range sv.Operations {
		i := slices.IndexFunc(old.Operations, func(el Operation) bool { return el.ID == op.ID })
		if i < 0 {
			di.add("operation %s added (%s, price %d)", op.ID, op.semantics(), op.Price)
			continue
		}
		di.value(string(op.ID), old.Operations[i].semantics(), op.semantics())
		di.value(string(op.ID)+" price", old.Operations[i].Price, op.Price)
	}
	for _, op := range old.Operations {
		if !slices.ContainsFunc(sv.Operations, func(el Operation) bool { return el.ID == op.ID }) {
			di.add("operation %s removed", op.ID)
		}
	}
}

func (op Operation) semantics() string {
	if op.AtMostOnce {
		return "at most once"
	}
	return "repeatable"
}

func (di *differ) workspace(old, ws *Workspace) {
	di.value("share", old.Share, ws.Share)
	di.value("quality", old.Quality, ws.Quality)
	di.value("latency-price", old.LatencyPrice, ws.LatencyPrice)
	di.value("limit", limit(old.Limit), limit(ws.Limit))
	di.value("regions", join(old.Regions, ", "), join(ws.Regions, ", "))
	for _, al := range ws.Allow {
		di.value("allow "+string(al.Model), join(old.versions(al.Model), ", "), join(al.Versions, ", "))
	}
	for _, al := range old.Allow {
		if len(ws.versions(al.Model)) == 0 {
			di.add("allow %s taken away", al.Model)
		}
	}
	di.value("services", join(old.Services, ", "), join(ws.Services, ", "))
	di.value("cascades", join(old.Cascades, ", "), join(ws.Cascades, ", "))
	for _, kh := range ws.KeyHashes {
		if !slices.Contains(old.KeyHashes, kh) {
			di.add("key %.8s… added", kh)
		}
	}
	for _, kh := range old.KeyHashes {
		if !slices.Contains(ws.KeyHashes, kh) {
			di.add("key %.8s… removed", kh)
		}
	}
}

func (ws *Workspace) versions(id core.ModelID) []core.VersionID {
	for _, al := range ws.Allow {
		if al.Model == id {
			return al.Versions
		}
	}
	return nil
}

func limit(n int) string {
	if n == 0 {
		return ""
	}
	return fmt.Sprint(n)
}

func join[S ~string](list []S, sep string) string {
	return strings.Join(names(list, func(el S) S { return el }), sep)
}

func (di *differ) rollOuts(old, now []RollOut) {
	for _, ro := range now {
		i := slices.IndexFunc(old, func(el RollOut) bool { return el.target() == ro.target() })
		if i < 0 {
			di.add("roll-out of %s to %d%% begins", ro.Version, ro.Percent)
			continue
		}
		di.value(fmt.Sprintf("roll-out of %s, percent", ro.Version), old[i].Percent, ro.Percent)
		di.value(fmt.Sprintf("roll-out of %s halted:", ro.Version), old[i].Halted, ro.Halted)
	}
	for _, ro := range old {
		if !slices.ContainsFunc(now, func(el RollOut) bool { return el.target() == ro.target() }) {
			di.add("roll-out of %s ends", ro.Version)
		}
	}
}

func (di *differ) withdrawals(old, now []Withdrawal) {
	for _, wd := range now {
		if !slices.Contains(old, wd) {
			di.add("%s withdrawn: %s", wd.Version, cmp.Or(wd.Reason, "no reason"))
		}
	}
	for _, wd := range old {
		if !slices.ContainsFunc(now, func(el Withdrawal) bool { return el.target() == wd.target() }) {
			di.add("withdrawal of %s lifted", wd.Version)
		}
	}
}
