package app

import (
	"skylarkstand/core"
	"skylarkstand/io/store"
)

// storeArgs is what commands that talk to the platform's store share.
type storeArgs struct {
	Store string `arg:"--store,env:SKYLARKSTAND_STORE,required" help:"base URL of the platform's store"`
}

func (sa storeArgs) open() core.Store { return store.New(sa.Store) }
