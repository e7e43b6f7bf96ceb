package main

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// dimension is the kind of a quantity, such as bytes or seconds.
type dimension int

const (
	number dimension = iota
	byteCount
	bytesPerSecond
	seconds
	// coreSeconds is processor time; per second it becomes cores.
	coreSeconds
	cores
	calls
	callsPerSecond
	frameCount
	framesPerSecond
	goroutines
)

// unit is a unit of a dimension; factor converts it into the base unit, except for cores; see
// String.
type unit struct {
	name   string
	dim    dimension
	factor float64
}

// units are in ascending order within a dimension; the first one also serves for all smaller
// quantities.
var units = []unit{
	{"", number, 1},
	{"B", byteCount, 1}, {"KB", byteCount, 1e3}, {"MB", byteCount, 1e6}, {"GB", byteCount, 1e9},
	{"B/s", bytesPerSecond, 1}, {"KB/s", bytesPerSecond, 1e3}, {"MB/s", bytesPerSecond, 1e6}, {"GB/s", bytesPerSecond, 1e9},
	{"µs", seconds, 1e-6}, {"ms", seconds, 1e-3}, {"s", seconds, 1},
	{"core-µs", coreSeconds, 1e-6}, {"core-ms", coreSeconds, 1e-3}, {"core-s", coreSeconds, 1},
	{"% core", cores, 0.01}, {"cores", cores, 2},
	{"calls", calls, 1}, {"calls/s", callsPerSecond, 1},
	{"frames", frameCount, 1}, {"frames/s", framesPerSecond, 1},
	{"goroutines", goroutines, 1},
}

// perSecond maps a dimension to the dimension of its rate.
var perSecond = map[dimension]dimension{
	byteCount: bytesPerSecond, coreSeconds: cores, calls: callsPerSecond, frameCount: framesPerSecond,
}

// quantity is a value with its dimension, in base units.
type quantity struct {
	value float64
	dim   dimension
}

// String formats a quantity in the unit that suits its size, with three significant digits below
// 1,000 of that unit.
func (qu quantity) String() string {
	var best unit
	for _, un := range units {
		if un.dim == qu.dim && (best.factor == 0 || math.Abs(qu.value) >= un.factor) {
			best = un
		}
	}
	factor := best.factor
	if best.name == "cores" {
		factor = 1 // The factor of 2 in units is a threshold: less than two cores are written in %.
	}
	text := formatNumber(qu.value / factor)
	return strings.TrimSpace(text + " " + best.name)
}

// formatNumber writes a number with three significant digits, or whole from 1,000 on.
func formatNumber(val float64) string {
	if math.Abs(val) >= 1000 {
		return formatInteger(int64(math.Round(val)))
	}
	rounded, _ := strconv.ParseFloat(strconv.FormatFloat(val, 'g', 3, 64), 64)
	return strconv.FormatFloat(rounded, 'f', -1, 64)
}

// formatInteger writes an integer with commas between groups of three digits.
func formatInteger(val int64) string {
	text := strconv.FormatInt(val, 10)
	for at := len(text) - 3; at > 0 && text[at-1] != '-'; at -= 3 {
		text = text[:at] + "," + text[at:]
	}
	return text
}

// parseQuantity parses the result of String.
func parseQuantity(text string) (quantity, error) {
	val, name, _ := strings.Cut(strings.TrimSpace(text), " ")
	num, err := strconv.ParseFloat(strings.ReplaceAll(val, ",", ""), 64)
	if err != nil {
		return quantity{}, fmt.Errorf("%q is not a quantity: %w", text, err)
	}
	for _, un := range units {
		if un.name == name {
			factor := un.factor
			if name == "cores" {
				factor = 1
			}
			return quantity{num * factor, un.dim}, nil
		}
	}
	return quantity{}, fmt.Errorf("quantity %q has the unknown unit %q", text, name)
}
