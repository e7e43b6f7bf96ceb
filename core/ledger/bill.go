// Package ledger writes what callers owe into the platform's store, once for
// each request.
//
// Each entry process has a chain of its own, ledger/<process>. Bills wait in
// memory and are written as segments at a pace that the store's write budget
// allows. Until a bill is durable, the agent that did the work keeps a copy.
//
// A process that is taken for gone may only be paused. So its chain is sealed
// before anybody else files its bills, and from then on all of them, whoever
// files them, go into one more chain, ledger/<process>/estate. The author of
// an entry there has read all entries below it, and files nothing that stands
// in one. The entries are serial, so no bill can stand in two; spec/billing.pml
// is the model of it.
//
// What a bill is filed under is its last attempt, which no other bill has. The
// request id may be the caller's choice, and callers send the same id twice.
//
// # Usage
//
//	led := ledger.New(deps, store, ledger.Budget(100, liveEntries))
//	floor := led.Floor()
//	led.Add(bill)                            // before an agent is told
//	copy := ledger.Copy{Floor: floor, Bill: bill}
//	go led.Serve(ctx)                        // writes segments
//	heir := ledger.NewHeir(deps, store, led)
//	go heir.Serve(ctx)                       // files bills of gone processes
//	led.Close(10 * time.Second)              // at a planned stop
//	acc, err := ledger.Sum(ctx, store)
package ledger

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"skylarkstand/core"
)

// Bill is what one request costs, over all its stages.
type Bill struct {
	Request   core.RequestID   `json:"request"`
	Workspace core.WorkspaceID `json:"workspace"`
	When      time.Time        `json:"when"`
	Total     core.Millicents  `json:"total"`
	Lines     []Line           `json:"lines"`
	// Content is the digest of what the caller sent. With the request id it
	// tells a request that was sent again from another one under the same id.
	Content string `json:"content,omitempty"`
	// ReplayOf is set for the stored answer of an operation and names the
	// attempt that ran it. Of all bills for one such attempt one is charged.
	ReplayOf core.AttemptID `json:"replay-of,omitempty"`
}

// ID is the attempt that gave the whole answer. No two bills share one.
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

// Digest returns the digest of a caller's body and of what else tells its
// request from others, for [Bill.Content].
func Digest(body []byte, others ...string) string {
	di := xxhash.New()
	_, _ = di.Write(body)
	for _, other := range others {
		_, _ = di.WriteString("\x00" + other)
	}
	return fmt.Sprintf("%016x", di.Sum64())
}

// Segment is what one entry of a ledger chain holds.
type Segment struct {
	Bills []Bill `json:"bills"`
}

// Floor is the first entry of each of a process's chains that can hold a
// bill. Without it an heir would have to read the chains from their beginning,
// which after a day of segments are thousands of calls of the store.
type Floor struct {
	Own    uint64 `json:"own"`
	Estate uint64 `json:"estate"`
}

// lower returns the floor below both.
func (fl Floor) lower(other Floor) Floor {
	return Floor{Own: min(fl.Own, other.Own), Estate: min(fl.Estate, other.Estate)}
}

// Copy is what an agent keeps of a bill until it is durable. The floor is
// taken before the bill is added to the writer.
type Copy struct {
	Floor Floor `json:"floor"`
	Bill  Bill  `json:"bill"`
}
