// Package figure prints measured figures in the one form that `make measure`
// collects.
//
// # Usage
//
//	figure.AtMost("added-first-byte-p50", 0.31, "ms", 0.5)
//	figure.AtLeast("requests-per-second", 6200, "1/s", 5000)
//	figure.Plain("p99-round-robin", 812, "ms")      // a baseline, no bound
package figure

import "fmt"

// AtMost prints a figure whose bound is an upper one.
func AtMost(name string, val float64, unit string, bound float64) {
	line(name, val, unit, bound, val <= bound)
}

// AtLeast prints a figure whose bound is a lower one.
func AtLeast(name string, val float64, unit string, bound float64) {
	line(name, val, unit, bound, val >= bound)
}

func line(name string, val float64, unit string, bound float64, ok bool) {
	mark := "short"
	if ok {
		mark = "ok"
	}
	fmt.Printf("figure %s %.4g %s bound %g %s\n", name, val, unit, bound, mark)
}

// Plain prints a figure that has no bound, such as a baseline.
func Plain(name string, val float64, unit string) {
	fmt.Printf("figure %s %.4g %s bound none ok\n", name, val, unit)
}

// Missing tells that figures of a section could not be measured.
func Missing(section string, err error) {
	fmt.Printf("# section %s was not measured: %v\n", section, err)
}
