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

// run prints the sum per workspace. It fails if a bill is duplicated or an entry of a chain is
// missing, since the sums are then not the amounts to charge.
func (cmd *billCmd) run(ctx context.Context) error {
	acc, err := ledger.Sum(ctx, cmd.open())
	if err != nil {
		return eris.Wrap(err, "the ledger could not be read; check that the store is reachable")
	}
	for _, id := range slices.Sorted(maps.Keys(acc.Workspaces)) {
		ba := acc.Workspaces[id]
		fmt.Printf("%-24s %8d requests %12.5f", id, ba.Requests, float64(ba.Total)/100_000)
		if ba.Retried > 0 {
			fmt.Printf("  (%d more answers to retried requests, not charged)", ba.Retried)
		}
		fmt.Println()
	}
	if cmd.List {
		if err := printBills(acc.Bills); err != nil {
			return err
		}
	}
	return reportFaults(&acc)
}

func printBills(bills []ledger.Bill) error {
	for _, bi := range bills {
		raw, err := json.Marshal(bi)
		if err != nil {
			return err
		}
		fmt.Println(string(raw))
	}
	return nil
}

func reportFaults(acc *ledger.Account) error {
	for _, fa := range acc.Faults {
		fmt.Println("fault:", fa)
	}
	for _, rq := range acc.Duplicated {
		fmt.Println("fault: the bill of request", rq, "is duplicated; it is charged once")
	}
	if len(acc.Faults)+len(acc.Duplicated) > 0 {
		return eris.Errorf("the ledger has %d chain faults and %d duplicated bills", len(acc.Faults), len(acc.Duplicated))
	}
	return nil
}
