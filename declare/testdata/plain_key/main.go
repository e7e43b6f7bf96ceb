package main

import "skylarkstand/declare"

func main() {
	cf := declare.New()
	cf.Workspace("schools", declare.Terms{}, "schools-key")
}
