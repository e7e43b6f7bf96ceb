package fleet

import (
	"maps"
	"time"

	"skylarkstand/core"
)

// drainingTTL is how long a draining upstream that is not listed is remembered after its last answer.
// It may be listed again while it lives, as when a lease ran out.
const drainingTTL = 10 * time.Minute

// draining is an incarnation of an upstream that has reported in a response that it is draining.
type draining struct {
	startedAt int64
	at        time.Time
}

// MarkDraining keeps new work from an upstream that has reported in a response that it is draining,
// until it has restarted. The host list may show it as ready until it exits. MarkDraining returns
// false if the upstream was marked before.
func (fl *Fleet) MarkDraining(now time.Time, id core.UpstreamID, startedAt int64) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	maps.DeleteFunc(fl.draining, func(id core.UpstreamID, dr draining) bool {
		return fl.members[id] == nil && now.Sub(dr.at) >= drainingTTL
	})
	old, known := fl.draining[id]
	if known && old.startedAt > startedAt {
		return false // The answer of an earlier incarnation.
	}
	fl.draining[id] = draining{startedAt, now}
	if me := fl.members[id]; me != nil && me.host.StartedAt == startedAt {
		me.host.Leaving = true
		clear(fl.lists)
	}
	return !known || old.startedAt != startedAt
}

// Find returns the upstream that matches.
func (fl *Fleet) Find(match func(core.Host) bool) (core.Host, bool) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, me := range fl.members {
		if match(me.host) {
			return me.host, true
		}
	}
	return core.Host{}, false
}

// isDraining reports whether this incarnation of an upstream is marked as draining.
func (fl *Fleet) isDraining(ho *core.Host) bool {
	dr, ok := fl.draining[ho.ID]
	return ok && dr.startedAt == ho.StartedAt
}
