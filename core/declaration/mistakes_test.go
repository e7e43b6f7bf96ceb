package declaration_test

import (
	"skylarkstand/core"
	"skylarkstand/core/declaration"
)

// mistakeCase introduces a mistake into a valid document. Want is the message that
// CheckChange must return.
type mistakeCase struct {
	testName string
	// before modifies both the current and the new document.
	before  func(*declaration.Document)
	mistake func(*declaration.Document)
	want    string
}

type document = declaration.Document

var mistakeCases = []mistakeCase{
	{"empty file", nil, func(doc *document) { *doc = document{} }, `
workspaces: no workspace is declared, so every caller would be rejected; declare the workspaces, or check that this is the right file [empty-document]`},
	{"space in a name", nil, func(doc *document) {
		doc.Cascades[0].ID = "quick answers"
		doc.Workspaces[0].Cascades[0] = "quick answers"
	}, `
cascades[0]: the name "quick answers" contains a character that is not allowed in names; use letters, digits, dots, dashes and underscores [bad-name]
workspaces[schools].cascades[0]: the name "quick answers" contains a character that is not allowed in names; use letters, digits, dots, dashes and underscores [bad-name]`},
	{"empty name", nil, func(doc *document) { doc.Services[0].Operations[0].ID = "" }, `
services[subsidy].operations[0]: the name is empty; use letters, digits, dots, dashes and underscores [bad-name]`},
	{"duplicate workspace", nil, func(doc *document) {
		ws := doc.Workspaces[1]
		ws.KeyHashes = []string{otherKey}
		doc.Workspaces = append(doc.Workspaces, ws)
	}, `
workspaces[districts]: districts is declared twice; merge the two entries or rename one [duplicate-name]
workspaces[districts].key-hashes: all keys are replaced at once, so callers are rejected until they use a new one; add the new key, and remove the old one later, or accept the risk: {"rule": "keys-replaced", "place": "workspaces[districts].key-hashes", "reason": "…"} [keys-replaced]`},
	{"duplicate version", nil, func(doc *document) {
		doc.Models[0].Versions = append(doc.Models[0].Versions, doc.Models[0].Versions[1])
	}, `
models[desk].versions[v2]: v2 is declared twice; merge the two entries or rename one [duplicate-name]`},
	{"two roll-outs of one model", nil, func(doc *document) {
		ro := declaration.RollOut{Model: "desk", Version: "v2", Percent: 10}
		doc.RollOuts = []declaration.RollOut{ro, ro}
	}, `
roll-outs[desk]: desk is declared twice; merge the two entries or rename one [duplicate-name]`},
	{"duplicate withdrawal", func(doc *document) { doc.Withdrawals = []declaration.Withdrawal{withdraw("desk", "v2")} },
		func(doc *document) { doc.Withdrawals = append(doc.Withdrawals, withdraw("desk", "v2")) }, `
withdrawals[desk@v2]: desk@v2 is declared twice; merge the two entries or rename one [duplicate-name]`},
	{"cascade named like a model", nil, func(doc *document) { doc.Cascades[0].ID = "desk"; doc.Workspaces[0].Cascades[0] = "desk" }, `
cascades[desk]: a model has the same name, and callers request both by the same field; give the cascade another name [name-clash]`},
	{"stable misspelt", nil, func(doc *document) { doc.Models[0].Stable = "vl" }, `
models[desk].stable: version of desk "vl" is not declared; did you mean "v1"? [unknown-name]`},
	{"stage misspelt", nil, func(doc *document) { doc.Cascades[0].Stages[1] = "draftr" }, `
cascades[quick].stages: model "draftr" is not declared; did you mean "drafter"? [unknown-name]`},
	{"allowed model misspelt", nil, func(doc *document) { doc.Workspaces[1].Allow[0].Model = "dsk" }, `
workspaces[districts].allow[dsk]: model "dsk" is not declared; did you mean "desk"? [unknown-name]`},
	{"removed version that is still allowed", nil, func(doc *document) { doc.Models[0].Versions = doc.Models[0].Versions[:1] }, `
workspaces[schools].allow[desk]: version of desk "v2" is not declared; did you mean "v1"? [unknown-name]`},
	{"service misspelt", nil, func(doc *document) { doc.Workspaces[0].Services[0] = "subsidies" }, `
workspaces[schools].services: service "subsidies" is not declared; did you mean "subsidy"? [unknown-name]`},
	{"cascade misspelt", nil, func(doc *document) { doc.Workspaces[0].Cascades[0] = "quik" }, `
workspaces[schools].cascades[quik]: cascade "quik" is not declared; did you mean "quick"? [unknown-name]`},
	{"model without versions", nil, func(doc *document) {
		doc.Models = append(doc.Models, declaration.Model{ID: "sketch", Stable: "v1"})
	}, `
models[sketch].versions: the model has no version, so nothing can run; declare at least one version [no-versions]`},
	{"service without operations", nil, func(doc *document) {
		doc.Services = append(doc.Services, declaration.Service{ID: "survey"})
	}, `
services[survey].operations: the service has no operation, so no call can be made; declare its operations [no-operations]`},
	{"quality in percent", nil, func(doc *document) { doc.Models[0].Versions[0].Quality = 70 }, `
models[desk].versions[v1].quality: 70 is not a quality; a quality is a share from 0 to 1; write 0.7 [quality-range]`},
	{"negative quality", nil, func(doc *document) { doc.Workspaces[1].Quality = -0.5 }, `
workspaces[districts].quality: -0.5 is not a quality; give a share from 0 to 1 [quality-range]`},
	{"negative price", nil, func(doc *document) { doc.Models[0].Versions[0].TokenPrice = -40 }, `
models[desk].versions[v1].token-price: the price -40 is negative, so callers would be paid for their requests; give a price of 0 or more, in thousandths of a cent [negative-price]`},
	{"cascade without stages", nil, func(doc *document) { doc.Cascades[0].Stages = nil }, `
cascades[quick].stages: the cascade has no stage; list the models from cheap to costly [no-stages]`},
	{"cascade from costly to cheap", nil, func(doc *document) { doc.Cascades[0].Stages = []core.ModelID{"drafter", "desk"} }, `
cascades[quick].stages: the costly model drafter (750) comes before the cheaper model desk (50); list the cheaper model first [cascade-order]`},
	{"cascade to a worse stage", nil, func(doc *document) { doc.Models[1].Versions[0].Quality = 0.6; doc.Workspaces[0].Quality = 0.7 }, `
cascades[quick].stages: drafter (quality 0.6) comes after desk (quality 0.7) and is worse; remove the stage or correct the qualities [cascade-order]`},
	{"stage that the workspace may not use", nil, func(doc *document) { doc.Workspaces[0].Allow = doc.Workspaces[0].Allow[:1] }, `
workspaces[schools].cascades[quick]: the workspace may use no version of the stage drafter; allow a version of drafter or remove the cascade [stage-not-allowed]`},
	{"workspace without permissions", nil, func(doc *document) { doc.Workspaces[1].Allow = nil }, `
workspaces[districts].allow: the workspace may use no model and no service; allow a version or a service [nothing-allowed]`},
	{"model allowed without a version", nil, func(doc *document) { doc.Workspaces[1].Allow[0].Versions = nil }, `
workspaces[districts].allow[desk]: no version of the model is allowed; list the versions or remove the entry [nothing-allowed]`},
	{"workspace without a key", nil, func(doc *document) { doc.Workspaces[1].KeyHashes = nil }, `
workspaces[districts].key-hashes: no key authenticates the workspace; add the SHA-256 digest of its key [no-key]`},
	{"plain key in place of its digest", nil, func(doc *document) {
		doc.Workspaces[1].KeyHashes = append(doc.Workspaces[1].KeyHashes, "districts-key")
	}, `
workspaces[districts].key-hashes[1]: not a SHA-256 digest (13 characters, not 64 of 0-9a-f); is it the key itself?; write the output of: printf %s "$KEY" | sha256sum; replace a key that was written to a file [key-not-digest]`},
	{"one key for two workspaces", nil, func(doc *document) { doc.Workspaces[1].KeyHashes = append(doc.Workspaces[1].KeyHashes, schoolsKey) }, `
workspaces[districts].key-hashes[1]: the key also authenticates workspace schools, so requests and bills would be assigned to only one of the two; give each workspace a key of its own [key-shared]`},
	{"zero share", nil, func(doc *document) { doc.Workspaces[1].Share = 0 }, `
workspaces[districts].share: a share of 0 gets no capacity under overload; give a share of at least 1 [share-range]`},
	{"negative limit", nil, func(doc *document) { doc.Workspaces[0].Limit = -1 }, `
workspaces[schools].limit: the limit -1 would reject every request; give a limit of at least 1, or leave it out for none [limit-range]`},
	{"limit with a missing zero", nil, func(doc *document) { doc.Workspaces[0].Limit = 20 }, `
workspaces[schools].limit: the limit falls from 200 to 20; is a zero missing?; lower it in smaller steps, or accept the risk: {"rule": "limit-cut", "place": "workspaces[schools].limit", "reason": "…"} [limit-cut]`},
	{"price with an extra zero", nil, func(doc *document) { doc.Models[1].Versions[0].TokenPrice = 6000 }, `
models[drafter].versions[v1].token-price: the price goes from 600 to 6000; is a zero missing or extra?; correct the price, or accept the risk: {"rule": "price-jump", "place": "models[drafter].versions[v1].token-price", "reason": "…"} [price-jump]`},
	{"roll-out of more than 100 percent", nil, func(doc *document) {
		doc.RollOuts = []declaration.RollOut{{Model: "desk", Version: "v2", Percent: 150}}
	}, `
roll-outs[desk].percent: 150% of new sessions is not possible; give 1 to 100; to stop a roll-out, remove it [percent-range]`},
	{"roll-out from 0 to 100 percent", nil, func(doc *document) {
		doc.RollOuts = []declaration.RollOut{{Model: "desk", Version: "v2", Percent: 100}}
	}, `
roll-outs[desk]: desk@v2 goes from 0% to 100% of new sessions in one step, so a bad version would reach nearly every caller; take a step of at most 50 points, or accept the risk: {"rule": "roll-out-step", "place": "roll-outs[desk]", "reason": "…"} [roll-out-step]`},
	{"roll-out of the stable version", nil, func(doc *document) {
		doc.RollOuts = []declaration.RollOut{{Model: "desk", Version: "v1", Percent: 10}}
	}, `
roll-outs[desk].version: desk@v1 is the stable version already, so all sessions get it; remove the roll-out or name another version as stable [roll-out-of-stable]`},
	{"roll-out of a withdrawn version", func(doc *document) { doc.Withdrawals = []declaration.Withdrawal{withdraw("desk", "v2")} },
		func(doc *document) {
			doc.RollOuts = []declaration.RollOut{{Model: "desk", Version: "v2", Percent: 10}}
		}, `
roll-outs[desk].version: desk@v2 is withdrawn and rolled out at the same time; remove the roll-out or the withdrawal [roll-out-of-withdrawn]`},
	{"roll-out of a version that no workspace may use", func(doc *document) { doc.Workspaces[0].Allow[0].Versions = []core.VersionID{"v1"} },
		func(doc *document) {
			doc.RollOuts = []declaration.RollOut{{Model: "desk", Version: "v2", Percent: 10}}
		}, `
roll-outs[desk].version: no workspace may use desk@v2, so the roll-out reaches nobody; add the version to the allow list of the intended workspaces [roll-out-unseen]`},
	{"workspace with only the rolled-out version", nil, func(doc *document) {
		doc.RollOuts = []declaration.RollOut{{Model: "desk", Version: "v2", Percent: 10}}
		doc.Workspaces[1].Allow[0].Versions = []core.VersionID{"v2"}
	}, `
workspaces[districts].allow[desk]: only desk@v2, which is being rolled out, can serve the workspace, so the other 90% of new sessions have no version; allow the stable version v1 too [only-roll-out-allowed]`},
	{"new stable version without a roll-out", nil, func(doc *document) { doc.Models[0].Stable = "v2" }, `
models[desk].stable: desk@v2 becomes stable with 0% of new sessions so far; roll it out to at least 50% first, or accept the risk: {"rule": "stable-step", "place": "models[desk].stable", "reason": "…"} [stable-step]`},
	{"stable version withdrawn", nil, func(doc *document) {
		doc.Workspaces[1].Allow[0].Versions = []core.VersionID{"v1", "v2"}
		doc.Withdrawals = []declaration.Withdrawal{withdraw("desk", "v1")}
	}, `
models[desk].stable: desk@v1 is withdrawn, so new sessions have no stable version; name a version as stable that is not withdrawn [stable-withdrawn]`},
	{"only version withdrawn", nil, func(doc *document) {
		doc.Workspaces[0].Quality = 0.7
		doc.Withdrawals = []declaration.Withdrawal{withdraw("drafter", "v1")}
	}, `
withdrawals[drafter@v1]: every version of drafter is withdrawn, so every request for it would be rejected; declare a replacement version first, or accept the risk: {"rule": "only-version-withdrawn", "place": "withdrawals[drafter@v1]", "reason": "…"} [only-version-withdrawn]`},
	{"workspace left without a version", nil, func(doc *document) {
		doc.Models[0].Stable = "v2"
		doc.Withdrawals = []declaration.Withdrawal{withdraw("desk", "v1")}
	}, `
workspaces[districts].allow[desk]: every version of desk that the workspace may use is withdrawn, so its requests would be rejected; allow a version that can serve, or accept the risk: {"rule": "no-version-left", "place": "workspaces[districts].allow[desk]", "reason": "…"} [no-version-left]`},
	{"withdrawal without a reason", nil, func(doc *document) {
		doc.Withdrawals = []declaration.Withdrawal{{Model: "desk", Version: "v2"}}
	}, `
withdrawals[desk@v2].reason: the withdrawal has no reason; give a reason; it is returned to callers whose session moves [no-reason]`},
	{"withdrawal of an unknown version", nil, func(doc *document) {
		doc.Withdrawals = []declaration.Withdrawal{withdraw("desk", "v22")}
	}, `
withdrawals[desk@v22]: version of desk "v22" is not declared; did you mean "v2"? [unknown-name]`},
	{"withdrawal lifted by an old file", func(doc *document) { doc.Withdrawals = []declaration.Withdrawal{withdraw("desk", "v2")} },
		func(doc *document) { doc.Withdrawals = nil }, `
withdrawals[desk@v2]: desk@v2 was withdrawn (wrong prices) and would serve again; keep the withdrawal, or accept the risk: {"rule": "withdrawal-lifted", "place": "withdrawals[desk@v2]", "reason": "…"} [withdrawal-lifted]`},
	{"halt lifted by an old file", func(doc *document) {
		doc.RollOuts = []declaration.RollOut{{Model: "desk", Version: "v2", Percent: 10, Halted: "20 of 40 rated bad"}}
	}, func(doc *document) { doc.RollOuts[0].Halted = "" }, `
roll-outs[desk].halted: the roll-out of desk@v2 was halted (20 of 40 rated bad) and would resume; remove the roll-out, or keep "halted": "20 of 40 rated bad", or accept the risk: {"rule": "halt-lifted", "place": "roll-outs[desk].halted", "reason": "…"} [halt-lifted]`},
	{"version removed while in use", func(doc *document) { doc.Workspaces[0].Allow[0].Versions = []core.VersionID{"v1", "v2"} },
		func(doc *document) {
			doc.Models[0].Versions = doc.Models[0].Versions[:1]
			doc.Workspaces[0].Allow[0].Versions = []core.VersionID{"v1"}
		}, `
models[desk].versions[v2]: desk@v2 is removed while workspace schools uses it; withdraw it first, and remove it when no session is left on it, or accept the risk: {"rule": "version-dropped", "place": "models[desk].versions[v2]", "reason": "…"} [version-dropped]`},
	{"workspace omitted", nil, func(doc *document) { doc.Workspaces = doc.Workspaces[:1] }, `
workspaces[districts]: the workspace is removed, so its callers would be rejected; keep the workspace, or accept the risk: {"rule": "workspace-removed", "place": "workspaces[districts]", "reason": "…"} [workspace-removed]`},
	{"all keys replaced at once", nil, func(doc *document) { doc.Workspaces[1].KeyHashes = []string{otherKey} }, `
workspaces[districts].key-hashes: all keys are replaced at once, so callers are rejected until they use a new one; add the new key, and remove the old one later, or accept the risk: {"rule": "keys-replaced", "place": "workspaces[districts].key-hashes", "reason": "…"} [keys-replaced]`},
	{"at-most-once omitted", nil, func(doc *document) { doc.Services[0].Operations[0].AtMostOnce = false }, `
services[subsidy].operations[claim].at-most-once: the operation could run twice for one call; keep at-most-once, or accept the risk: {"rule": "at-most-once-dropped", "place": "services[subsidy].operations[claim].at-most-once", "reason": "…"} [at-most-once-dropped]`},
	{"target above the quality of every stage", nil, func(doc *document) { doc.Workspaces[0].Quality = 0.99 }, `
workspaces[schools].cascades[quick]: no stage has the quality 0.99 (the best has 0.95), so requests would escalate through every stage and be charged for each; lower the target or add a better stage, or accept the risk: {"rule": "quality-out-of-reach", "place": "workspaces[schools].cascades[quick]", "reason": "…"} [quality-out-of-reach]`},
	{"accepted risk misspelt", nil, func(doc *document) {
		doc.AcceptRisks = []declaration.AcceptRisk{{Rule: "rollout-step", Place: "roll-outs[desk]", Reason: "tried at night"}}
	}, `
accept-risks[0].rule: risk "rollout-step" is not declared; did you mean "roll-out-step"? [unknown-risk]`},
	{"accepted risk that does not exist", nil, func(doc *document) {
		doc.AcceptRisks = []declaration.AcceptRisk{{Rule: "roll-out-step", Place: "roll-outs[desk]", Reason: "tried at night"}}
	}, `
accept-risks[0]: there is no risk roll-out-step at roll-outs[desk]; remove the entry or correct its place [idle-accept-risk]`},
	{"accepted risk without a reason", func(doc *document) { doc.Workspaces[0].Quality = 0.99 }, func(doc *document) {
		doc.AcceptRisks = []declaration.AcceptRisk{{Rule: "quality-out-of-reach", Place: "workspaces[schools].cascades[quick]"}}
	}, `
accept-risks[0].reason: the risk is accepted without a reason; give a reason; it is recorded in the audit trail [no-reason]`},
	{"region without zones", withZones, func(doc *document) { doc.Workspaces[0].Regions = []core.Region{"muc", "neu"} }, `
workspaces[schools].regions: region "neu" is not declared; did you mean "nue"? [unknown-name]`},
	{"zone without a region", withZones, func(doc *document) { doc.Zones[0].Region = "" }, `
zones[muc-a].region: the name is empty; name the region that contains the zone [bad-name]`},
	{"duplicate zone", withZones, func(doc *document) { doc.Zones[1].ID = "muc-a" }, `
zones[muc-a]: muc-a is declared twice; merge the two entries or rename one [duplicate-name]`},
	{"all zones of a workspace's region evacuated", withZones, func(doc *document) {
		doc.Workspaces[0].Regions = []core.Region{"nue"}
		doc.Zones[2].Evacuated = "power works"
	}, `
workspaces[schools].regions: all zones in the regions of the workspace (nue) are evacuated, so its requests would be rejected; end one of the evacuations, or accept the risk: {"rule": "no-zone-left", "place": "workspaces[schools].regions", "reason": "…"} [no-zone-left]`},
	{"file from before an evacuation", func(doc *document) {
		withZones(doc)
		doc.Zones[1].Evacuated = "power works"
	}, func(doc *document) { doc.Zones[1].Evacuated = "" }, `
zones[muc-b].evacuated: the zone is evacuated (power works) and would get work again; keep "evacuated": "power works", or end it by: skylarkstand evacuate muc-b --end, or accept the risk: {"rule": "evacuation-lifted", "place": "zones[muc-b].evacuated", "reason": "…"} [evacuation-lifted]`},
	{"workspace no longer restricted to its region", func(doc *document) {
		withZones(doc)
		doc.Workspaces[0].Regions = []core.Region{"muc"}
	}, func(doc *document) { doc.Workspaces[0].Regions = nil }, `
workspaces[schools].regions: requests were restricted to muc and could be served in any; keep the regions, or accept the risk: {"rule": "regions-widened", "place": "workspaces[schools].regions", "reason": "…"} [regions-widened]`},
}

// withZones declares three zones in two regions.
func withZones(doc *document) {
	doc.Zones = []declaration.AvailabilityZone{{ID: "muc-a", Region: "muc"}, {ID: "muc-b", Region: "muc"}, {ID: "nue-a", Region: "nue"}}
}
