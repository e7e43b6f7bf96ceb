package ledger

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"skylarkstand/core"
	"skylarkstand/core/chain"
)

// Account is the sum of all ledger chains.
type Account struct {
	Workspaces map[core.WorkspaceID]*Balance
	// Duplicated lists requests with a bill that is in two entries, which is a fault.
	Duplicated []core.RequestID
	// Faults lists faults of the chains, such as a missing entry.
	Faults []string
	// Bills lists the charged bills, by time.
	Bills []Bill
	// EntryCount is the number of entries that were read.
	EntryCount int
}

// Balance is the account of one workspace.
type Balance struct {
	Requests int
	Total    core.Millicents
	// Retried counts complete answers to retries of a request that is already charged. They are not
	// charged.
	Retried int
}

// RetryWindow is how long after its first bill a retry with the same id and body counts as the
// same request. It is above the longest deadline. It is limited because some clients send one fixed
// id with every request; their later requests are charged.
const RetryWindow = time.Hour

// Sum reads all ledger chains, one entry per call: listing the chains would return the whole ledger
// in one reply.
func Sum(ctx context.Context, st core.Store) (Account, error) {
	acc := Account{Workspaces: map[core.WorkspaceID]*Balance{}}
	its, err := st.List(ctx, indexPrefix)
	if err != nil {
		return acc, eris.Wrap(ErrStoreUnavailable, "list the processes that have a ledger")
	}
	slices.SortFunc(its, func(a, b core.Item) int { return cmp.Compare(a.Key, b.Key) })
	var all []Bill
	for _, it := range its {
		chs := openChains(st, core.ProcessID(strings.TrimPrefix(it.Key, indexPrefix)))
		bis, err := acc.read(ctx, chs)
		if err != nil {
			return acc, err
		}
		all = append(all, bis...)
	}
	acc.charge(all)
	return acc, nil
}

// read returns the bills of both chains of a process.
func (acc *Account) read(ctx context.Context, chs *chains) ([]Bill, error) {
	name := Prefix + string(chs.process)
	// The takeover chain is read first: the process's own chain was sealed before the
	// first takeover entry was written, so the seal is there when the own chain is read, even while
	// both chains grow.
	takeover, _, err := acc.readChain(ctx, chs, chs.takeover, name+"/takeover")
	if err != nil {
		return nil, err
	}
	own, sealed, err := acc.readChain(ctx, chs, chs.own, name)
	if err != nil {
		return nil, err
	}
	if len(takeover) > 0 && !sealed {
		acc.addFault("%s has a takeover chain but no seal", name)
	}
	return append(own, takeover...), nil
}

// readChain reads a chain to its end. An absent entry is the end unless the chain's head key or
// the entry after the absent one shows that the chain continues.
func (acc *Account) readChain(ctx context.Context, chs *chains, ch *chain.Chain, name string) ([]Bill, bool, error) {
	var all []Bill
	sealed := false
	head, err := readHead(ctx, chs.store, name)
	if err != nil {
		return nil, false, err
	}
	for n := uint64(1); ; n++ {
		en, err := ch.Read(ctx, n)
		if errors.Is(err, chain.ErrAbsent) {
			if _, err = ch.Read(ctx, n+1); errors.Is(err, chain.ErrAbsent) && n > head {
				return all, sealed, nil
			}
			// Both entries may have been written since the first read.
			en, err = ch.Read(ctx, n)
		}
		if errors.Is(err, chain.ErrAbsent) {
			acc.addFault("%s: entry %d is missing", name, n)
			continue
		}
		if err != nil {
			return nil, sealed, eris.Wrapf(storeError(err), "%s, entry %d", name, n)
		}
		if sealed {
			acc.addFault("%s: entry %d was written after the seal", name, n)
		}
		sealed = sealed || en.Seal
		bis, err := decodeBills(en)
		if err != nil {
			acc.addFault("%s: %v", name, err)
		}
		acc.EntryCount++
		all = append(all, bis...)
	}
}

func readHead(ctx context.Context, st core.Store, name string) (uint64, error) {
	it, err := st.Get(ctx, name+"/head")
	if errors.Is(err, core.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, eris.Wrapf(ErrStoreUnavailable, "%s/head", name)
	}
	n, err := strconv.ParseUint(string(it.Value), 10, 64)
	if err != nil {
		return 0, nil // The head is only a hint.
	}
	return n, nil
}

func (acc *Account) addFault(format string, args ...any) {
	acc.Faults = append(acc.Faults, fmt.Sprintf(format, args...))
}

// requestKey identifies a caller's request.
type requestKey struct {
	workspace core.WorkspaceID
	request   core.RequestID
	content   string
}

// charge sorts the bills by time and sums them. It charges each request once, and one of the bills
// for one run of an operation.
func (acc *Account) charge(all []Bill) {
	slices.SortStableFunc(all, func(a, b Bill) int { return a.When.Compare(b.When) })
	seen := idSet{}
	first := map[requestKey]time.Time{}
	charged := idSet{}
	for i := range all {
		if all[i].ReplayOf == "" {
			charged[all[i].ID()] = true
		}
	}
	for i := range all {
		bi := &all[i]
		if seen[bi.ID()] {
			acc.Duplicated = append(acc.Duplicated, bi.Request)
			continue
		}
		seen[bi.ID()] = true
		ba := acc.balance(bi.Workspace)
		if bi.ReplayOf != "" {
			if charged[bi.ReplayOf] {
				bi.Total = 0 // Already charged: the attempt that ran it or another replay.
			}
			charged[bi.ReplayOf] = true
		} else {
			ke := requestKey{bi.Workspace, bi.Request, bi.Content}
			if at, ok := first[ke]; ok && bi.When.Sub(at) <= RetryWindow {
				ba.Retried++
				continue
			}
			first[ke] = bi.When
		}
		ba.Requests++
		ba.Total += bi.Total
		acc.Bills = append(acc.Bills, *bi)
	}
}

func (acc *Account) balance(ws core.WorkspaceID) *Balance {
	if acc.Workspaces[ws] == nil {
		acc.Workspaces[ws] = new(Balance)
	}
	return acc.Workspaces[ws]
}

func sortedKeys[K cmp.Ordered, V any](all map[K]V) []K { return slices.Sorted(maps.Keys(all)) }
