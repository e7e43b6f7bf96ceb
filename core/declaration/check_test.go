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

// sound returns a document without mistakes.
func sound() *declaration.Document {
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

// Each scenario is a slip that an operator made in a sound document. What the
// operator then reads decides whether it is mended in a minute or guessed at,
// so the whole line is held: place, reason, remedy and rule.
func TestMistakesAreNamedWithPlaceReasonAndRemedy(t *testing.T) {
	for _, sc := range mistakes {
		t.Run(sc.testName, func(t *testing.T) {
			from, to := sound(), sound()
			if sc.before != nil {
				sc.before(from)
				sc.before(to)
			}
			sc.slip(to)
			err := declaration.CheckChange(from, to)
			assert.Assert(t, err != nil, "no mistake was found")
			assert.Equal(t, err.Error(), strings.TrimSpace(sc.want))
		})
	}
}

func TestSoundDocumentHasNoMistake(t *testing.T) {
	assert.NilError(t, sound().Check())
	assert.NilError(t, declaration.CheckChange(&declaration.Document{}, sound()))
	assert.NilError(t, declaration.CheckChange(sound(), sound()))
}

// An operator sees one mistake, mends it, and meets the next: with ten of them
// that is ten runs, and the temptation to give up on checking.
func TestAllMistakesAreReportedAtOnce(t *testing.T) {
	doc := sound()
	doc.Models[0].Stable = "v3"
	doc.Workspaces[0].Share = 0
	doc.Workspaces[1].KeyHashes = nil
	doc.Cascades[0].Stages = nil
	err := doc.Check()
	assert.Equal(t, len(strings.Split(err.Error(), "\n")), 4, err.Error())
}

// Two teams keep a file each, and both declare a workspace. Whichever entry
// won, one of the teams would see its change without effect.
func TestJoinNamesBothFilesOfADoubledThing(t *testing.T) {
	shared, own := sound(), &declaration.Document{Workspaces: sound().Workspaces[:1]}
	_, err := declaration.Join([]declaration.Source{{Name: "shared.json", Document: *shared}, {Name: "schools.json", Document: *own}})
	assert.Error(t, err, "workspace schools: it is declared in shared.json and in schools.json; keep it in one of the two [duplicate-name]")

	own.Workspaces[0].ID, own.Workspaces[0].KeyHashes = "museums", []string{otherKey}
	doc, err := declaration.Join([]declaration.Source{{Name: "shared.json", Document: *shared}, {Name: "museums.json", Document: *own}})
	assert.NilError(t, err)
	assert.NilError(t, doc.Check())
	assert.Equal(t, len(doc.Workspaces), 3)
}

// A risk that is named with a reason passes, and the audit trail can tell it.
func TestAcceptedRiskPassesAndIsKept(t *testing.T) {
	to := sound()
	to.RollOuts = []declaration.RollOut{{Model: "desk", Version: "v2", Percent: 100}}
	risk := declaration.AcceptRisk{Rule: string(declaration.RollOutStep), Place: "roll-outs[desk]", Reason: "v1 leaks addresses"}
	to.AcceptRisks = []declaration.AcceptRisk{risk}
	assert.NilError(t, declaration.CheckChange(sound(), to))
	assert.DeepEqual(t, declaration.Accepted(sound(), to), []declaration.AcceptRisk{risk})
	assert.NilError(t, to.Check(), "a risk of the step cannot be missed where there is no step")
}

// A plain key was pasted where its digest belongs. The message goes to a
// terminal, a review and perhaps a log, where the key would be read by others.
func TestPlainKeyIsNeverPrinted(t *testing.T) {
	doc := sound()
	doc.Workspaces[0].KeyHashes = []string{"schools-secret-key"}
	err := doc.Check()
	assert.ErrorContains(t, err, "is it the key itself?")
	assert.Assert(t, !strings.Contains(err.Error(), "schools-secret-key"))
}

// A file has slips of form beside slips of content. Both kinds come in one
// list, and each misspelt field with the name that was meant.
func TestLoadReportsFormAndContentTogether(t *testing.T) {
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
withdrawals: stands twice, and only the last would count; merge the two [schema]
workspaces[0].limit: 0 is too small; give at least 1 [schema]
models[desk].stable: version of desk "v2" is not declared; did you mean "v1"? [unknown-name]
workspaces[schools].key-hashes: no key opens the workspace; add the SHA-256 digest of its key [no-key]`))
}
