package declaration

import (
	"encoding/json"
	"fmt"
	"slices"
)

// Diff lists what changes from one document to another, as people read it.
func Diff(from, to *Document) []string {
	var out []string
	out = append(out, diffList("model", from.Models, to.Models, func(mo Model) string { return string(mo.ID) })...)
	out = append(out, diffList("service", from.Services, to.Services, func(sv Service) string { return string(sv.ID) })...)
	out = append(out, diffList("cascade", from.Cascades, to.Cascades, func(ca Cascade) string { return string(ca.ID) })...)
	out = append(out, diffList("workspace", from.Workspaces, to.Workspaces, func(ws Workspace) string { return string(ws.ID) })...)
	out = append(out, diffList("roll-out", from.RollOuts, to.RollOuts, func(ro RollOut) string { return string(ro.Model) + "@" + string(ro.Version) })...)
	out = append(out, diffList("withdrawal", from.Withdrawals, to.Withdrawals, func(wd Withdrawal) string { return string(wd.Model) + "@" + string(wd.Version) })...)
	return out
}

func diffList[T any](kind string, from, to []T, id func(T) string) []string {
	var out []string
	for _, el := range to {
		i := slices.IndexFunc(from, func(old T) bool { return id(old) == id(el) })
		switch {
		case i < 0:
			out = append(out, fmt.Sprintf("+ %s %s", kind, id(el)))
		case text(from[i]) != text(el):
			out = append(out, fmt.Sprintf("~ %s %s", kind, id(el)))
		}
	}
	for _, old := range from {
		if !slices.ContainsFunc(to, func(el T) bool { return id(el) == id(old) }) {
			out = append(out, fmt.Sprintf("- %s %s", kind, id(old)))
		}
	}
	return out
}

func text(el any) string {
	raw, err := json.Marshal(el)
	if err != nil {
		return err.Error()
	}
	return string(raw)
}
