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

// Guards against results in docs/CAPACITY.md that no measurement gave: the slopes are measured again,
// or a count is edited, and the results are not recomputed. Hosts are then planned by wrong figures.
func TestCapacityPageMatchesSlopes(t *testing.T) {
	slopes, err := parseSlopes(readDoc(t, tablePath))
	assert.NilError(t, err)
	page := readDoc(t, capacityPath)
	renewed, err := recompute(page, slopes)
	assert.NilError(t, err)
	assert.Equal(t, page, renewed, "docs/CAPACITY.md is outdated: run `go run ./test/slopes page`")
	computed := regexp.MustCompile("(?m)^\\|[^|]*\\|[^|]*`[a-z0-9-]+`[^|]*\\|[^|]*\\|[^|]*\\|[^|]*\\|$").FindAllString(page, -1)
	assert.Assert(t, len(computed) >= 40, "docs/CAPACITY.md has %d computed lines, want at least 40", len(computed))
}

// Guards against an incomplete docs/slopes.md: a section is dropped from the run, so that slopes are
// missing from the table which docs/CAPACITY.md still uses, or a line is fitted to fewer than three
// sizes.
func TestSlopeTableIsComplete(t *testing.T) {
	lines := 0
	for line := range strings.Lines(readDoc(t, tablePath)) {
		cells := cellsOf(line)
		if len(cells) != 7 || !strings.HasPrefix(cells[0], "`") {
			continue
		}
		lines++
		assert.Assert(t, strings.Count(cells[6], ";") >= 2, "slope %s was measured at fewer than three sizes", cells[0])
	}
	assert.Assert(t, lines >= 40, "docs/slopes.md has %d slopes, want at least 40", lines)
}

func TestRecomputeReplacesResults(t *testing.T) {
	slopes := map[string]slope{
		"link-memory":       {name: "link-memory", dim: byteCount, fit: fit{60e3, 20e6, 0}},
		"request-processor": {name: "request-processor", dim: coreSeconds, fit: fit{500e-6, 0, 0}},
	}
	scenarios := []struct{ testName, line, want, fault string }{
		{"count", "| a | 100 x `link-memory` | old | - | old |", "| a | 100 x `link-memory` | 6 MB | - | - |", ""},
		{"size, over the budget", "| a | `link-memory` at 1,000 |  | 64 MB | |", "| a | `link-memory` at 1,000 | 80 MB | 64 MB | **over** |", ""},
		{"rate of processor time is a share of a core", "| a | 10/s x `request-processor` | | 1.2 % core | |", "| a | 10/s x `request-processor` | 0.5 % core | 1.2 % core | within |", ""},
		{"sum", "| a | `link-memory` at 0 + 3 MB | | - | |", "| a | `link-memory` at 0 + 3 MB | 23 MB | - | - |", ""},
		{"line of another table is unchanged", "| a | b | c |", "| a | b | c |", ""},
		{"unknown slope", "| a | 2 x `gone` | 1 B | - | - |", "", "slope `gone` does not exist"},
		{"sum of different dimensions", "| a | 1 x `link-memory` + 3 s | 1 B | - | - |", "", "adds quantities of different dimensions"},
		{"budget of another dimension", "| a | 1 x `link-memory` | 1 B | 3 s | - |", "", "the budget \"3 s\" and the result \"60 KB\" have different dimensions"},
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

func TestQuantityRoundTrip(t *testing.T) {
	for _, qu := range []quantity{{61_500, byteCount}, {-498, byteCount}, {1.61e6, bytesPerSecond}, {0.0000394, cores}, {7.3, cores}, {138e-6, coreSeconds}, {0.704, seconds}, {12_000, number}} {
		got, err := parseQuantity(qu.String())
		assert.NilError(t, err)
		assert.Equal(t, got.dim, qu.dim)
		assert.Assert(t, got.value/qu.value > 0.99 && got.value/qu.value < 1.01, "%s was parsed as %g, want %g", qu, got.value, qu.value)
	}
}
