// Measure prints the project's figures, one a line:
//
//	figure <name> <value> <unit> bound <bound> ok|short
//
// Each section starts the processes that it needs on loopback and ends them.
// Figures of pure decisions come from the tests named TestFigures…, which
// print the same form; `make measure` runs both. A figure that falls short
// does not fail the run.
//
// # Usage
//
//	go run ./test/measure          # all sections
//	go run ./test/measure path     # one
package main

import (
	"fmt"
	"os"

	"skylarkstand/test/figure"
)

// section measures one area and prints its figures.
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
			figure.Missing(se.name, err)
		}
	}
	if len(os.Args) > 1 {
		fmt.Println("# only section", os.Args[1])
	}
}
