// Package property runs a package's property tests with a fixed seed, so that repeated runs of the
// same code have the same result. Flags override the seed: `make soak` draws one and prints it.
//
// # Usage
//
//	func TestMain(m *testing.M) { property.Main(m, "4") }
//	go test ./core/claim -rapid.seed=99 -rapid.checks=1000
package property

import (
	"flag"
	"os"
	"testing"

	// Registers the flags of rapid, which must exist before Main sets them.
	_ "pgregory.net/rapid"
)

// Setting is the default value of a flag of rapid, used unless the command line sets the flag.
type Setting struct{ Name, Value string }

// Main runs the tests of a package with a fixed seed and further settings, and exits.
func Main(m *testing.M, seed string, more ...Setting) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(fl *flag.Flag) { given[fl.Name] = true })
	settings := append([]Setting{{"rapid.seed", seed}, {"rapid.nofailfile", "true"}}, more...)
	for _, se := range settings {
		if given[se.Name] {
			continue
		}
		if err := flag.Set(se.Name, se.Value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
