package main

import "skylarkstand/declare"

func main() {
	cf := declare.New()
	desk, _ := cf.Model("desk", "v1", declare.Version{})
	desk.Withdraw("bad")
}
