// Package figure prints measured figures in the format that `make measure` collects.
//
// # Usage
//
//	figure.AtMost("added-first-byte-p50", 0.31, "ms", 0.5)
//	figure.AtLeast("requests-per-second", 6200, "1/s", 5000)
//	figure.Unbounded("p99-round-robin", 812, "ms")      // a baseline, no bound
package figure

import "fmt"

// AtMost prints a figure with an upper bound.
func AtMost(name string, val float64, unit string, bound float64) {
	printBounded(name, val, unit, bound, val <= bound)
}

// AtLeast prints a figure with a lower bound.
func AtLeast(name string, val float64, unit string, bound float64) {
	printBounded(name, val, unit, bound, val >= bound)
}

func printBounded(name string, val float64, unit string, bound float64, ok bool) {
	mark := "short"
	if ok {
		mark = "ok"
	}
	fmt.Printf("figure %s %.4g %s bound %g %s\n", name, val, unit, bound, mark)
}

// Unbounded prints a figure without a bound, such as a baseline.
func Unbounded(name string, val float64, unit string) {
	fmt.Printf("figure %s %.4g %s bound none ok\n", name, val, unit)
}

// NotMeasured prints that the figures of a section could not be measured, and why.
func NotMeasured(section string, err error) {
	fmt.Printf("# section %s was not measured: %v\n", section, err)
}
