package ledger

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/rotisserie/eris"

	"skylarkstand/core"
)

// Account is the sum of all ledger chains.
type Account struct {
	Workspaces map[core.WorkspaceID]*Balance
	// Doubled lists requests that were billed more than once: a fault.
	Doubled []core.RequestID
	Bills   []Bill
}

// Balance is one workspace's part.
type Balance struct {
	Requests int
	Total    core.Millicents
}

// Sum reads all ledger chains.
func Sum(ctx context.Context, st core.Store) (Account, error) {
	acc := Account{Workspaces: map[core.WorkspaceID]*Balance{}}
	its, err := st.List(ctx, Prefix)
	if err != nil {
		return acc, eris.Wrap(err, "read the ledger")
	}
	seen := map[core.RequestID]bool{}
	for _, it := range its {
		if strings.HasSuffix(it.Key, "/head") {
			continue
		}
		var rec struct{ Payload Segment }
		if err := json.Unmarshal(it.Value, &rec); err != nil {
			return acc, eris.Wrapf(err, "ledger segment %s is broken", it.Key)
		}
		for _, bi := range rec.Payload.Bills {
			acc.add(bi, seen)
		}
	}
	return acc, nil
}

func (acc *Account) add(bi Bill, seen map[core.RequestID]bool) {
	if seen[bi.Request] {
		acc.Doubled = append(acc.Doubled, bi.Request)
		return
	}
	seen[bi.Request] = true
	acc.Bills = append(acc.Bills, bi)
	ba := acc.Workspaces[bi.Workspace]
	if ba == nil {
		ba = new(Balance)
		acc.Workspaces[bi.Workspace] = ba
	}
	ba.Requests++
	ba.Total += bi.Total
}
