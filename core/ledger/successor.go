package ledger

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/chain"
	"skylarkstand/core/event"
)

// Successor files the bills of processes that agents consider gone, and returns those of this
// process to its writer. Any entry may be the successor of any process, even two entries at once:
// the chains store each bill once. It is safe for concurrent use.
type Successor struct {
	deps         core.Deps
	store        core.Store
	writer       *Writer
	offers       chan Offer
	offeredBytes atomic.Int64
}

// Offer is an agent's copies of one process's bills.
type Offer struct {
	Process core.ProcessID
	Copies  []Copy
	// Durable is called with the IDs of the copies whose bills are in the store.
	Durable func([]core.AttemptID)
	bytes   int64
}

// NewSuccessor returns a successor; own is the writer of this process.
func NewSuccessor(deps core.Deps, st core.Store, own *Writer) *Successor {
	return &Successor{deps: deps, store: st, writer: own, offers: make(chan Offer, maxOffers)}
}

const (
	// maxOffers and maxOffered bound the number and the bytes of waiting offers. They are sized for
	// the loss of an entry whose bills hundreds of agents hold. An offer beyond them is dropped;
	// its agent keeps the bills and offers them again.
	maxOffers  = 1024
	maxOffered = 64 << 20
	// gatherWait is the wait for offers of other agents. Each pass over a process's chains takes a
	// few reads and two or three writes of the store; without the wait every agent's offer would
	// need its own pass.
	gatherWait = time.Second
	// passTimeout bounds a pass, so that one process cannot block the others.
	passTimeout = 20 * time.Second
)

// Offer enqueues copies in their stored form. It does not block.
func (su *Successor) Offer(process core.ProcessID, raws [][]byte, durable func([]core.AttemptID)) {
	of := Offer{Process: process, Durable: durable}
	for _, raw := range raws {
		var co Copy
		if json.Unmarshal(raw, &co) != nil {
			continue
		}
		of.Copies = append(of.Copies, co)
		of.bytes += int64(len(raw))
	}
	if len(of.Copies) == 0 || su.offeredBytes.Load()+of.bytes > maxOffered {
		return
	}
	su.offeredBytes.Add(of.bytes)
	select {
	case su.offers <- of:
	default:
		su.offeredBytes.Add(-of.bytes)
	}
}

// Serve files the offered bills until the context ends.
func (su *Successor) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case of := <-su.offers:
			batch := su.collectOffers(ctx, of)
			for _, id := range sortedKeys(batch) {
				su.fileOffers(ctx, id, batch[id])
			}
		}
	}
}

// collectOffers returns the first offer and those that arrive within gatherWait, by process.
func (su *Successor) collectOffers(ctx context.Context, first Offer) map[core.ProcessID][]Offer {
	select {
	case <-time.After(gatherWait):
	case <-ctx.Done():
	}
	batch := map[core.ProcessID][]Offer{first.Process: {first}}
	su.offeredBytes.Add(-first.bytes)
	for {
		select {
		case of := <-su.offers:
			batch[of.Process] = append(batch[of.Process], of)
			su.offeredBytes.Add(-of.bytes)
		default:
			return batch
		}
	}
}

// fileOffers files the offers of one process and reports the durable bills to the agents.
func (su *Successor) fileOffers(ctx context.Context, id core.ProcessID, ofs []Offer) {
	ctx, cancel := context.WithTimeout(ctx, passTimeout)
	defer cancel()
	var all []Copy
	for _, of := range ofs {
		all = append(all, of.Copies...)
	}
	done, err := su.File(ctx, id, all)
	if err != nil {
		// The agents keep their copies and offer them again.
		event.Log(su.deps.Log, event.TakeoverLate, "process", id, "error", err)
		return
	}
	stored := idSet{}
	for _, at := range done {
		stored[at] = true
	}
	for _, of := range ofs {
		var ids []core.AttemptID
		for _, co := range of.Copies {
			if stored[co.Bill.ID()] {
				ids = append(ids, co.Bill.ID())
			}
		}
		if len(ids) > 0 {
			of.Durable(ids)
		}
	}
}

// File files those bills of a process that no entry holds, and returns the IDs of all the copies,
// which are then in the store. After an error it is unknown which bills are.
func (su *Successor) File(ctx context.Context, id core.ProcessID, copies []Copy) ([]core.AttemptID, error) {
	if id == su.deps.Self {
		return su.writer.Reclaim(ctx, copies)
	}
	chs := openChains(su.store, id)
	if err := chs.addToIndex(ctx); err != nil {
		return nil, err
	}
	fl := lowestFloor(copies)
	ta, err := seal(ctx, chs.own, fl.Own)
	if err != nil {
		return nil, err
	}
	ta, err = readTail(ctx, chs.takeover, fl.Takeover, ta.found)
	if err != nil {
		return nil, err
	}
	missing, all := missingBillsAndIDs(copies, ta.found)
	if err := appendMissing(ctx, chs.takeover, ta, missing); err != nil {
		return nil, err
	}
	event.Log(su.deps.Log, event.TakeoverFiled, "process", id, "offered", len(all), "lacked", len(missing))
	return all, nil
}

// seal seals a process's own chain and reads it from entry n on. Until the seal is written, the
// process may still write; so the chain is read up to the seal's entry, to find the bills that came
// before it.
func seal(ctx context.Context, ch *chain.Chain, n uint64) (tail, error) {
	ta, err := readTail(ctx, ch, n, idSet{})
	for err == nil && !ta.sealed {
		err = ch.Seal(ctx, ta.next)
		switch {
		case err == nil, errors.Is(err, chain.ErrSealed), errors.Is(err, chain.ErrTaken):
			ta, err = readTail(ctx, ch, ta.next, ta.found)
		default:
			return ta, storeError(err)
		}
	}
	return ta, err
}

// missingBillsAndIDs returns the copies that no entry holds, and the ids of all copies.
func missingBillsAndIDs(copies []Copy, found idSet) ([]queuedBill, []core.AttemptID) {
	var missing []queuedBill
	seen := idSet{}
	for i := range copies {
		id := copies[i].Bill.ID()
		if seen[id] {
			continue
		}
		seen[id] = true
		if found[id] {
			continue
		}
		if raw, err := json.Marshal(copies[i].Bill); err == nil {
			missing = append(missing, queuedBill{id, raw})
		}
	}
	return missing, seen.list()
}

// appendMissing appends bills to the takeover chain. Entry n is created only after all entries
// before it were read, here and by the caller; if another process writes an entry meanwhile, it is
// read and its bills are left out.
func appendMissing(ctx context.Context, ch *chain.Chain, ta tail, missing []queuedBill) error {
	qu := queue{items: missing}
	for {
		qu.drop(ta.found)
		batch := qu.head()
		if len(batch) == 0 {
			return nil
		}
		err := ch.Create(ctx, ta.next, encodeSegment(batch))
		switch {
		case err == nil:
			ta.next++
			qu.pop(len(batch))
		case errors.Is(err, chain.ErrTaken):
			ta, err = readTail(ctx, ch, ta.next, ta.found)
			if err != nil {
				return err
			}
		default:
			return storeError(err)
		}
	}
}
