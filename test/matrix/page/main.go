// Page prints docs/PROMISES.md.
//
// # Usage
//
//	go run ./test/matrix/page >docs/PROMISES.md
package main

import (
	"fmt"

	"skylarkstand/test/matrix"
)

func main() { fmt.Print(matrix.Page()) }
