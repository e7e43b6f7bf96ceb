package main

import (
	"fmt"
	"strings"
)

// slope is the measured dependence of a value on a size.
type slope struct {
	name string
	// what describes the value, per the unit of the size.
	what, per string
	dim       dimension
	points    []point
	fit       fit
}

// newSlope fits a line to the points.
func newSlope(name, what, per string, dim dimension, pts []point) slope {
	return slope{name, what, per, dim, pts, fitLine(pts)}
}

// row formats a slope as a line of docs/slopes.md.
func (sl slope) row() string {
	sizes := make([]string, len(sl.points))
	for i, pt := range sl.points {
		sizes[i] = fmt.Sprintf("%s: %s", formatNumber(pt.size), quantity{pt.value, sl.dim})
	}
	toQuantity := func(val float64) quantity { return quantity{val, sl.dim} }
	return fmt.Sprintf("| `%s` | %s | %s | %s | %s | %s | %s |", sl.name, sl.what, toQuantity(sl.fit.slope), sl.per, toQuantity(sl.fit.intercept), toQuantity(sl.fit.residual), strings.Join(sizes, "; "))
}

const tableHead = "| slope | of what | slope | per | intercept | worst residual | measured |\n| --- | --- | --- | --- | --- | --- | --- |\n"

// parseSlopes parses the lines that row formats. docs/CAPACITY.md is computed from these rounded
// figures, so that its readers can check each result by hand.
func parseSlopes(text string) (map[string]slope, error) {
	out := map[string]slope{}
	for line := range strings.Lines(text) {
		cells := cellsOf(line)
		if len(cells) != 7 || !strings.HasPrefix(cells[0], "`") {
			continue
		}
		slopeValue, err := parseQuantity(cells[2])
		if err != nil {
			return nil, err
		}
		intercept, err := parseQuantity(cells[4])
		if err != nil {
			return nil, err
		}
		name := strings.Trim(cells[0], "`")
		out[name] = slope{name: name, dim: slopeValue.dim, fit: fit{slope: slopeValue.value, intercept: intercept.value}}
	}
	return out, nil
}

// cellsOf returns the cells of a table line, or nil for any other line.
func cellsOf(line string) []string {
	line = strings.TrimSpace(line)
	if len(line) < 2 || line[0] != '|' || line[len(line)-1] != '|' {
		return nil
	}
	cells := strings.Split(line[1:len(line)-1], "|")
	for i := range cells {
		cells[i] = strings.TrimSpace(cells[i])
	}
	return cells
}
