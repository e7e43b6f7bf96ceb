// Skylarkstand is a model-aware router for versions and cascades.
//
// # Usage
//
//	skylarkstand --help
package main

import (
	"os"

	"skylarkstand/app"
)

func main() { os.Exit(app.Main(os.Args[1:])) }
