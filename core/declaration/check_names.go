package declaration

import (
	"fmt"
	"slices"
	"strings"

	"skylarkstand/core"
)

// names reports invalid and duplicate names.
func (ch *checker) names() {
	unique(ch, "models", ch.doc.Models, func(mo Model) string { return string(mo.ID) })
	unique(ch, "services", ch.doc.Services, func(sv Service) string { return string(sv.ID) })
	unique(ch, "cascades", ch.doc.Cascades, func(ca Cascade) string { return string(ca.ID) })
	unique(ch, "zones", ch.doc.Zones, func(zo AvailabilityZone) string { return string(zo.ID) })
	unique(ch, "workspaces", ch.doc.Workspaces, func(ws Workspace) string { return string(ws.ID) })
	unique(ch, "roll-outs", ch.doc.RollOuts, func(ro RollOut) string { return string(ro.Model) })
	unique(ch, "withdrawals", ch.doc.Withdrawals, func(wd Withdrawal) core.ModelVersion { return wd.target() })
	for _, mo := range ch.doc.Models {
		unique(ch, fmt.Sprintf("models[%s].versions", mo.ID), mo.Versions, func(ve Version) string { return string(ve.ID) })
	}
	for _, sv := range ch.doc.Services {
		unique(ch, fmt.Sprintf("services[%s].operations", sv.ID), sv.Operations, func(op Operation) string { return string(op.ID) })
	}
	for _, ca := range ch.doc.Cascades {
		unique(ch, fmt.Sprintf("cascades[%s].stages", ca.ID), ca.Stages, func(id core.ModelID) string { return string(id) })
		// Callers request a cascade or a model by the same field, and a cascade
		// takes precedence, so the model could no longer be requested alone.
		if ch.sn.Model(core.ModelID(ca.ID)) != nil {
			ch.add(NameClash, fmt.Sprintf("cascades[%s]", ca.ID), "a model has the same name, and callers request both by the same field", "give the cascade another name")
		}
	}
	for _, ws := range ch.doc.Workspaces {
		place := fmt.Sprintf("workspaces[%s]", ws.ID)
		unique(ch, place+".allow", ws.Allow, func(al Allow) string { return string(al.Model) })
		unique(ch, place+".cascades", ws.Cascades, func(id core.CascadeID) string { return string(id) })
		unique(ch, place+".services", ws.Services, func(id core.ServiceID) string { return string(id) })
		for _, al := range ws.Allow {
			unique(ch, fmt.Sprintf("%s.allow[%s].versions", place, al.Model), al.Versions, func(id core.VersionID) string { return string(id) })
		}
	}
}

// unique reports IDs that are invalid or duplicate. Of two entries with one ID
// only the last would take effect, so an operator's edit of the first would have no
// effect, or would be lost to another operator's entry.
func unique[T any, K comparable](ch *checker, place string, list []T, id func(T) K) {
	seen := make([]K, 0, len(list))
	for i, el := range list {
		name := id(el)
		at := fmt.Sprintf("%s[%v]", place, name)
		if reason := nameProblem(name); reason != "" {
			ch.add(BadName, fmt.Sprintf("%s[%d]", place, i), reason, "use letters, digits, dots, dashes and underscores")
		}
		if slices.Contains(seen, name) {
			ch.add(DuplicateName, at, fmt.Sprintf("%v is declared twice", name), "merge the two entries or rename one")
		}
		seen = append(seen, name)
	}
}

// nameProblem returns why a name is invalid, or nothing if it is valid. Names are used
// in URLs, headers and log lines, where a space or a slash would split them.
func nameProblem(id any) string {
	name, single := id.(string)
	if !single {
		return "" // Composed of names that are checked where they are declared.
	}
	if name == "" {
		return "the name is empty"
	}
	invalid := func(r rune) bool {
		return !strings.ContainsRune("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789.-_", r)
	}
	if i := strings.IndexFunc(name, invalid); i >= 0 {
		return fmt.Sprintf("the name %q contains a character that is not allowed in names", name)
	}
	return ""
}

func (wd Withdrawal) target() core.ModelVersion {
	return core.ModelVersion{Model: wd.Model, Version: wd.Version}
}

func (ro RollOut) target() core.ModelVersion {
	return core.ModelVersion{Model: ro.Model, Version: ro.Version}
}

// checkDeclared reports whether a model version is declared, and records a mistake if it is
// not.
func (ch *checker) checkDeclared(place string, mv core.ModelVersion) bool {
	mo := ch.sn.Model(mv.Model)
	if mo == nil {
		ch.unknown(place, "model", string(mv.Model), names(ch.doc.Models, func(mo Model) core.ModelID { return mo.ID }))
		return false
	}
	if ch.sn.Version(mv) == nil {
		ch.unknown(place, fmt.Sprintf("version of %s", mv.Model), string(mv.Version), names(mo.Versions, func(ve Version) core.VersionID { return ve.ID }))
		return false
	}
	return true
}
