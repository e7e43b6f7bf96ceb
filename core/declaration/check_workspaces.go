package declaration

import (
	"encoding/hex"
	"fmt"
	"strings"

	"skylarkstand/core"
)

func (ch *checker) workspaces() {
	for i := range ch.doc.Workspaces {
		ws := &ch.doc.Workspaces[i]
		place := fmt.Sprintf("workspaces[%s]", ws.ID)
		ch.quality(place+".quality", ws.Quality)
		ch.price(place+".latency-price", ws.LatencyPrice)
		ch.regions(ws, place)
		if ws.Share <= 0 {
			ch.add(ShareRange, place+".share", fmt.Sprintf("a share of %d gets no capacity under overload", ws.Share), "give a share of at least 1")
		}
		if ws.Limit < 0 {
			ch.add(LimitRange, place+".limit", fmt.Sprintf("the limit %d would reject every request", ws.Limit), "give a limit of at least 1, or leave it out for none")
		}
		if len(ws.Allow) == 0 && len(ws.Services) == 0 {
			ch.add(NothingAllowed, place+".allow", "the workspace may use no model and no service", "allow a version or a service")
		}
		for _, al := range ws.Allow {
			ch.checkAllow(ws, al)
		}
		for _, id := range ws.Services {
			if ch.sn.service(id) == nil {
				ch.unknown(place+".services", "service", string(id), names(ch.doc.Services, func(sv Service) core.ServiceID { return sv.ID }))
			}
		}
		for _, id := range ws.Cascades {
			ch.checkWorkspaceCascade(ws, id)
		}
	}
}

func (sn *Snapshot) service(id core.ServiceID) *Service {
	for i := range sn.Doc.Services {
		if sn.Doc.Services[i].ID == id {
			return &sn.Doc.Services[i]
		}
	}
	return nil
}

// checkAllow validates an entry of a workspace's allow list.
func (ch *checker) checkAllow(ws *Workspace, al Allow) {
	place := fmt.Sprintf("workspaces[%s].allow[%s]", ws.ID, al.Model)
	if len(al.Versions) == 0 {
		ch.add(NothingAllowed, place, "no version of the model is allowed", "list the versions or remove the entry")
		return
	}
	declared := true
	for _, id := range al.Versions {
		declared = ch.checkDeclared(place, core.ModelVersion{Model: al.Model, Version: id}) && declared
	}
	if !declared {
		return
	}
	mo := ch.sn.Model(al.Model)
	if !ch.sn.canServe(ws.ID, mo) && ch.sn.hasVersionLeft(mo) {
		ch.add(NoVersionLeft, place, fmt.Sprintf("every version of %s that the workspace may use is withdrawn, so its requests would be rejected", al.Model),
			"allow a version that can serve")
	}
	ch.checkSplit(place, ws, mo)
}

// checkSplit reports a workspace in which a roll-out leaves some new sessions without a
// version. Only a percentage of sessions is affected, so callers would be rejected
// intermittently and a manual test could miss it.
func (ch *checker) checkSplit(place string, ws *Workspace, mo *Model) {
	ro := ch.sn.RollOut(mo.ID)
	if ro == nil || ro.Version == mo.Stable || !ch.sn.canServe(ws.ID, mo) {
		return
	}
	left := allSessions
	for _, vs := range ch.sn.Split(ws.ID, mo.ID) {
		left -= vs.Percent
	}
	if left > 0 {
		ch.add(OnlyRollOutAllowed, place, fmt.Sprintf("only %s, which is being rolled out, can serve the workspace, so the other %d%% of new sessions have no version", ro.target(), left),
			fmt.Sprintf("allow the stable version %s too", mo.Stable))
	}
}

// canServe reports whether a workspace's work may run on at least one version of a
// model.
func (sn *Snapshot) canServe(ws core.WorkspaceID, mo *Model) bool {
	for _, ve := range mo.Versions {
		if sn.MayRun(ws, core.ModelVersion{Model: mo.ID, Version: ve.ID}) {
			return true
		}
	}
	return false
}

// hasVersionLeft reports whether a model has a version that is not withdrawn.
func (sn *Snapshot) hasVersionLeft(mo *Model) bool {
	for _, ve := range mo.Versions {
		if !sn.Withdrawn(core.ModelVersion{Model: mo.ID, Version: ve.ID}) {
			return true
		}
	}
	return false
}

// checkWorkspaceCascade validates a cascade in the list of a workspace.
func (ch *checker) checkWorkspaceCascade(ws *Workspace, id core.CascadeID) {
	place := fmt.Sprintf("workspaces[%s].cascades[%s]", ws.ID, id)
	ca := ch.sn.Cascade(id)
	if ca == nil {
		ch.unknown(place, "cascade", string(id), names(ch.doc.Cascades, func(ca Cascade) core.CascadeID { return ca.ID }))
		return
	}
	best, broken := core.Quality(0), len(ca.Stages) == 0
	for _, st := range ca.Stages {
		mo := ch.sn.Model(st)
		if mo == nil {
			broken = true
			continue
		}
		if !ws.allows(st) {
			ch.add(StageNotAllowed, place, fmt.Sprintf("the workspace may use no version of the stage %s", st), fmt.Sprintf("allow a version of %s or remove the cascade", st))
			broken = true
		}
		for _, ve := range mo.Versions {
			if ch.sn.MayRun(ws.ID, core.ModelVersion{Model: st, Version: ve.ID}) {
				best = max(best, ve.Quality)
			}
		}
	}
	if !broken && best < ws.Quality {
		ch.add(QualityOutOfReach, place, fmt.Sprintf("no stage has the quality %g (the best has %g), so requests would escalate through every stage and be charged for each", float64(ws.Quality), float64(best)),
			"lower the target or add a better stage")
	}
}

func (ws *Workspace) allows(id core.ModelID) bool {
	for _, al := range ws.Allow {
		if al.Model == id && len(al.Versions) > 0 {
			return true
		}
	}
	return false
}

// digestLen is the length of a SHA-256 digest in hex characters.
const digestLen = 64

// keys validates the key hashes. The messages never contain the value, which may be
// a plain key that was pasted by mistake: messages end up in logs and reviews.
func (ch *checker) keys() {
	owner := map[string]core.WorkspaceID{}
	for _, ws := range ch.doc.Workspaces {
		place := fmt.Sprintf("workspaces[%s].key-hashes", ws.ID)
		if len(ws.KeyHashes) == 0 {
			ch.add(NoKey, place, "no key authenticates the workspace", "add the SHA-256 digest of its key")
		}
		for i, kh := range ws.KeyHashes {
			at := fmt.Sprintf("%s[%d]", place, i)
			ch.digest(at, kh)
			other, taken := owner[kh]
			switch {
			case taken && other == ws.ID:
				ch.add(DuplicateName, at, "the digest is listed twice", "remove one")
			case taken:
				ch.add(KeyShared, at, fmt.Sprintf("the key also authenticates workspace %s, so requests and bills would be assigned to only one of the two", other), "give each workspace a key of its own")
			}
			owner[kh] = ws.ID
		}
	}
}

func (ch *checker) digest(place, kh string) {
	_, err := hex.DecodeString(kh)
	switch {
	case err != nil || len(kh) != digestLen:
		ch.add(KeyNotDigest, place, fmt.Sprintf("not a SHA-256 digest (%d characters, not %d of 0-9a-f); is it the key itself?", len(kh), digestLen),
			"write the output of: printf %s \"$KEY\" | sha256sum; replace a key that was written to a file")
	case kh == HashKey(""):
		ch.add(KeyNotDigest, place, "the digest is that of an empty key, which authenticates nobody", "write the output of: printf %s \"$KEY\" | sha256sum, where KEY is set")
	case kh != strings.ToLower(kh):
		ch.add(KeyNotDigest, place, "the digest has upper-case letters and would match no key", "write it in lower case")
	}
}
