package main

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func readDoc(t *testing.T, path string) string {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("..", "..", path))
	assert.NilError(t, err)
	return string(raw)
}

// Somebody measures the slopes again, or edits a count, and leaves the
// products as they were. A reader then plans hosts by figures that no
// measurement gave.
func TestPageIsInStepWithTable(t *testing.T) {
	slopes, err := parseSlopes(readDoc(t, tablePath))
	assert.NilError(t, err)
	page := readDoc(t, capacityPath)
	renewed, err := recompute(page, slopes)
	assert.NilError(t, err)
	assert.Equal(t, page, renewed, "run `go run ./test/slopes page`")
	computed := regexp.MustCompile("(?m)^\\|[^|]*\\|[^|]*`[a-z0-9-]+`[^|]*\\|[^|]*\\|[^|]*\\|[^|]*\\|$").FindAllString(page, -1)
	assert.Assert(t, len(computed) >= 40, "the page has %d computed lines", len(computed))
}

// A section is dropped from the run, and its slopes go from the table though
// the page still multiplies them; or a line has too few sizes to be one.
func TestTableIsWhole(t *testing.T) {
	lines := 0
	for line := range strings.Lines(readDoc(t, tablePath)) {
		cells := cellsOf(line)
		if len(cells) != 7 || !strings.HasPrefix(cells[0], "`") {
			continue
		}
		lines++
		assert.Assert(t, strings.Count(cells[6], ";") >= 2, "%s has fewer than three sizes", cells[0])
	}
	assert.Assert(t, lines >= 40, "the table has %d slopes", lines)
}

func TestRecompute(t *testing.T) {
	slopes := map[string]slope{
		"link-memory":       {name: "link-memory", dim: bytesOf, fit: fit{60e3, 20e6, 0}},
		"request-processor": {name: "request-processor", dim: coreSeconds, fit: fit{500e-6, 0, 0}},
	}
	scenarios := []struct{ testName, line, want, fault string }{
		{"a count", "| a | 100 x `link-memory` | old | - | old |", "| a | 100 x `link-memory` | 6 MB | - | - |", ""},
		{"a size, over its budget", "| a | `link-memory` at 1,000 |  | 64 MB | |", "| a | `link-memory` at 1,000 | 80 MB | 64 MB | **over** |", ""},
		{"a rate becomes a share of a core", "| a | 10/s x `request-processor` | | 1.2 % core | |", "| a | 10/s x `request-processor` | 0.5 % core | 1.2 % core | within |", ""},
		{"a sum", "| a | `link-memory` at 0 + 3 MB | | - | |", "| a | `link-memory` at 0 + 3 MB | 23 MB | - | - |", ""},
		{"another table stays", "| a | b | c |", "| a | b | c |", ""},
		{"an unknown slope", "| a | 2 x `gone` | 1 B | - | - |", "", "there is no slope"},
		{"unlike quantities", "| a | 1 x `link-memory` + 3 s | 1 B | - | - |", "", "adds unlike"},
		{"a budget of another kind", "| a | 1 x `link-memory` | 1 B | 3 s | - |", "", "measures something else"},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			got, err := recompute(sc.line+"\n", slopes)
			if sc.fault != "" {
				assert.ErrorContains(t, err, sc.fault)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, got, sc.want+"\n")
		})
	}
}

func TestQuantitiesReadBack(t *testing.T) {
	for _, qu := range []quantity{{61_500, bytesOf}, {-498, bytesOf}, {1.61e6, bytesPerSecond}, {0.0000394, cores}, {7.3, cores}, {138e-6, coreSeconds}, {0.704, seconds}, {12_000, number}} {
		got, err := parseQuantity(qu.String())
		assert.NilError(t, err)
		assert.Equal(t, got.dim, qu.dim)
		assert.Assert(t, got.value/qu.value > 0.99 && got.value/qu.value < 1.01, "%s is not %g", qu, qu.value)
	}
}
