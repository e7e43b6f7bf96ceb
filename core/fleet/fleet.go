// Package fleet keeps which upstreams there are, from the platform's list.
//
// The list is news of leases: an entry that vanishes may mean that its
// upstream left, or only that the store was away and leases ran out
// meanwhile. Taking every removal at its word would leave a service without
// upstreams at the very moment when the store comes back, although all of them
// run; keeping every one for long would send work to hosts that are gone. So a
// removal counts at once while the store has been well, and only after a grace
// when it has not.
//
// It is also the one place that says which upstreams may get new work: those that
// are ready, in a region that the request may be served in, and in an availability
// zone that is not evacuated.
//
// # Usage
//
//	fl := fleet.New(fleet.Grace(2500 * time.Millisecond))
//	fl.Put(host)
//	fl.Remove(id, now, true)
//	fl.Evacuate(zone)
//	for _, ho := range fl.Serving(service, now, core.Regions{}) { … }
package fleet

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"skylarkstand/core"
)

// DefaultGrace is how long an upstream stays after a removal that may be a
// lapsed lease. Upstreams that live write themselves back within about two
// seconds of the store's return; half a second is for the way here.
const DefaultGrace = 2500 * time.Millisecond

// Fleet is safe for concurrent use.
type Fleet struct {
	grace time.Duration

	mu      sync.Mutex
	members map[core.UpstreamID]*member
	// evacuated are the availability zones that get no new work.
	evacuated map[core.Zone]bool
	// lists are built when asked for, and dropped when something changes.
	lists map[listKey][]core.Host
	// next is when the first grace ends; zero when none runs.
	next time.Time
}

type listKey struct {
	service core.ServiceID
	regions core.Regions
	// all includes the upstreams of evacuated zones.
	all bool
}

type member struct {
	host core.Host
	// gone is when the member stops counting; zero while it is listed.
	gone time.Time
}

// Option changes a Fleet at construction.
type Option func(*Fleet)

// Grace sets how long an upstream stays after a doubtful removal.
func Grace(du time.Duration) Option { return func(fl *Fleet) { fl.grace = du } }

// New returns an empty fleet.
func New(opts ...Option) *Fleet {
	fl := &Fleet{grace: DefaultGrace, members: map[core.UpstreamID]*member{}, evacuated: map[core.Zone]bool{}, lists: map[listKey][]core.Host{}}
	for _, opt := range opts {
		opt(fl)
	}
	return fl
}

// Put takes over an upstream's line of the list.
func (fl *Fleet) Put(ho core.Host) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.members[ho.ID] = &member{host: ho}
	clear(fl.lists)
}

// Remove notes that an upstream's line is gone. A doubtful removal is one that
// the store's own trouble may have caused; the upstream then stays for the
// grace, unless it had said that it was leaving.
func (fl *Fleet) Remove(id core.UpstreamID, now time.Time, doubtful bool) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	me := fl.members[id]
	if me == nil {
		return
	}
	clear(fl.lists)
	if !doubtful || me.host.Leaving {
		delete(fl.members, id)
		return
	}
	me.gone = now.Add(fl.grace)
	if fl.next.IsZero() || me.gone.Before(fl.next) {
		fl.next = me.gone
	}
}

// Serving lists the upstreams of a service that may get new work within the
// given regions, by id. The list is shared and must not be changed.
func (fl *Fleet) Serving(sv core.ServiceID, now time.Time, within core.Regions) []core.Host {
	return fl.list(now, listKey{service: sv, regions: within})
}

// Ready lists all upstreams of a service that are ready, by id, with those that
// get no new work since their zone is evacuated. The list is shared and must not
// be changed.
func (fl *Fleet) Ready(sv core.ServiceID, now time.Time) []core.Host {
	return fl.list(now, listKey{service: sv, all: true})
}

func (fl *Fleet) list(now time.Time, key listKey) []core.Host {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.expire(now)
	list, ok := fl.lists[key]
	if ok {
		return list
	}
	for _, me := range fl.members {
		if fl.selects(key, &me.host) {
			list = append(list, me.host)
		}
	}
	slices.SortFunc(list, func(a, b core.Host) int { return cmp.Compare(a.ID, b.ID) })
	fl.lists[key] = list
	return list
}

func (fl *Fleet) selects(key listKey, ho *core.Host) bool {
	if ho.Service != key.service || ho.Leaving {
		return false
	}
	return key.all || key.regions.Allows(ho.Region) && !fl.evacuated[ho.Zone]
}

// Evacuate keeps new work from an availability zone until [Fleet.Restore].
func (fl *Fleet) Evacuate(zo core.Zone) { fl.setEvacuated(zo, true) }

// Restore ends an evacuation.
func (fl *Fleet) Restore(zo core.Zone) { fl.setEvacuated(zo, false) }

func (fl *Fleet) setEvacuated(zo core.Zone, on bool) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if on {
		fl.evacuated[zo] = true
	} else {
		delete(fl.evacuated, zo)
	}
	clear(fl.lists)
}

// Evacuated lists the availability zones that get no new work, in order.
func (fl *Fleet) Evacuated() []core.Zone {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return slices.Sorted(maps.Keys(fl.evacuated))
}

// Count is how many upstreams of a service are in each state. Evacuated are those
// that are ready in a zone that gets no new work.
type Count struct{ Serving, Leaving, Doubtful, Evacuated int }

// Counts returns the upstreams by service.
func (fl *Fleet) Counts(now time.Time) map[core.ServiceID]Count {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.expire(now)
	out := map[core.ServiceID]Count{}
	for _, me := range fl.members {
		co := out[me.host.Service]
		switch {
		case !me.gone.IsZero():
			co.Doubtful++
		case me.host.Leaving:
			co.Leaving++
		case fl.evacuated[me.host.Zone]:
			co.Evacuated++
		default:
			co.Serving++
		}
		out[me.host.Service] = co
	}
	return out
}

// expire drops the members whose grace has ended.
func (fl *Fleet) expire(now time.Time) {
	if fl.next.IsZero() || now.Before(fl.next) {
		return
	}
	fl.next = time.Time{}
	for id, me := range fl.members {
		switch {
		case me.gone.IsZero():
		case !now.Before(me.gone):
			delete(fl.members, id)
		case fl.next.IsZero() || me.gone.Before(fl.next):
			fl.next = me.gone
		}
	}
	clear(fl.lists)
}

// Len returns how many upstreams are known.
func (fl *Fleet) Len() int {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return len(fl.members)
}
