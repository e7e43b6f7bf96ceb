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

// Guards against metrics created outside the catalogue: operators would see undocumented
// names on the metrics endpoint of a process.
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
				t.Errorf("%s: metric created outside the catalogue; declare it in core/meter", fset.Position(ca.Pos()))
			}
			return true
		})
		return nil
	})
	assert.NilError(t, err)
}

// Guards against metrics whose name lacks the unit, which are read in the wrong unit, and
// against duplicate names.
func TestNamesContainUnits(t *testing.T) {
	seen := map[string]bool{}
	for _, me := range meter.Catalogue() {
		assert.Assert(t, !seen[me.Name], "metric %s is listed twice", me.Name)
		seen[me.Name] = true
		assert.Equal(t, me.Name, strings.ToLower(me.Name))
		if me.Kind == meter.Histogram {
			assert.Assert(t, strings.HasSuffix(me.Name, "-seconds"), me.Name)
		}
	}
}
