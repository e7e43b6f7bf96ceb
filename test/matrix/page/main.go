// Page prints docs/PROMISES.md.
package main

import (
	"fmt"

	"skylarkstand/test/matrix"
)

func main() { fmt.Print(matrix.Page()) }
