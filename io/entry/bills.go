package entry

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/event"
	"skylarkstand/core/ledger/copies"
	"skylarkstand/io/frame"
	"skylarkstand/io/link"
)

// bills is the agent's copies of bills that are not durable yet, and the
// entries that it can hand them to. An agent that restarts loses its copies;
// the bills are lost with it only if their entry dies too before they are
// durable.
type bills struct {
	deps core.Deps

	mu      sync.Mutex
	copies  *copies.Set
	entries map[core.ProcessID]*link.Control
}

func newBills(deps core.Deps) bills {
	return bills{deps: deps, copies: copies.New(), entries: map[core.ProcessID]*link.Control{}}
}

func (bl *bills) linked(id core.ProcessID, co *link.Control) {
	bl.mu.Lock()
	defer bl.mu.Unlock()
	bl.entries[id] = co
}

// unlinked forgets a link, unless its entry has a newer one.
func (bl *bills) unlinked(co *link.Control) {
	bl.mu.Lock()
	defer bl.mu.Unlock()
	for id, other := range bl.entries {
		if other == co {
			delete(bl.entries, id)
		}
	}
}

func (bl *bills) settled(se *frame.Settled) {
	bl.mu.Lock()
	defer bl.mu.Unlock()
	at := core.AttemptID(se.Attempt)
	if !bl.copies.Hold(core.ProcessID(se.Process), at, se.Bill, time.Now()) {
		event.Log(bl.deps.Log, event.CopyDropped, "process", se.Process, "attempt", at)
	}
}

func (bl *bills) durable(du *frame.Durable) {
	bl.mu.Lock()
	defer bl.mu.Unlock()
	ats := make([]core.AttemptID, len(du.Attempts))
	for i, at := range du.Attempts {
		ats[i] = core.AttemptID(at)
	}
	bl.copies.Forget(ats)
}

// offerEvery is how often it is decided what to hand over. It is small beside
// the bound after which an entry is taken for gone.
const offerEvery = time.Second

// serve hands copies over until the context ends.
func (bl *bills) serve(ctx context.Context) {
	tick := time.NewTicker(offerEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, de := range bl.due(time.Now()) {
			// A link that was lost is noticed by its control stream; the
			// copies are offered again.
			_ = de.to.Send(&frame.Frame{Body: &frame.Frame_Told{Told: de.told}})
		}
	}
}

// strandedLimit bounds how long a planned stop waits for an heir.
const strandedLimit = 5 * time.Second

// drain hands the copies of entries that are not linked to an heir and waits
// until they are durable. An agent that stopped shortly after an entry died
// would otherwise take the last trace of its bills along.
func (bl *bills) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, strandedLimit)
	defer cancel()
	bl.mu.Lock()
	bl.copies.Leave()
	bl.mu.Unlock()
	for count := bl.stranded(); count > 0; count = bl.stranded() {
		select {
		case <-ctx.Done():
			event.Log(bl.deps.Log, event.CopiesLeft, "copies", count)
			return
		case <-time.After(offerEvery / 10):
		}
	}
}

func (bl *bills) stranded() int {
	bl.mu.Lock()
	defer bl.mu.Unlock()
	return bl.copies.Stranded(bl.linkedIDs())
}

func (bl *bills) linkedIDs() []core.ProcessID {
	return slices.Sorted(maps.Keys(bl.entries))
}

// delivery is a message for one entry.
type delivery struct {
	to   *link.Control
	told *frame.Told
}

func (bl *bills) due(now time.Time) []delivery {
	bl.mu.Lock()
	defer bl.mu.Unlock()
	var out []delivery
	for _, ho := range bl.copies.Due(now, bl.linkedIDs()) {
		out = append(out, delivery{bl.entries[ho.To], &frame.Told{Process: string(ho.Process), Bills: ho.Bills}})
	}
	return out
}
