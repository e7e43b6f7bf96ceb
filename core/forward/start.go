package forward

import (
	"context"
	"time"

	"skylarkstand/core/mechanism"
	"skylarkstand/core/route"
)

// startLimit is how long after its start a process may let a request wait for
// the first configuration. The store or another entry gives it within 10 ms in
// their region and 160 ms from another one, over three round trips of 60 ms and
// the opening of connections; the rest is for a lost packet. When neither
// answers in that time they are away for seconds, and the caller is told so.
//
// It is made for the moment after all entries were lost: their callers come back
// at once, the balancer has nobody else to send them to, and a refusal uses up
// the one retry that most of them have. Of the days with trouble, 23 callers
// each were refused so.
const startLimit = 700 * time.Millisecond

// table returns the configuration in force, or nil when there is none and none
// can be expected soon.
func (fw *Forwarder) table(ctx context.Context) *route.Table {
	inf := fw.parts.InForce
	left := startLimit - time.Since(fw.started)
	if tb := inf.Current(); tb != nil || left <= 0 || fw.parts.Off.Has(mechanism.StartWait) {
		return tb
	}
	ti := time.NewTimer(left)
	defer ti.Stop()
	select {
	case <-inf.Known():
	case <-ti.C:
	case <-ctx.Done():
	}
	return inf.Current()
}
