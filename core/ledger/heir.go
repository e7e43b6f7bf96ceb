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

// Heir files the bills of processes that agents take for gone, and hands those
// of this process back to its writer. Any entry may be the heir of any
// process, also two at once: the chains decide. It is safe for concurrent use.
type Heir struct {
	deps   core.Deps
	store  core.Store
	own    *Writer
	offers chan Offer
	size   atomic.Int64
}

// Offer is what one agent holds of one process's bills.
type Offer struct {
	Process core.ProcessID
	Copies  []Copy
	// Durable is told which of the copies stand in the store.
	Durable func([]core.AttemptID)
	size    int64
}

// NewHeir returns an heir that knows the process's own writer.
func NewHeir(deps core.Deps, st core.Store, own *Writer) *Heir {
	return &Heir{deps: deps, store: st, own: own, offers: make(chan Offer, maxOffers)}
}

const (
	// maxOffers and maxOffered bound what waits. The load they are made for is
	// the loss of an entry that hundreds of agents hold bills of. An offer
	// beyond them is dropped; its agent keeps the bills and offers them again.
	maxOffers  = 1024
	maxOffered = 64 << 20
	// gather is the wait for offers of other agents. Each pass over a
	// process's chains costs the store a few reads and two or three writes;
	// without the wait every agent's offer would take one of its own.
	gather = time.Second
	// inheritLimit bounds a pass, so that one process cannot hold up others.
	inheritLimit = 20 * time.Second
)

// Offer takes copies in their stored form. It does not block.
func (he *Heir) Offer(process core.ProcessID, raws [][]byte, durable func([]core.AttemptID)) {
	of := Offer{Process: process, Durable: durable}
	for _, raw := range raws {
		var co Copy
		if json.Unmarshal(raw, &co) != nil {
			continue
		}
		of.Copies = append(of.Copies, co)
		of.size += int64(len(raw))
	}
	if len(of.Copies) == 0 || he.size.Load()+of.size > maxOffered {
		return
	}
	he.size.Add(of.size)
	select {
	case he.offers <- of:
	default:
		he.size.Add(-of.size)
	}
}

// Serve files what is offered until the context ends.
func (he *Heir) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case of := <-he.offers:
			batch := he.collect(ctx, of)
			for _, id := range sortedKeys(batch) {
				he.pass(ctx, id, batch[id])
			}
		}
	}
}

// collect gathers the offers that come shortly after one another, by process.
func (he *Heir) collect(ctx context.Context, of Offer) map[core.ProcessID][]Offer {
	select {
	case <-time.After(gather):
	case <-ctx.Done():
	}
	batch := map[core.ProcessID][]Offer{of.Process: {of}}
	he.size.Add(-of.size)
	for {
		select {
		case of := <-he.offers:
			batch[of.Process] = append(batch[of.Process], of)
			he.size.Add(-of.size)
		default:
			return batch
		}
	}
}

// pass files the offers of one process and tells the agents what is durable.
func (he *Heir) pass(ctx context.Context, id core.ProcessID, ofs []Offer) {
	ctx, cancel := context.WithTimeout(ctx, inheritLimit)
	defer cancel()
	var all []Copy
	for _, of := range ofs {
		all = append(all, of.Copies...)
	}
	done, err := he.File(ctx, id, all)
	if err != nil {
		// The agents keep their copies and offer them again.
		event.Log(he.deps.Log, event.EstateLate, "process", id, "error", err)
		return
	}
	stands := idSet{}
	for _, at := range done {
		stands[at] = true
	}
	for _, of := range ofs {
		var ids []core.AttemptID
		for _, co := range of.Copies {
			if stands[co.Bill.ID()] {
				ids = append(ids, co.Bill.ID())
			}
		}
		if len(ids) > 0 {
			of.Durable(ids)
		}
	}
}

// File files the copies of a process's bills where they lack and returns those
// that stand in the store. After an error nothing is known of them.
func (he *Heir) File(ctx context.Context, id core.ProcessID, copies []Copy) ([]core.AttemptID, error) {
	if id == he.deps.Self {
		return he.own.Reclaim(ctx, copies)
	}
	chs := openChains(he.store, id)
	if err := chs.enlist(ctx); err != nil {
		return nil, err
	}
	fl := lowest(copies)
	ta, err := seal(ctx, chs.own, fl.Own)
	if err != nil {
		return nil, err
	}
	ta, err = readTail(ctx, chs.estate, fl.Estate, ta.found)
	if err != nil {
		return nil, err
	}
	lacks, all := lacking(copies, ta.found)
	if err := fileLacking(ctx, chs.estate, ta, lacks); err != nil {
		return nil, err
	}
	event.Log(he.deps.Log, event.EstateFiled, "process", id, "offered", len(all), "lacked", len(lacks))
	return all, nil
}

// seal ends a process's own chain and reads it from an entry on. Until the
// seal stands, the process may still write; so the chain is read to the entry
// that the seal takes, and a bill that came before it is seen.
func seal(ctx context.Context, ch *chain.Chain, n uint64) (tail, error) {
	ta, err := readTail(ctx, ch, n, idSet{})
	for err == nil && !ta.sealed {
		err = ch.Seal(ctx, ta.next)
		switch {
		case err == nil, errors.Is(err, chain.ErrSealed), errors.Is(err, chain.ErrTaken):
			ta, err = readTail(ctx, ch, ta.next, ta.found)
		default:
			return ta, late(err)
		}
	}
	return ta, err
}

// lacking returns the copies that no entry holds, and the ids of all.
func lacking(copies []Copy, found idSet) ([]waiting, []core.AttemptID) {
	var lacks []waiting
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
			lacks = append(lacks, waiting{id, raw})
		}
	}
	return lacks, seen.list()
}

// fileLacking appends bills to the estate. Entry n is created only after all
// entries below it were read, here and by the caller; an entry that somebody
// else wrote meanwhile is read, and what it holds is left out.
func fileLacking(ctx context.Context, ch *chain.Chain, ta tail, lacks []waiting) error {
	qu := queue{items: lacks}
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
			return late(err)
		}
	}
}
