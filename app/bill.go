package app

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/rotisserie/eris"

	"skylarkstand/core/ledger"
)

type billCmd struct {
	storeArgs
	List bool `arg:"--list" help:"list each bill"`
}

// run prints the sums. It fails when a bill stands twice or an entry of a
// chain is missing: the sums are then not what callers owe.
func (cmd *billCmd) run(ctx context.Context) error {
	acc, err := ledger.Sum(ctx, cmd.open())
	if err != nil {
		return eris.Wrap(err, "the ledger could not be read; is the store up?")
	}
	for _, id := range slices.Sorted(maps.Keys(acc.Workspaces)) {
		ba := acc.Workspaces[id]
		fmt.Printf("%-24s %8d requests %12.5f", id, ba.Requests, float64(ba.Total)/100_000)
		if ba.Resent > 0 {
			fmt.Printf("  (%d more answers to requests sent again, not charged)", ba.Resent)
		}
		fmt.Println()
	}
	if cmd.List {
		if err := list(acc.Bills); err != nil {
			return err
		}
	}
	return faults(&acc)
}

func list(bills []ledger.Bill) error {
	for _, bi := range bills {
		raw, err := json.Marshal(bi)
		if err != nil {
			return err
		}
		fmt.Println(string(raw))
	}
	return nil
}

func faults(acc *ledger.Account) error {
	for _, fa := range acc.Faults {
		fmt.Println("fault:", fa)
	}
	for _, rq := range acc.Doubled {
		fmt.Println("fault: the bill of request", rq, "stands twice; it is charged once")
	}
	if len(acc.Faults)+len(acc.Doubled) > 0 {
		return eris.Errorf("the ledger has %d faults of its chains and %d bills that stand twice", len(acc.Faults), len(acc.Doubled))
	}
	return nil
}
