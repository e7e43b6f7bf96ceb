package main

import (
	"fmt"
	"strings"
)

// recompute updates the computed cells of docs/CAPACITY.md. A computed line has five cells: what,
// working, result, budget, verdict. The working is a sum of terms of these forms:
//
//	34 x `entry-link-memory`         slope times a count
//	53/s x `entry-request-processor` slope times a rate
//	`entry-link-memory` at 400       intercept and slope at a size
//	3.2 MB                           a literal quantity
//
// Results that were entered by hand would silently become outdated when the slopes are measured
// again; computed ones are compared by a test.
func recompute(page string, slopes map[string]slope) (string, error) {
	var sb strings.Builder
	for line := range strings.Lines(page) {
		cells := cellsOf(line)
		if len(cells) == 5 && strings.Contains(cells[1], "`") {
			res, err := evaluate(cells[1], slopes)
			if err != nil {
				return "", fmt.Errorf("%s: %w", cells[0], err)
			}
			cells[2] = res.String()
			if cells[4], err = verdict(res, cells[3]); err != nil {
				return "", fmt.Errorf("%s: %w", cells[0], err)
			}
			line = "| " + strings.Join(cells, " | ") + " |\n"
		}
		sb.WriteString(line)
	}
	return sb.String(), nil
}

// verdict compares a result with its budget.
func verdict(res quantity, budget string) (string, error) {
	if budget == "" || budget == "-" {
		return "-", nil
	}
	bound, err := parseQuantity(budget)
	if err != nil {
		return "", err
	}
	if bound.dim != res.dim {
		return "", fmt.Errorf("the budget %q and the result %q have different dimensions", budget, res)
	}
	if res.value > bound.value {
		return "**over**", nil
	}
	return "within", nil
}

// evaluate returns the sum of a working's terms.
func evaluate(working string, slopes map[string]slope) (quantity, error) {
	var sum quantity
	for i, text := range strings.Split(working, " + ") {
		qu, err := evaluateTerm(text, slopes)
		if err != nil {
			return sum, err
		}
		if i > 0 && qu.dim != sum.dim {
			return sum, fmt.Errorf("%q adds quantities of different dimensions", working)
		}
		sum.value, sum.dim = sum.value+qu.value, qu.dim
	}
	return sum, nil
}

// evaluateTerm returns the value of one term.
func evaluateTerm(text string, slopes map[string]slope) (quantity, error) {
	if left, size, ok := strings.Cut(text, " at "); ok {
		sl, err := findSlope(left, slopes)
		if err != nil {
			return quantity{}, err
		}
		num, err := parseQuantity(size)
		return quantity{sl.fit.at(num.value), sl.dim}, err
	}
	count, right, ok := strings.Cut(text, " x ")
	if !ok {
		return parseQuantity(text)
	}
	sl, err := findSlope(right, slopes)
	if err != nil {
		return quantity{}, err
	}
	dim := sl.dim
	bare, rate := strings.CutSuffix(count, "/s")
	if rate {
		if dim, ok = perSecond[dim]; !ok {
			return quantity{}, fmt.Errorf("slope %q has no dimension per second, so it can't be multiplied by a rate", sl.name)
		}
	}
	num, err := parseQuantity(bare)
	return quantity{num.value * sl.fit.slope, dim}, err
}

// findSlope returns the slope of a name in backquotes.
func findSlope(text string, slopes map[string]slope) (slope, error) {
	sl, ok := slopes[strings.Trim(strings.TrimSpace(text), "`")]
	if !ok {
		return sl, fmt.Errorf("slope %s does not exist in docs/slopes.md", text)
	}
	return sl, nil
}
