package claim

import (
	"context"

	"skylarkstand/core"
)

// hold is an owned claim of this process, until its ending stands in the
// store. It lets a second caller of the same key have the first one's answer.
type hold struct {
	done  chan struct{}
	ended bool
	end   Ending
}

// Ending is how an attempt of this process ended.
type Ending struct {
	// Failure is set when it ended without an answer.
	Failure *core.Failure
	Answer  Answer
}

func (tbl *Table) hold(id core.AttemptID) {
	tbl.mu.Lock()
	defer tbl.mu.Unlock()
	tbl.holds[id] = &hold{done: make(chan struct{})}
}

func (tbl *Table) end(id core.AttemptID, en Ending) {
	tbl.mu.Lock()
	defer tbl.mu.Unlock()
	ho := tbl.holds[id]
	if ho == nil || ho.ended {
		return
	}
	ho.end, ho.ended = en, true
	close(ho.done)
}

func (tbl *Table) drop(id core.AttemptID) {
	tbl.mu.Lock()
	defer tbl.mu.Unlock()
	delete(tbl.holds, id)
}

// Await waits for the ending of an attempt that this process runs, within the
// context. It returns false when no such attempt is known here or the context
// ended first: its outcome is then unknown to the caller.
func (tbl *Table) Await(ctx context.Context, id core.AttemptID) (Ending, bool) {
	tbl.mu.Lock()
	ho := tbl.holds[id]
	tbl.mu.Unlock()
	if ho == nil {
		return Ending{}, false
	}
	select {
	case <-ho.done:
		return ho.end, true
	case <-ctx.Done():
		return Ending{}, false
	}
}
