// Skylarkstand is a model-aware request router with versions and cascades of models.
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
