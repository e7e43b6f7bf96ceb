package declaration

import (
	"fmt"
	"slices"
	"strings"

	"skylarkstand/core"
)

// Effects describes what a change does to callers, one line each: which versions
// stop, which workspaces gain or lose access, and which percentage of new sessions
// moves to another version.
func Effects(from, to *Document) []string {
	ef := &effect{from: NewSnapshot(&Generation{Document: *from}, nil), to: NewSnapshot(&Generation{Document: *to}, nil)}
	for i := range from.Models {
		ef.versionStops(&from.Models[i])
	}
	for i := range to.Zones {
		ef.zone(&to.Zones[i])
	}
	for i := range to.Workspaces {
		ef.workspace(&to.Workspaces[i])
	}
	for _, ws := range from.Workspaces {
		if ef.to.Workspace(ws.ID) == nil {
			ef.onWorkspace(ws.ID, "all callers are turned away")
		}
	}
	return ef.render()
}

type effect struct {
	from, to *Snapshot
	lines    []string
	groups   []group
}

// group is one effect with the workspaces that it applies to. A roll-out affects
// most workspaces in the same way; one line for each would hide the workspace
// that differs.
type group struct {
	text       string
	workspaces []core.WorkspaceID
}

func (ef *effect) add(format string, args ...any) {
	ef.lines = append(ef.lines, fmt.Sprintf(format, args...))
}

// onWorkspace records an effect on one workspace.
func (ef *effect) onWorkspace(ws core.WorkspaceID, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	i := slices.IndexFunc(ef.groups, func(gr group) bool { return gr.text == text })
	if i < 0 {
		i = len(ef.groups)
		ef.groups = append(ef.groups, group{text: text})
	}
	ef.groups[i].workspaces = append(ef.groups[i].workspaces, ws)
}

func (ef *effect) render() []string {
	out := ef.lines
	for _, gr := range ef.groups {
		who := "workspace " + string(gr.workspaces[0])
		switch n := len(gr.workspaces); {
		case n > 1 && n == len(ef.to.Doc.Workspaces):
			who = fmt.Sprintf("all %d workspaces", n)
		case n > 1:
			who = "workspaces " + join(gr.workspaces, ", ")
		}
		out = append(out, who+": "+gr.text)
	}
	return out
}

func (ef *effect) versionStops(mo *Model) {
	for _, ve := range mo.Versions {
		mv := core.ModelVersion{Model: mo.ID, Version: ve.ID}
		was := !ef.from.Withdrawn(mv)
		now := ef.to.Version(mv) != nil && !ef.to.Withdrawn(mv)
		switch {
		case was && !now:
			ef.add("%s stops: it gets no new work, and all sessions on it move", mv)
		case !was && now:
			ef.add("%s may serve again", mv)
		}
	}
}

func (ef *effect) workspace(ws *Workspace) {
	old := ef.from.Workspace(ws.ID)
	if old == nil {
		ef.onWorkspace(ws.ID, "new")
		return
	}
	ef.regions(old, ws)
	ef.access(ws.ID, "model", ef.from.usable(ws.ID), ef.to.usable(ws.ID))
	ef.access(ws.ID, "cascade", names(old.Cascades, identity), names(ws.Cascades, identity))
	ef.access(ws.ID, "service", names(old.Services, identity), names(ws.Services, identity))
	for _, mo := range ef.to.Doc.Models {
		was, now := ef.from.Split(ws.ID, mo.ID), ef.to.Split(ws.ID, mo.ID)
		if len(was) == 0 || len(now) == 0 || slices.Equal(was, now) {
			continue
		}
		ef.onWorkspace(ws.ID, "%d%% of new sessions of %s move (%s -> %s)", movedPercent(was, now), mo.ID, formatShares(was), formatShares(now))
	}
}

func identity[S any](el S) S { return el }

// usable lists the models of which a workspace can use at least one version.
func (sn *Snapshot) usable(ws core.WorkspaceID) []string {
	var out []string
	for i := range sn.Doc.Models {
		if sn.canServe(ws, &sn.Doc.Models[i]) {
			out = append(out, string(sn.Doc.Models[i].ID))
		}
	}
	return out
}

func (ef *effect) access(ws core.WorkspaceID, kind string, was, now []string) {
	for _, name := range now {
		if !slices.Contains(was, name) {
			ef.onWorkspace(ws, "gains %s %s", kind, name)
		}
	}
	for _, name := range was {
		if !slices.Contains(now, name) {
			ef.onWorkspace(ws, "loses %s %s", kind, name)
		}
	}
}

// VersionShare is the percentage of new sessions that a version gets.
type VersionShare struct {
	Version core.VersionID
	Percent int
}

// Split returns how a workspace's new sessions of a model are divided among
// versions; it is empty if no version can serve. It must agree with core/routing:
// the roll-out's version gets its percentage, and the rest goes to the stable
// version or else to the newest version that may run.
func (sn *Snapshot) Split(ws core.WorkspaceID, id core.ModelID) []VersionShare {
	mo := sn.Model(id)
	if mo == nil || !sn.canServe(ws, mo) {
		return nil
	}
	var out []VersionShare
	rest := allSessions
	ro := sn.RollOut(id)
	if ro != nil && ro.Halted == "" && sn.MayRun(ws, ro.target()) {
		out = append(out, VersionShare{ro.Version, ro.Percent})
		rest -= ro.Percent
	}
	if ve, ok := sn.fallback(ws, mo, ro); ok && rest > 0 {
		out = append(out, VersionShare{ve, rest})
	}
	return out
}

// fallback returns the version for new sessions outside the roll-out.
func (sn *Snapshot) fallback(ws core.WorkspaceID, mo *Model, ro *RollOut) (core.VersionID, bool) {
	may := func(ve core.VersionID) bool { return sn.MayRun(ws, core.ModelVersion{Model: mo.ID, Version: ve}) }
	if may(mo.Stable) {
		return mo.Stable, true
	}
	for _, ve := range slices.Backward(mo.Versions) {
		if (ro == nil || ro.Version != ve.ID) && may(ve.ID) {
			return ve.ID, true
		}
	}
	return "", false
}

// movedPercent returns the percentage of new sessions that get a different version than
// before.
func movedPercent(was, now []VersionShare) int {
	stay := 0
	for _, vs := range now {
		i := slices.IndexFunc(was, func(el VersionShare) bool { return el.Version == vs.Version })
		if i >= 0 {
			stay += min(vs.Percent, was[i].Percent)
		}
	}
	return allSessions - stay
}

func formatShares(list []VersionShare) string {
	out := make([]string, len(list))
	for i, vs := range list {
		out[i] = fmt.Sprintf("%s %d%%", vs.Version, vs.Percent)
	}
	return strings.Join(out, ", ")
}

// WithdrawalReason returns why a version was withdrawn. It is empty if it was not.
func (sn *Snapshot) WithdrawalReason(mv core.ModelVersion) string { return sn.withdrawn[mv] }
