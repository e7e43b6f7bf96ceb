package claim

import (
	"context"

	"skylarkstand/core"
)

// ownedClaim is a claim that this process owns, tracked until its ending is in the store. A second
// caller with the same key can wait on it for the first caller's answer.
type ownedClaim struct {
	done   chan struct{}
	ended  bool
	ending Ending
}

// Ending is how an attempt of this process ended.
type Ending struct {
	// Failure is set when the attempt ended without an answer.
	Failure *core.Failure
	Answer  Answer
}

func (tbl *Table) trackOwned(id core.AttemptID) {
	tbl.mu.Lock()
	defer tbl.mu.Unlock()
	tbl.owned[id] = &ownedClaim{done: make(chan struct{})}
}

// recordEnding records how an attempt ended and tells those that wait for it. The caller holds the lock.
func (tbl *Table) recordEnding(id core.AttemptID, en Ending) {
	oc := tbl.owned[id]
	if oc == nil || oc.ended {
		return
	}
	oc.ending, oc.ended = en, true
	close(oc.done)
}

func (tbl *Table) untrackOwned(id core.AttemptID) {
	tbl.mu.Lock()
	defer tbl.mu.Unlock()
	delete(tbl.owned, id)
}

// AwaitEnding waits until the context ends for the ending of an attempt that this process runs. It
// returns false when this process runs no such attempt or the context ended first: the outcome is
// then unknown to the caller.
func (tbl *Table) AwaitEnding(ctx context.Context, id core.AttemptID) (Ending, bool) {
	tbl.mu.Lock()
	oc := tbl.owned[id]
	tbl.mu.Unlock()
	if oc == nil {
		return Ending{}, false
	}
	select {
	case <-oc.done:
		return oc.ending, true
	case <-ctx.Done():
		return Ending{}, false
	}
}
