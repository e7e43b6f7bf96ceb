package meter_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"skylarkstand/core/meter"
)

// Somebody adds a metric beside the catalogue. Operators see a name on the page
// of a process that no documentation has.
func TestEveryMetricIsInTheCatalogue(t *testing.T) {
	const root = "../.."
	err := filepath.WalkDir(root, func(path string, de fs.DirEntry, err error) error {
		if err != nil || de.IsDir() || !strings.HasSuffix(path, ".go") || strings.Contains(path, "core/meter/") {
			return err
		}
		fset := token.NewFileSet()
		fi, err := parser.ParseFile(fset, path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(fi, func(no ast.Node) bool {
			ca, ok := no.(*ast.CallExpr)
			if !ok {
				return true
			}
			if se, ok := ca.Fun.(*ast.SelectorExpr); ok && len(ca.Args) > 0 && (se.Sel.Name == "Counter" || se.Sel.Name == "Gauge" || se.Sel.Name == "Timer") {
				t.Errorf("%s: a metric that is not of core/meter", fset.Position(ca.Pos()))
			}
			return true
		})
		return nil
	})
	assert.NilError(t, err)
}

// A metric whose name says no unit is read in the wrong one.
func TestNamesSayTheirUnits(t *testing.T) {
	seen := map[string]bool{}
	for _, me := range meter.Catalogue() {
		assert.Assert(t, !seen[me.Name], "%s is there twice", me.Name)
		seen[me.Name] = true
		assert.Equal(t, me.Name, strings.ToLower(me.Name))
		if me.Kind == meter.Histogram {
			assert.Assert(t, strings.HasSuffix(me.Name, "-seconds"), me.Name)
		}
	}
}
