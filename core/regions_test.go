package core_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
)

func TestRegions(t *testing.T) {
	scenarios := []struct {
		testName         string
		route, workspace []core.Region
		allowed, denied  []core.Region
		text             string
	}{
		{"no restriction", nil, nil, []core.Region{"muc", "nue"}, nil, "any"},
		{"the route restricts", []core.Region{"muc"}, nil, []core.Region{"muc"}, []core.Region{"nue"}, "muc"},
		{"the workspace restricts", nil, []core.Region{"nue"}, []core.Region{"nue"}, []core.Region{"muc"}, "nue"},
		{"both restrict", []core.Region{"muc", "nue"}, []core.Region{"nue", "ber"}, []core.Region{"nue"}, []core.Region{"muc", "ber"}, "nue"},
		{"no common region", []core.Region{"muc"}, []core.Region{"nue"}, nil, []core.Region{"muc", "nue"}, "none"},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			both := core.OnlyRegions(sc.route...).Intersect(core.OnlyRegions(sc.workspace...))
			for _, name := range sc.allowed {
				assert.Assert(t, both.Allows(name), name)
			}
			for _, name := range sc.denied {
				assert.Assert(t, !both.Allows(name), name)
			}
			assert.Equal(t, both.String(), sc.text)
			assert.Equal(t, both, core.OnlyRegions(sc.workspace...).Intersect(core.OnlyRegions(sc.route...)))
		})
	}
}
