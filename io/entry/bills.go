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

// billCopies holds the agent's copies of bills that are not yet durable, and the links to the
// entries that it can hand them over to. An agent that restarts loses its copies; the bills are
// lost with it only if their entry also crashes before they are durable.
type billCopies struct {
	deps core.Deps

	mu      sync.Mutex
	copies  *copies.Set
	entries map[core.ProcessID]*link.Control
}

func newBillCopies(deps core.Deps) billCopies {
	return billCopies{deps: deps, copies: copies.New(), entries: map[core.ProcessID]*link.Control{}}
}

func (bc *billCopies) addLink(id core.ProcessID, co *link.Control) {
	bc.mu.Lock()
	defer bc.mu.Unlock()
	bc.entries[id] = co
}

// removeLink removes a link, unless its entry has a newer one.
func (bc *billCopies) removeLink(co *link.Control) {
	bc.mu.Lock()
	defer bc.mu.Unlock()
	for id, other := range bc.entries {
		if other == co {
			delete(bc.entries, id)
		}
	}
}

func (bc *billCopies) receiveBill(se *frame.Settled) {
	bc.mu.Lock()
	defer bc.mu.Unlock()
	at := core.AttemptID(se.Attempt)
	if !bc.copies.Add(core.ProcessID(se.Process), at, se.Bill, time.Now()) {
		event.Log(bc.deps.Log, event.CopyDropped, "process", se.Process, "attempt", at)
	}
}

func (bc *billCopies) receiveDurable(du *frame.Durable) {
	bc.mu.Lock()
	defer bc.mu.Unlock()
	ats := make([]core.AttemptID, len(du.Attempts))
	for i, at := range du.Attempts {
		ats[i] = core.AttemptID(at)
	}
	bc.copies.Remove(ats)
}

// handoverInterval is the interval of the check for copies to hand over. It is short compared
// with the time after which an entry counts as lost.
const handoverInterval = time.Second

// serve hands copies over until the context ends.
func (bc *billCopies) serve(ctx context.Context) {
	tick := time.NewTicker(handoverInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, de := range bc.dueHandovers(time.Now()) {
			// The control stream detects a lost link; the copies are offered again.
			_ = de.to.Send(&frame.Frame{Body: &frame.Frame_Told{Told: de.message}})
		}
	}
}

// drainTimeout bounds how long a planned stop waits for another entry to take the copies.
const drainTimeout = 5 * time.Second

// drain hands the copies of entries without a link to a successor and waits until they are
// durable. Otherwise the last copies of an entry's bills would be lost if the agent stops shortly
// after the entry crashed.
func (bc *billCopies) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	bc.mu.Lock()
	bc.copies.OfferNow()
	bc.mu.Unlock()
	for count := bc.unlinkedCopies(); count > 0; count = bc.unlinkedCopies() {
		select {
		case <-ctx.Done():
			event.Log(bc.deps.Log, event.CopiesLeft, "copies", count)
			return
		case <-time.After(handoverInterval / 10):
		}
	}
}

func (bc *billCopies) unlinkedCopies() int {
	bc.mu.Lock()
	defer bc.mu.Unlock()
	return bc.copies.CountUnlinked(bc.linkedEntries())
}

func (bc *billCopies) linkedEntries() []core.ProcessID {
	return slices.Sorted(maps.Keys(bc.entries))
}

// handover is a message with bills, and the link of the entry that receives it.
type handover struct {
	to      *link.Control
	message *frame.Told
}

func (bc *billCopies) dueHandovers(now time.Time) []handover {
	bc.mu.Lock()
	defer bc.mu.Unlock()
	var out []handover
	for _, of := range bc.copies.Due(now, bc.linkedEntries()) {
		out = append(out, handover{bc.entries[of.To], &frame.Told{Process: string(of.Process), Bills: of.Bills}})
	}
	return out
}
