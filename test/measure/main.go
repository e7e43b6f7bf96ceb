// Measure measures the project's figures and prints them, one per line:
//
//	figure <name> <value> <unit> bound <bound> ok|short
//
// Each section starts the processes that it needs on loopback and stops them. Figures of decision
// logic alone come from the tests named TestFigures…, which print lines of the same form;
// `make measure` runs both. A figure that misses its bound is marked short and does not fail the run.
//
// # Usage
//
//	go run ./test/measure          # all sections
//	go run ./test/measure path     # one section
package main

import (
	"fmt"
	"os"

	"skylarkstand/test/figure"
)

// section is a group of figures that are measured together.
type section struct {
	name string
	run  func() error
}

func main() {
	sections := []section{
		{"path", measurePath},
		{"apply", measureApply},
	}
	for _, se := range sections {
		if len(os.Args) > 1 && os.Args[1] != se.name {
			continue
		}
		if err := se.run(); err != nil {
			figure.NotMeasured(se.name, err)
		}
	}
	if len(os.Args) > 1 {
		fmt.Println("# only section", os.Args[1])
	}
}
