package declaration_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/declaration"
)

const (
	schoolsKey   = "c2b2c8d9d0bbecf03be7238fcd16281cf54e084a4bcdd02cd5fd0a7fd1dd6b3c"
	districtsKey = "43ef4aaad189a7e1e6c51ec5c4c4c9c5c18c2f6d95c944ec2a5b8399bb536651"
	otherKey     = "0000000000000000000000000000000000000000000000000000000000000000"
)

// validDocument returns a valid document.
func validDocument() *declaration.Document {
	return &declaration.Document{
		Models: []declaration.Model{
			{ID: "desk", Stable: "v1", Versions: []declaration.Version{
				{ID: "v1", Quality: 0.7, PromptPrice: 10, TokenPrice: 40}, {ID: "v2", Quality: 0.75, PromptPrice: 10, TokenPrice: 40},
			}},
			{ID: "drafter", Stable: "v1", Versions: []declaration.Version{{ID: "v1", Quality: 0.95, PromptPrice: 150, TokenPrice: 600}}},
		},
		Services: []declaration.Service{{ID: "subsidy", Operations: []declaration.Operation{
			{ID: "claim", AtMostOnce: true, Price: 500}, {ID: "price-lookup", Price: 5},
		}}},
		Cascades: []declaration.Cascade{{ID: "quick", Stages: []core.ModelID{"desk", "drafter"}}},
		Workspaces: []declaration.Workspace{
			{
				ID: "schools", KeyHashes: []string{schoolsKey}, Share: 2, Quality: 0.9, LatencyPrice: 5, Limit: 200,
				Allow:    []declaration.Allow{{Model: "desk", Versions: []core.VersionID{"v1", "v2"}}, {Model: "drafter", Versions: []core.VersionID{"v1"}}},
				Services: []core.ServiceID{"subsidy"}, Cascades: []core.CascadeID{"quick"},
			},
			{
				ID: "districts", KeyHashes: []string{districtsKey}, Share: 1, Quality: 0.7, LatencyPrice: 5,
				Allow: []declaration.Allow{{Model: "desk", Versions: []core.VersionID{"v1"}}},
			},
		},
	}
}

func withdraw(model core.ModelID, version core.VersionID) declaration.Withdrawal {
	return declaration.Withdrawal{Model: model, Version: version, Reason: "wrong prices"}
}

// Each scenario introduces a mistake into a valid document. The test compares the
// whole message, since an operator needs each part of it to correct the mistake:
// place, reason, remedy and rule.
func TestMistakesAreNamedWithPlaceReasonAndRemedy(t *testing.T) {
	for _, sc := range mistakeCases {
		t.Run(sc.testName, func(t *testing.T) {
			from, to := validDocument(), validDocument()
			if sc.before != nil {
				sc.before(from)
				sc.before(to)
			}
			sc.mistake(to)
			err := declaration.CheckChange(from, to)
			assert.Assert(t, err != nil, "CheckChange reported no mistake")
			assert.Equal(t, err.Error(), strings.TrimSpace(sc.want))
		})
	}
}

func TestValidDocumentHasNoMistake(t *testing.T) {
	assert.NilError(t, validDocument().Check())
	assert.NilError(t, declaration.CheckChange(&declaration.Document{}, validDocument()))
	assert.NilError(t, declaration.CheckChange(validDocument(), validDocument()))
}

// If a check reported only the first mistake, ten mistakes would take ten runs, and
// an operator might stop checking.
func TestAllMistakesAreReportedAtOnce(t *testing.T) {
	doc := validDocument()
	doc.Models[0].Stable = "v3"
	doc.Workspaces[0].Share = 0
	doc.Workspaces[1].KeyHashes = nil
	doc.Cascades[0].Stages = nil
	err := doc.Check()
	assert.Equal(t, len(strings.Split(err.Error(), "\n")), 4, err.Error())
}

// Two teams maintain a file each, and both declare the same workspace. Whichever
// entry were used, the other team's changes would have no effect.
func TestJoinReportsBothFilesOfADuplicate(t *testing.T) {
	shared, own := validDocument(), &declaration.Document{Workspaces: validDocument().Workspaces[:1]}
	_, err := declaration.Join([]declaration.Source{{Name: "shared.json", Document: *shared}, {Name: "schools.json", Document: *own}})
	assert.Error(t, err, "workspace schools: it is declared in shared.json and in schools.json; keep it in one of the two [duplicate-name]")

	own.Workspaces[0].ID, own.Workspaces[0].KeyHashes = "museums", []string{otherKey}
	doc, err := declaration.Join([]declaration.Source{{Name: "shared.json", Document: *shared}, {Name: "museums.json", Document: *own}})
	assert.NilError(t, err)
	assert.NilError(t, doc.Check())
	assert.Equal(t, len(doc.Workspaces), 3)
}

// A risk that the document accepts with a reason passes the check and is returned for
// the audit record.
func TestAcceptedRiskPassesAndIsKept(t *testing.T) {
	to := validDocument()
	to.RollOuts = []declaration.RollOut{{Model: "desk", Version: "v2", Percent: 100}}
	risk := declaration.AcceptRisk{Rule: string(declaration.RollOutStep), Place: "roll-outs[desk]", Reason: "v1 leaks addresses"}
	to.AcceptRisks = []declaration.AcceptRisk{risk}
	assert.NilError(t, declaration.CheckChange(validDocument(), to))
	assert.DeepEqual(t, declaration.AcceptedRisks(validDocument(), to), []declaration.AcceptRisk{risk})
	assert.NilError(t, to.Check(), "Check must not report an unused accept-risks entry about a change, since it sees no change")
}

// A plain key is pasted in place of its digest. The message appears on a terminal, in
// a review and possibly in a log, where it would expose the key.
func TestPlainKeyIsNeverPrinted(t *testing.T) {
	doc := validDocument()
	doc.Workspaces[0].KeyHashes = []string{"schools-secret-key"}
	err := doc.Check()
	assert.ErrorContains(t, err, "is it the key itself?")
	assert.Assert(t, !strings.Contains(err.Error(), "schools-secret-key"))
}

// A file has breaches of the schema as well as mistakes of content. Load reports both
// in one list, and suggests the correct name for each misspelt field.
func TestLoadReportsSchemaAndContentTogether(t *testing.T) {
	_, err := declaration.Load([]byte(`{
		// comments are fine
		"withdrawals": [{"model": "desk", "version": "v1", "reason": "leaks"}],
		"withdrawals": [],
		"models": [{"id": "desk", "stable": "v2", "versions": [{"id": "v1", "qualty": 0.7, "prompt-price": 1, "token-price": 2}]}],
		"workspaces": [{"id": "schools", "key-hashes": [], "share": 1, "quality": 0.5, "latency-price": 1, "limit": 0,
			"allow": [{"model": "desk", "versions": ["v1"]}]}],
	}`))
	assert.Error(t, err, strings.TrimSpace(`
models[0].versions[0].quality: is missing; set it [schema]
models[0].versions[0].qualty: there is no such field; did you mean "quality"? [schema]
withdrawals: is given twice, and only the last value would be used; merge the two [schema]
workspaces[0].limit: 0 is too small; give at least 1 [schema]
models[desk].stable: version of desk "v2" is not declared; did you mean "v1"? [unknown-name]
workspaces[schools].key-hashes: no key authenticates the workspace; add the SHA-256 digest of its key [no-key]`))
}
