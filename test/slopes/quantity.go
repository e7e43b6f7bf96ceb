package main

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// dimension is what a quantity measures.
type dimension int

const (
	number dimension = iota
	bytesOf
	bytesPerSecond
	seconds
	// coreSeconds is processor time; spent per second it is cores.
	coreSeconds
	cores
	calls
	callsPerSecond
	frameCount
	framesPerSecond
	goroutines
)

// unit is one way to write a dimension.
type unit struct {
	name   string
	dim    dimension
	factor float64
}

// units are in order of size within a dimension; the first one is the base
// that very small quantities are written in.
var units = []unit{
	{"", number, 1},
	{"B", bytesOf, 1}, {"KB", bytesOf, 1e3}, {"MB", bytesOf, 1e6}, {"GB", bytesOf, 1e9},
	{"B/s", bytesPerSecond, 1}, {"KB/s", bytesPerSecond, 1e3}, {"MB/s", bytesPerSecond, 1e6}, {"GB/s", bytesPerSecond, 1e9},
	{"µs", seconds, 1e-6}, {"ms", seconds, 1e-3}, {"s", seconds, 1},
	{"core-µs", coreSeconds, 1e-6}, {"core-ms", coreSeconds, 1e-3}, {"core-s", coreSeconds, 1},
	{"% core", cores, 0.01}, {"cores", cores, 2},
	{"calls", calls, 1}, {"calls/s", callsPerSecond, 1},
	{"frames", frameCount, 1}, {"frames/s", framesPerSecond, 1},
	{"goroutines", goroutines, 1},
}

// perSecond tells what a dimension becomes when it is spent at a rate.
var perSecond = map[dimension]dimension{
	bytesOf: bytesPerSecond, coreSeconds: cores, calls: callsPerSecond, frameCount: framesPerSecond,
}

// quantity is a value with its dimension, in base units.
type quantity struct {
	value float64
	dim   dimension
}

// String writes a quantity in the unit that suits its size, to three digits.
func (qu quantity) String() string {
	var best unit
	for _, un := range units {
		if un.dim == qu.dim && (best.factor == 0 || math.Abs(qu.value) >= un.factor) {
			best = un
		}
	}
	factor := best.factor
	if best.name == "cores" {
		factor = 1 // Written from two cores on, so that small shares stay in %.
	}
	text := digits(qu.value / factor)
	return strings.TrimSpace(text + " " + best.name)
}

func digits(val float64) string {
	if math.Abs(val) >= 1000 {
		return grouped(int64(math.Round(val)))
	}
	rounded, _ := strconv.ParseFloat(strconv.FormatFloat(val, 'g', 3, 64), 64)
	return strconv.FormatFloat(rounded, 'f', -1, 64)
}

func grouped(val int64) string {
	text := strconv.FormatInt(val, 10)
	for at := len(text) - 3; at > 0 && text[at-1] != '-'; at -= 3 {
		text = text[:at] + "," + text[at:]
	}
	return text
}

// parseQuantity reads what String wrote.
func parseQuantity(text string) (quantity, error) {
	val, name, _ := strings.Cut(strings.TrimSpace(text), " ")
	num, err := strconv.ParseFloat(strings.ReplaceAll(val, ",", ""), 64)
	if err != nil {
		return quantity{}, fmt.Errorf("%q is no quantity", text)
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
	return quantity{}, fmt.Errorf("%q has an unknown unit", text)
}
