package declaration

import (
	"fmt"
	"slices"

	"skylarkstand/core"
)

const (
	// maxStep is the maximum percentage of new sessions that one change may
	// move to a version, in percentage points. Half of the sessions stay on the
	// stable version, so that a bad version reaches at most half of the callers
	// and the roll-out guard has a control group.
	maxStep = 50
	// suspiciousFactor is the factor from which on the change of a price or limit is
	// treated as a typing mistake: one zero too many or too few.
	suspiciousFactor = 10
)

// change validates a change from one document to another.
type change struct {
	*findings
	from, to *Snapshot
}

func inspectChange(fi *findings, from, to *Document) {
	if len(to.Workspaces) == 0 {
		return // Probably the wrong file; a mistake for each missing entry would hide that.
	}
	ch := change{fi, NewSnapshot(&Generation{Document: *from}, nil), NewSnapshot(&Generation{Document: *to}, nil)}
	for i := range from.Models {
		old := &from.Models[i]
		if mo := ch.to.Model(old.ID); mo != nil {
			ch.shares(old, mo)
			ch.prices(old, mo)
		}
		ch.droppedVersions(old)
	}
	ch.liftedStops()
	ch.operations()
	ch.evacuations()
	for i := range from.Workspaces {
		ch.workspace(&from.Workspaces[i])
	}
}

// sessionPercent returns the declared percentage of new sessions that a version gets.
func (sn *Snapshot) sessionPercent(mv core.ModelVersion) int {
	mo, ro := sn.Model(mv.Model), sn.RollOut(mv.Model)
	rolledOut := 0
	if ro != nil && ro.Halted == "" {
		rolledOut = ro.Percent
	}
	switch {
	case mo == nil:
		return 0
	case ro != nil && ro.Version == mv.Version:
		return rolledOut
	case mo.Stable == mv.Version:
		return allSessions - rolledOut
	}
	return 0
}

// shares reports a version to which too many new sessions move in one change.
func (ch *change) shares(old, mo *Model) {
	ro := ch.to.RollOut(mo.ID)
	if ro != nil {
		was := ch.from.sessionPercent(ro.target())
		if ro.Percent-was > maxStep && ro.Percent <= allSessions && ro.Halted == "" {
			ch.add(RollOutStep, fmt.Sprintf("roll-outs[%s]", mo.ID), fmt.Sprintf("%s goes from %d%% to %d%% of new sessions in one step, so a bad version would reach nearly every caller", ro.target(), was, ro.Percent),
				fmt.Sprintf("take a step of at most %d points", maxStep))
		}
	}
	if old.Stable == mo.Stable || ch.to.Withdrawn(core.ModelVersion{Model: mo.ID, Version: old.Stable}) {
		return
	}
	stable := core.ModelVersion{Model: mo.ID, Version: mo.Stable}
	if was := ch.from.sessionPercent(stable); was < maxStep && ch.to.Version(stable) != nil {
		ch.add(StableStep, fmt.Sprintf("models[%s].stable", mo.ID), fmt.Sprintf("%s becomes stable with %d%% of new sessions so far", stable, was),
			fmt.Sprintf("roll it out to at least %d%% first", maxStep))
	}
}

func (ch *change) prices(old, mo *Model) {
	for _, was := range old.Versions {
		ve := ch.to.Version(core.ModelVersion{Model: mo.ID, Version: was.ID})
		if ve == nil {
			continue
		}
		place := fmt.Sprintf("models[%s].versions[%s]", mo.ID, was.ID)
		ch.price(place+".prompt-price", was.PromptPrice, ve.PromptPrice)
		ch.price(place+".token-price", was.TokenPrice, ve.TokenPrice)
	}
}

func (ch *change) price(place string, was, now core.Millicents) {
	if was > 0 && now > 0 && (now >= was*suspiciousFactor || was >= now*suspiciousFactor) {
		ch.add(PriceJump, place, fmt.Sprintf("the price goes from %d to %d; is a zero missing or extra?", was, now), "correct the price")
	}
}

// droppedVersions reports versions that are removed while sessions may still use them.
func (ch *change) droppedVersions(old *Model) {
	for _, ve := range old.Versions {
		mv := core.ModelVersion{Model: old.ID, Version: ve.ID}
		if ch.to.Version(mv) != nil || ch.from.Withdrawn(mv) {
			continue
		}
		for _, ws := range ch.from.Doc.Workspaces {
			if ch.from.MayRun(ws.ID, mv) && !ch.to.allowed[allowKey{ws.ID, mv}] {
				ch.add(VersionDropped, fmt.Sprintf("models[%s].versions[%s]", old.ID, ve.ID), fmt.Sprintf("%s is removed while workspace %s uses it", mv, ws.ID), "withdraw it first, and remove it when no session is left on it")
				break
			}
		}
	}
}

// liftedStops reports withdrawals and halts that the change would lift. A file written
// before the guard halted a roll-out lifts the halt without its author's knowledge.
func (ch *change) liftedStops() {
	for _, wd := range ch.from.Doc.Withdrawals {
		if ch.to.Version(wd.target()) != nil && !ch.to.Withdrawn(wd.target()) {
			ch.add(WithdrawalLifted, fmt.Sprintf("withdrawals[%s]", wd.target()), fmt.Sprintf("%s was withdrawn (%s) and would serve again", wd.target(), wd.Reason), "keep the withdrawal")
		}
	}
	for _, old := range ch.from.Doc.RollOuts {
		ro := ch.to.RollOut(old.Model)
		if old.Halted != "" && ro != nil && ro.Version == old.Version && ro.Halted == "" {
			ch.add(HaltLifted, fmt.Sprintf("roll-outs[%s].halted", old.Model), fmt.Sprintf("the roll-out of %s was halted (%s) and would resume", old.target(), old.Halted), fmt.Sprintf("remove the roll-out, or keep \"halted\": %q", old.Halted))
		}
	}
}

// operations reports operations that lose at-most-once. Callers of such an operation
// retry a call after a timeout and rely on its running only once.
func (ch *change) operations() {
	for _, sv := range ch.from.Doc.Services {
		for _, old := range sv.Operations {
			op := ch.to.Operation(sv.ID, old.ID)
			if old.AtMostOnce && op != nil && !op.AtMostOnce {
				ch.add(RepeatAllowed, fmt.Sprintf("services[%s].operations[%s].at-most-once", sv.ID, old.ID), "the operation could run twice for one call", "keep at-most-once")
			}
		}
	}
}

func (ch *change) workspace(old *Workspace) {
	place := fmt.Sprintf("workspaces[%s]", old.ID)
	ws := ch.to.Workspace(old.ID)
	if ws == nil {
		ch.add(WorkspaceRemoved, place, "the workspace is removed, so its callers would be rejected", "keep the workspace")
		return
	}
	if ws.Limit > 0 && old.Limit >= ws.Limit*suspiciousFactor {
		ch.add(LimitCut, place+".limit", fmt.Sprintf("the limit falls from %d to %d; is a zero missing?", old.Limit, ws.Limit), "lower it in smaller steps")
	}
	ch.regions(old, ws, place)
	kept := func(kh string) bool { return slices.Contains(ws.KeyHashes, kh) }
	if len(old.KeyHashes) > 0 && len(ws.KeyHashes) > 0 && !slices.ContainsFunc(old.KeyHashes, kept) {
		ch.add(KeysReplaced, place+".key-hashes", "all keys are replaced at once, so callers are rejected until they use a new one", "add the new key, and remove the old one later")
	}
	for _, kh := range old.KeyHashes {
		if other := ch.to.byKey[kh]; other != nil && other.ID != old.ID && !kept(kh) {
			ch.add(KeyMoved, place+".key-hashes", fmt.Sprintf("a key moves to workspace %s, with its callers and their bills", other.ID), "give the other workspace a key of its own")
		}
	}
}
