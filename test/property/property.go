// Package property runs a package's property tests with one seed, so that a
// change gets the same verdict on every day, and with others when asked:
// `make soak` draws a seed and prints it.
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

	// The flags of rapid must be known before they are set.
	_ "pgregory.net/rapid"
)

// Setting is a flag of rapid with the value it has unless one is given.
type Setting struct{ Name, Value string }

// Main runs the tests of a package with a fixed seed and further settings.
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
