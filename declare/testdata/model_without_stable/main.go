package main

import "skylarkstand/declare"

func main() {
	cf := declare.New()
	cf.Model("desk", declare.Version{})
}
