// Package fleet maintains the set of upstreams from the platform's host list.
//
// The list reflects leases: when a host vanishes from it, its upstream may be gone, or the store
// was unavailable and the lease ran out meanwhile. Applying every removal at once would leave a
// service without upstreams when the store becomes available again, although all of them run;
// delaying every removal would send work to hosts that are gone. So a doubtful removal, which an outage
// of the store may have caused, only takes effect once it is known to be certain.
//
// The package is also the one place that decides which upstreams may get new work: those that are
// ready, in a region in which the request may be served, and in an availability zone that is not
// evacuated. An upstream that reports in a response that it is draining gets none either, whatever the
// list shows.
//
// # Usage
//
//	fl := fleet.New()
//	fl.Put(host)
//	fl.Remove(id, true)
//	fl.Evacuate(zone)
//	for _, ho := range fl.Serving(service, core.Regions{}) { … }
package fleet

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"skylarkstand/core"
)

// Fleet is the set of known upstreams. It is safe for concurrent use.
type Fleet struct {
	mu      sync.Mutex
	members map[core.UpstreamID]*member
	// evacuated holds the availability zones that get no new work.
	evacuated map[core.Zone]bool
	draining  map[core.UpstreamID]draining
	// lists caches the lists by key; every change clears it.
	lists map[listKey][]core.Host
}

type listKey struct {
	service core.ServiceID
	regions core.Regions
	// all includes the upstreams of evacuated zones.
	all bool
}

type member struct {
	host core.Host
	// doubtful is set after a doubtful removal.
	doubtful bool
}

// New returns an empty fleet.
func New() *Fleet {
	return &Fleet{members: map[core.UpstreamID]*member{}, evacuated: map[core.Zone]bool{}, draining: map[core.UpstreamID]draining{}, lists: map[listKey][]core.Host{}}
}

// Put adds or replaces an upstream from its entry in the host list.
func (fl *Fleet) Put(ho core.Host) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	ho.Leaving = ho.Leaving || fl.isDraining(&ho)
	fl.members[ho.ID] = &member{host: ho}
	clear(fl.lists)
}

// Remove applies the removal of an upstream from the host list. After a doubtful one, which a failure of
// the store may have caused, the upstream stays until a certain one, unless it had announced that it was
// leaving.
func (fl *Fleet) Remove(id core.UpstreamID, doubtful bool) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	me := fl.members[id]
	if me == nil {
		return
	}
	if doubtful && !me.host.Leaving {
		me.doubtful = true
		return
	}
	delete(fl.members, id)
	clear(fl.lists)
}

// Contains reports whether this incarnation of an upstream is known.
func (fl *Fleet) Contains(ho *core.Host) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	me := fl.members[ho.ID]
	return me != nil && me.host.StartedAt == ho.StartedAt
}

// IsLeaving reports whether this incarnation of an upstream is known to be leaving.
func (fl *Fleet) IsLeaving(ho *core.Host) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	me := fl.members[ho.ID]
	return me != nil && me.host.StartedAt == ho.StartedAt && me.host.Leaving
}

// Serving lists the upstreams of a service that may get new work within the given regions, by id.
// The returned slice is shared and must not be changed.
func (fl *Fleet) Serving(sv core.ServiceID, within core.Regions) []core.Host {
	return fl.list(listKey{service: sv, regions: within})
}

// Ready lists all ready upstreams of a service by id, including those that get no new work because
// their zone is evacuated. The returned slice is shared and must not be changed.
func (fl *Fleet) Ready(sv core.ServiceID) []core.Host {
	return fl.list(listKey{service: sv, all: true})
}

func (fl *Fleet) list(key listKey) []core.Host {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	list, ok := fl.lists[key]
	if ok {
		return list
	}
	for _, me := range fl.members {
		if fl.matches(key, &me.host) {
			list = append(list, me.host)
		}
	}
	slices.SortFunc(list, func(a, b core.Host) int { return cmp.Compare(a.ID, b.ID) })
	fl.lists[key] = list
	return list
}

func (fl *Fleet) matches(key listKey, ho *core.Host) bool {
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

// Evacuated lists the availability zones that get no new work, sorted.
func (fl *Fleet) Evacuated() []core.Zone {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return slices.Sorted(maps.Keys(fl.evacuated))
}

// Count is the number of upstreams of a service by state. Evacuated counts those that are ready in
// a zone that gets no new work.
type Count struct{ Serving, Leaving, Doubtful, Evacuated int }

// Counts returns the number of upstreams by service and state.
func (fl *Fleet) Counts() map[core.ServiceID]Count {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	out := map[core.ServiceID]Count{}
	for _, me := range fl.members {
		co := out[me.host.Service]
		switch {
		case me.doubtful:
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

// Len returns the number of upstreams.
func (fl *Fleet) Len() int {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return len(fl.members)
}
