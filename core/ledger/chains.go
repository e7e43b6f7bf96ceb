package ledger

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/rotisserie/eris"

	"skylarkstand/core"
	"skylarkstand/core/chain"
)

const (
	// Prefix is the store's key prefix of ledger chains.
	Prefix = "ledger/"
	// indexPrefix is the key prefix of the index of processes that have chains. The chains
	// themselves are too large to be listed: a list returns complete values.
	indexPrefix = "ledgers/"
)

// Errors of a ledger.
var (
	// ErrStoreUnavailable: the store did not confirm a write or answer a read in time. The bills
	// are kept, and the same call is retried.
	ErrStoreUnavailable = errors.New("ledger: the store did not answer in time")
	// ErrBroken: an entry cannot be decoded.
	ErrBroken = errors.New("ledger: entry cannot be decoded")
)

// chains are the two chains of a process.
type chains struct {
	store         core.Store
	process       core.ProcessID
	own, takeover *chain.Chain
}

func openChains(st core.Store, process core.ProcessID) *chains {
	name := Prefix + string(process)
	return &chains{store: st, process: process, own: chain.New(st, name), takeover: chain.New(st, name+"/takeover")}
}

// addToIndex adds the process to the index. It must be called before the first entry of a chain is
// written: bills of a process that is missing in the index would be durable but would appear on no
// account.
//
// It reads first: successors usually find the process in the index, and the store accepts several
// times as many reads as writes.
func (ch *chains) addToIndex(ctx context.Context) error {
	key := indexPrefix + string(ch.process)
	if _, err := ch.store.Get(ctx, key); err == nil {
		return nil
	}
	for range maxIndexWrites {
		_, err := ch.store.Create(ctx, key, []byte("{}"), "")
		if err == nil || errors.Is(err, core.ErrConflict) {
			return nil
		}
		if !errors.Is(err, core.ErrUncertain) {
			break
		}
	}
	return eris.Wrap(ErrStoreUnavailable, "add the process to the index of ledgers")
}

// maxIndexWrites bounds the writes of one call after lost replies. Each write is the same, so a
// conflict of a later write shows that an earlier one took effect.
const maxIndexWrites = 3

// decodeBills returns the bills of an entry.
func decodeBills(en chain.Entry) ([]Bill, error) {
	if en.Seal {
		return nil, nil
	}
	var seg Segment
	if err := json.Unmarshal(en.Payload, &seg); err != nil {
		return nil, eris.Wrapf(ErrBroken, "entry %d: %v", en.Number, err)
	}
	return seg.Bills, nil
}

// tail is the part of a chain that was read, from some entry to the end.
type tail struct {
	found idSet
	// next is the first absent entry, or the seal if the chain is sealed.
	next   uint64
	sealed bool
}

// readTail reads a chain from entry n to its end and collects the IDs of the bills.
func readTail(ctx context.Context, ch *chain.Chain, n uint64, found idSet) (tail, error) {
	ta := tail{found: found, next: max(n, 1)}
	for {
		en, err := ch.Read(ctx, ta.next)
		switch {
		case errors.Is(err, chain.ErrAbsent):
			return ta, nil
		case err != nil:
			return ta, storeError(err)
		case en.Seal:
			ta.sealed = true
			return ta, nil
		}
		if err := ta.addBills(en); err != nil {
			return ta, err
		}
	}
}

func (ta *tail) addBills(en chain.Entry) error {
	bis, err := decodeBills(en)
	if err != nil {
		return err
	}
	for i := range bis {
		ta.found[bis[i].ID()] = true
	}
	ta.next = en.Number + 1
	return nil
}

// storeError wraps an error of a chain in ErrStoreUnavailable.
func storeError(err error) error { return eris.Wrapf(ErrStoreUnavailable, "%v", err) }
