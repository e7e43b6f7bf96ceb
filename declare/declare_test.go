package declare_test

import (
	"os/exec"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"skylarkstand/declare"
)

// Common mistakes in an operator's program must be compile errors, so that no file
// exists that could be applied by mistake.
func TestMistakesDoNotCompile(t *testing.T) {
	for _, sc := range []struct{ testName, want string }{
		{"undeclared_version", "undefined: v2"},
		{"version_as_text", "as declare.Release value"},
		{"cascade_of_one", "not enough arguments in call to cf.Cascade"},
		{"cascade_over_service", "as *declare.Model value"},
		{"plain_key", "as declare.Digest value"},
		{"model_without_stable", "not enough arguments in call to cf.Model"},
		{"withdraw_model", "desk.Withdraw undefined"},
	} {
		t.Run(sc.testName, func(t *testing.T) {
			out, err := exec.Command("go", "vet", "./testdata/"+sc.testName).CombinedOutput()
			assert.Assert(t, err != nil, "the program compiles")
			assert.Assert(t, strings.Contains(string(out), sc.want), string(out))
		})
	}
}

// Mistakes that the compiler cannot find are found when the program prints. If the
// file were printed nevertheless, a script would continue and apply it.
func TestConfigurationWithMistakesIsNotPrinted(t *testing.T) {
	cf := declare.New()
	_, v1 := cf.Model("desk", "v1", declare.Version{Quality: 70})
	cf.Workspace("schools", declare.Terms{Share: 1}, declare.DigestOf("schools-key")).Allow(v1)
	var sb strings.Builder
	err := cf.Print(&sb)
	assert.Equal(t, sb.String(), "")
	assert.ErrorContains(t, err, "models[desk].versions[v1].quality: 70 is not a quality")
	assert.ErrorContains(t, err, "workspaces[schools].key-hashes[0]: not a SHA-256 digest")
}

func TestRollOutsAndWithdrawalsBelongToTheirVersion(t *testing.T) {
	cf := declare.New()
	desk, v1 := cf.Model("desk", "v1", declare.Version{})
	v2 := desk.Version("v2", declare.Version{})
	_, other := cf.Model("drafter", "v1", declare.Version{})
	v2.MakeStable()
	v1.Withdraw("leaks")
	other.RollOut(5)
	doc := cf.Document()
	assert.Equal(t, string(doc.Models[0].Stable), "v2")
	assert.Equal(t, string(doc.Withdrawals[0].Model)+"@"+string(doc.Withdrawals[0].Version), "desk@v1")
	assert.Equal(t, string(doc.RollOuts[0].Model), "drafter")
}
