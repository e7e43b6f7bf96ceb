package main

import "skylarkstand/declare"

func main() {
	cf := declare.New()
	_, v1 := cf.Model("desk", "v1", declare.Version{})
	cf.Workspace("schools", declare.Terms{}, declare.DigestOf("")).Allow(v1, v2)
}
