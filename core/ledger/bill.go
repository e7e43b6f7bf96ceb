// Package ledger writes the bills of requests into the platform's store, one for each request.
//
// Each entry process has its own chain, ledger/<process>. Bills wait in memory and are written as
// segments at a rate that the store's write budget allows. Until a bill is durable, the agent that
// did the work keeps a copy.
//
// A process that appears to be gone may only be paused. So its chain is sealed before another
// process files its bills, and from then on all its bills, whichever process files them, go into
// one more chain, ledger/<process>/takeover. Before a process writes an entry there, it reads all
// earlier entries and leaves out the bills that they hold. Each entry is created once, after the one
// before it, so no bill can be in two entries; spec/billing.pml models this protocol.
//
// A bill is identified by its last attempt, which no other bill has. The request id does not
// identify it: callers may choose it, and send the same id twice.
//
// An agent's copy of a bill carries a [Floor], the low-water mark of the chains: the first entries
// that can hold the bill. A successor looks for the bill from there on only.
//
// # Usage
//
//	led := ledger.New(deps, store, ledger.WriteBudget(100, liveEntries))
//	floor := led.Floor()
//	led.Add(bill)                            // before an agent receives the copy
//	co := ledger.Copy{Floor: floor, Bill: bill}
//	go led.Serve(ctx)                        // writes segments
//	successor := ledger.NewSuccessor(deps, store, led)
//	go successor.Serve(ctx)                  // files bills of gone processes
//	led.Close(10 * time.Second)              // at a planned stop
//	acc, err := ledger.Sum(ctx, store)
package ledger

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"skylarkstand/core"
)

// Bill is the cost of one request, over all its stages.
type Bill struct {
	Request   core.RequestID   `json:"request"`
	Workspace core.WorkspaceID `json:"workspace"`
	When      time.Time        `json:"when"`
	Total     core.Millicents  `json:"total"`
	Lines     []Line           `json:"lines"`
	// Content is the digest of what the caller sent. Together with the request id it distinguishes
	// a retry of a request from another request with the same id.
	Content string `json:"content,omitempty"`
	// ReplayOf is set when the caller received the stored answer of an operation. It is the attempt
	// that ran the operation. Of all bills for one such attempt only one is charged.
	ReplayOf core.AttemptID `json:"replay-of,omitempty"`
}

// ID returns the attempt of the bill's last line, which produced the complete answer. No two bills
// share it.
func (bi *Bill) ID() core.AttemptID {
	if len(bi.Lines) == 0 {
		return core.AttemptID(bi.Request)
	}
	return bi.Lines[len(bi.Lines)-1].Attempt
}

// Line is one stage of a request.
type Line struct {
	// Target is the model version, or service and operation, that ran.
	Target  string          `json:"target"`
	Attempt core.AttemptID  `json:"attempt"`
	Usage   core.Usage      `json:"usage"`
	Cost    core.Millicents `json:"cost"`
}

// Digest returns the digest of a caller's body and of the other values that distinguish its
// request, for [Bill.Content].
func Digest(body []byte, others ...string) string {
	di := xxhash.New()
	_, _ = di.Write(body)
	for _, other := range others {
		_, _ = di.WriteString("\x00" + other)
	}
	return fmt.Sprintf("%016x", di.Sum64())
}

// Segment is the payload of one entry of a ledger chain.
type Segment struct {
	Bills []Bill `json:"bills"`
}

// Floor is the first entry of each of a process's chains that can hold a bill. Without it a
// successor would have to read the chains from their first entry, which after a day of segments
// takes thousands of calls to the store.
type Floor struct {
	Own      uint64 `json:"own"`
	Takeover uint64 `json:"takeover"`
}

// lower returns the lower bound of both floors, chain by chain.
func (fl Floor) lower(other Floor) Floor {
	return Floor{Own: min(fl.Own, other.Own), Takeover: min(fl.Takeover, other.Takeover)}
}

// Copy is what an agent keeps of a bill until the bill is durable. The floor is read before the
// bill is added to the writer.
type Copy struct {
	Floor Floor `json:"floor"`
	Bill  Bill  `json:"bill"`
}
