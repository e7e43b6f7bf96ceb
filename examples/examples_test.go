// Package examples_test runs the example programs, compares their output with the committed files,
// and publishes those files as the operator commands do.
package examples_test

import (
	"bytes"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"skylarkstand/core/declaration"
	"skylarkstand/core/declaration/publish"
	"skylarkstand/io/store"
	"skylarkstand/load"
	standin "skylarkstand/standin/store"
)

var names = []string{"landesamt", "association"}

// Guards against a committed file that differs from the program's output: reviewers read the file,
// so they would have reviewed a configuration that is never applied.
func TestProgramPrintsTheCommittedFile(t *testing.T) {
	for _, name := range names {
		t.Run(name, func(t *testing.T) {
			got, err := exec.Command("go", "run", "./"+name).Output()
			assert.NilError(t, err)
			want, err := os.ReadFile(filepath.Join(name, "configuration.json"))
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(got, want), "the committed file is outdated; regenerate it: go run ./examples/%s >examples/%s/configuration.json", name, name)
		})
	}
}

func TestMixIsValid(t *testing.T) {
	raw, err := os.ReadFile("mix.jsonc")
	assert.NilError(t, err)
	_, err = load.ParseMix(raw)
	assert.NilError(t, err)
}

func TestExamplePassesCheckDiffAndApply(t *testing.T) {
	for _, name := range names {
		t.Run(name, func(t *testing.T) {
			srv := httptest.NewServer(standin.New())
			defer srv.Close()
			raw, err := os.ReadFile(filepath.Join(name, "configuration.json"))
			assert.NilError(t, err)
			doc, err := declaration.Load(raw)
			assert.NilError(t, err)
			assert.Equal(t, len(doc.Workspaces), 10)

			pub := publish.New(store.New(srv.URL))
			pr := publish.Proposal{Document: doc, Who: "ana", Why: "first set-up"}
			shown, err := pub.Prepare(t.Context(), pr)
			assert.NilError(t, err)
			res, err := pub.Apply(t.Context(), pr)
			assert.NilError(t, err)
			assert.DeepEqual(t, res.After.Audit.Changed, shown.After.Audit.Changed)

			// The next step of the roll-out, based on the generation in force.
			doc.RollOuts[0].Percent = 40
			res, err = pub.Apply(t.Context(), publish.Proposal{Document: doc, Base: 1, Who: "mei", Why: "no complaints"})
			assert.NilError(t, err)
			assert.Equal(t, len(res.After.Audit.Changed), 1)
			assert.Equal(t, len(res.After.Audit.Effects), 1)
			assert.Assert(t, strings.HasPrefix(res.After.Audit.Effects[0], "all 10 workspaces: 3"), res.After.Audit.Effects[0])
		})
	}
}
