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
	// Prefix is where ledger chains stand in the store.
	Prefix = "ledger/"
	// index is where the processes that have chains are listed. The chains
	// themselves are too large to be listed: a list returns whole values.
	index = "ledgers/"
)

// Errors of a ledger.
var (
	// ErrLate: the store did not take or tell what was asked of it. The bills
	// are kept, and the same is tried again.
	ErrLate = errors.New("ledger: the store did not answer in time")
	// ErrBroken: an entry cannot be read.
	ErrBroken = errors.New("ledger: broken entry")
)

// chains are the two chains of a process.
type chains struct {
	store       core.Store
	process     core.ProcessID
	own, estate *chain.Chain
}

func openChains(st core.Store, process core.ProcessID) *chains {
	name := Prefix + string(process)
	return &chains{store: st, process: process, own: chain.New(st, name), estate: chain.New(st, name+"/estate")}
}

// enlist puts the process into the index. It must precede the first entry of
// a chain: bills of a process that is not in the index would be durable and
// yet on nobody's account.
//
// It reads first: heirs mostly find the process enlisted, and the store takes
// several times as many reads as writes.
func (ch *chains) enlist(ctx context.Context) error {
	key := index + string(ch.process)
	if _, err := ch.store.Get(ctx, key); err == nil {
		return nil
	}
	for range enlistTries {
		_, err := ch.store.Create(ctx, key, []byte("{}"), "")
		if err == nil || errors.Is(err, core.ErrConflict) {
			return nil
		}
		if !errors.Is(err, core.ErrUncertain) {
			break
		}
	}
	return eris.Wrap(ErrLate, "enlist the process")
}

// enlistTries bounds the writes of one call after lost replies. The write is
// the same each time, so a second one tells by its conflict that the first one
// took effect.
const enlistTries = 3

// bills returns the bills of an entry.
func bills(en chain.Entry) ([]Bill, error) {
	if en.Seal {
		return nil, nil
	}
	var seg Segment
	if err := json.Unmarshal(en.Payload, &seg); err != nil {
		return nil, eris.Wrapf(ErrBroken, "entry %d: %v", en.Number, err)
	}
	return seg.Bills, nil
}

// tail is what was read of a chain from some entry on.
type tail struct {
	found idSet
	// next is the first absent entry, or the seal if the chain is sealed.
	next   uint64
	sealed bool
}

// readTail reads a chain from entry n to its end and notes the bills.
func readTail(ctx context.Context, ch *chain.Chain, n uint64, found idSet) (tail, error) {
	ta := tail{found: found, next: max(n, 1)}
	for {
		en, err := ch.Read(ctx, ta.next)
		switch {
		case errors.Is(err, chain.ErrAbsent):
			return ta, nil
		case err != nil:
			return ta, late(err)
		case en.Seal:
			ta.sealed = true
			return ta, nil
		}
		if err := ta.note(en); err != nil {
			return ta, err
		}
	}
}

func (ta *tail) note(en chain.Entry) error {
	bis, err := bills(en)
	if err != nil {
		return err
	}
	for i := range bis {
		ta.found[bis[i].ID()] = true
	}
	ta.next = en.Number + 1
	return nil
}

// late turns an error of a chain into this layer's.
func late(err error) error { return eris.Wrapf(ErrLate, "%v", err) }
