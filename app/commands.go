package app

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"

	"github.com/rotisserie/eris"

	"skylarkstand/core"
	"skylarkstand/core/ledger"
	"skylarkstand/io/store"
)

// storeArgs is what commands that talk to the platform's store share.
type storeArgs struct {
	Store string `arg:"--store,env:SKYLARKSTAND_STORE,required" help:"base URL of the platform's store"`
}

func (sa storeArgs) open() core.Store { return store.New(sa.Store) }

type billCmd struct {
	storeArgs
	List bool `arg:"--list" help:"list each bill"`
}

func (cmd *billCmd) run(ctx context.Context) error {
	acc, err := ledger.Sum(ctx, cmd.open())
	if err != nil {
		return err
	}
	ids := make([]string, 0, len(acc.Workspaces))
	for id := range acc.Workspaces {
		ids = append(ids, string(id))
	}
	sort.Strings(ids)
	for _, id := range ids {
		ba := acc.Workspaces[core.WorkspaceID(id)]
		fmt.Printf("%-24s %8d requests %12.5f\n", id, ba.Requests, float64(ba.Total)/100_000)
	}
	if cmd.List {
		for _, bi := range acc.Bills {
			raw, err := json.Marshal(bi)
			if err != nil {
				return err
			}
			fmt.Println(string(raw))
		}
	}
	if len(acc.Doubled) > 0 {
		return eris.Errorf("billed more than once: %v", acc.Doubled)
	}
	return nil
}
