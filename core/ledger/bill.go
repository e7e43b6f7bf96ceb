// Package ledger writes what callers owe into the platform's store, once for
// each request.
//
// Each entry process has a chain of its own, ledger/<process>. Bills are
// gathered in memory and written as segments at a pace that the store's write
// budget allows. Until a segment is durable, the agents that did the work keep
// a copy of its bills.
//
// # Usage
//
//	led := ledger.New(deps, store, ledger.Pace(2*time.Second))
//	led.Add(bill)                  // before the caller gets the end
//	go led.Serve(ctx)              // writes segments
//	sum, err := ledger.Sum(ctx, store)
package ledger

import (
	"time"

	"skylarkstand/core"
)

// Bill is what one request costs, over all its stages.
type Bill struct {
	Request   core.RequestID   `json:"request"`
	Workspace core.WorkspaceID `json:"workspace"`
	When      time.Time        `json:"when"`
	Total     core.Millicents  `json:"total"`
	Lines     []Line           `json:"lines"`
}

// Line is one stage of a request.
type Line struct {
	// Target is the model version, or service and operation, that ran.
	Target  string          `json:"target"`
	Attempt core.AttemptID  `json:"attempt"`
	Usage   core.Usage      `json:"usage"`
	Cost    core.Millicents `json:"cost"`
}

// Segment is what one entry of a ledger chain holds.
type Segment struct {
	Bills []Bill `json:"bills"`
}
