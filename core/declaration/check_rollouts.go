package declaration

import (
	"fmt"

	"skylarkstand/core"
)

// allSessions is all new sessions, in percent.
const allSessions = 100

func (ch *checker) rollOuts() {
	for _, ro := range ch.doc.RollOuts {
		place := fmt.Sprintf("roll-outs[%s]", ro.Model)
		if ro.Percent < 1 || ro.Percent > allSessions {
			ch.add(PercentRange, place+".percent", fmt.Sprintf("%d%% of new sessions is not possible", ro.Percent), "give 1 to 100; to stop a roll-out, remove it")
		}
		if !ch.checkDeclared(place+".version", ro.target()) {
			continue
		}
		if ch.sn.Model(ro.Model).Stable == ro.Version {
			ch.add(RollOutStable, place+".version", fmt.Sprintf("%s is the stable version already, so all sessions get it", ro.target()), "remove the roll-out or name another version as stable")
		}
		if ch.sn.Withdrawn(ro.target()) {
			ch.add(RollOutWithdrawn, place+".version", fmt.Sprintf("%s is withdrawn and rolled out at the same time", ro.target()), "remove the roll-out or the withdrawal")
		}
		if !ch.allowedAnywhere(ro.target()) {
			ch.add(RollOutUnseen, place+".version", fmt.Sprintf("no workspace may use %s, so the roll-out reaches nobody", ro.target()), "add the version to the allow list of the intended workspaces")
		}
	}
}

func (ch *checker) allowedAnywhere(mv core.ModelVersion) bool {
	for _, ws := range ch.doc.Workspaces {
		if ch.sn.allowed[allowKey{ws.ID, mv}] {
			return true
		}
	}
	return false
}

func (ch *checker) withdrawals() {
	for _, wd := range ch.doc.Withdrawals {
		place := fmt.Sprintf("withdrawals[%s]", wd.target())
		if wd.Reason == "" {
			ch.add(NoReason, place+".reason", "the withdrawal has no reason", "give a reason; it is returned to callers whose session moves")
		}
		if !ch.checkDeclared(place, wd.target()) {
			continue
		}
		mo := ch.sn.Model(wd.Model)
		switch {
		case !ch.sn.hasVersionLeft(mo):
			ch.add(OnlyVersionWithdrawn, place, fmt.Sprintf("every version of %s is withdrawn, so every request for it would be rejected", mo.ID), "declare a replacement version first")
		case mo.Stable == wd.Version:
			ch.add(StableWithdrawn, fmt.Sprintf("models[%s].stable", mo.ID), fmt.Sprintf("%s is withdrawn, so new sessions have no stable version", wd.target()), "name a version as stable that is not withdrawn")
		}
	}
}
