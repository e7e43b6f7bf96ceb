package forward

import (
	"context"
	"time"

	"skylarkstand/core/mechanism"
	"skylarkstand/core/route"
)

// startupWaitLimit is how long after its start a process may let a request wait for the first
// configuration. The store or a sibling entry supplies it within 10 ms in the local region and
// 160 ms from another one, over three round trips of 60 ms and the opening of connections; the
// rest allows for a lost packet. If neither answers in that time, they are down for seconds, and
// the caller gets a refusal.
//
// The wait is for the moment after all entries were lost: their callers retry at once, the load
// balancer has no other entry, and a refusal uses up the only retry of most callers.
const startupWaitLimit = 700 * time.Millisecond

// awaitTable returns the configuration in force, or nil when there is none and none can be
// expected soon.
func (fw *Forwarder) awaitTable(ctx context.Context) *route.Table {
	inf := fw.components.InForce
	left := startupWaitLimit - time.Since(fw.started)
	if tb := inf.Current(); tb != nil || left <= 0 || fw.components.Off.Has(mechanism.StartupWait) {
		return tb
	}
	ti := time.NewTimer(left)
	defer ti.Stop()
	select {
	case <-inf.Loaded():
	case <-ti.C:
	case <-ctx.Done():
	}
	return inf.Current()
}
