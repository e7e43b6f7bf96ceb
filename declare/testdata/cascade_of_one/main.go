package main

import "skylarkstand/declare"

func main() {
	cf := declare.New()
	desk, _ := cf.Model("desk", "v1", declare.Version{})
	cf.Cascade("quick", desk)
}
