package app

import (
	"skylarkstand/core"
	"skylarkstand/io/store"
)

// storeArgs holds the arguments shared by the commands that access the platform's store.
type storeArgs struct {
	Store string `arg:"--store,env:SKYLARKSTAND_STORE,required" help:"base URL of the platform's store"`
}

func (sa storeArgs) open() core.Store { return store.New(sa.Store) }
