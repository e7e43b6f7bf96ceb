// Package fleet maintains the set of upstreams from the platform's host list.
//
// The list reflects leases: when a host vanishes from it, its upstream may be gone, or the store
// was unavailable and the lease ran out meanwhile. Applying every removal at once would leave a
// service without upstreams when the store becomes available again, although all of them run;
// delaying every removal would send work to hosts that are gone. So a removal takes effect at once
// while the store has been available, and only after a grace period when it has not.
//
// The package is also the one place that decides which upstreams may get new work: those that are
// ready, in a region in which the request may be served, and in an availability zone that is not
// evacuated. An upstream that reports in a response that it is draining gets none either, whatever the
// list shows.
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

// DefaultGrace is how long an upstream stays after a removal that an expired lease may have caused.
// Running upstreams register again within about two seconds of the store's return; half a second is
// for the propagation to this process.
const DefaultGrace = 2500 * time.Millisecond

// Fleet is the set of known upstreams. It is safe for concurrent use.
type Fleet struct {
	grace time.Duration

	mu      sync.Mutex
	members map[core.UpstreamID]*member
	// evacuated holds the availability zones that get no new work.
	evacuated map[core.Zone]bool
	draining  map[core.UpstreamID]draining
	// lists caches the lists by key; every change clears it.
	lists map[listKey][]core.Host
	// nextExpiry is when the first grace period ends; zero when none runs.
	nextExpiry time.Time
}

type listKey struct {
	service core.ServiceID
	regions core.Regions
	// all includes the upstreams of evacuated zones.
	all bool
}

type member struct {
	host core.Host
	// expiresAt is the end of the grace period; zero while the host is listed.
	expiresAt time.Time
}

// Option changes a Fleet at construction.
type Option func(*Fleet)

// Grace sets how long an upstream stays after a doubtful removal, see [Fleet.Remove].
func Grace(du time.Duration) Option { return func(fl *Fleet) { fl.grace = du } }

// New returns an empty fleet.
func New(opts ...Option) *Fleet {
	fl := &Fleet{grace: DefaultGrace, members: map[core.UpstreamID]*member{}, evacuated: map[core.Zone]bool{}, draining: map[core.UpstreamID]draining{}, lists: map[listKey][]core.Host{}}
	for _, opt := range opts {
		opt(fl)
	}
	return fl
}

// Put adds or replaces an upstream from its entry in the host list.
func (fl *Fleet) Put(ho core.Host) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	ho.Leaving = ho.Leaving || fl.isDraining(&ho)
	fl.members[ho.ID] = &member{host: ho}
	clear(fl.lists)
}

// Remove applies the removal of an upstream from the host list. A doubtful removal is one that a
// failure of the store may have caused; the upstream then stays for the grace period, unless it had
// announced that it was leaving.
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
	me.expiresAt = now.Add(fl.grace)
	if fl.nextExpiry.IsZero() || me.expiresAt.Before(fl.nextExpiry) {
		fl.nextExpiry = me.expiresAt
	}
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
func (fl *Fleet) Serving(sv core.ServiceID, now time.Time, within core.Regions) []core.Host {
	return fl.list(now, listKey{service: sv, regions: within})
}

// Ready lists all ready upstreams of a service by id, including those that get no new work because
// their zone is evacuated. The returned slice is shared and must not be changed.
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
func (fl *Fleet) Counts(now time.Time) map[core.ServiceID]Count {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.expire(now)
	out := map[core.ServiceID]Count{}
	for _, me := range fl.members {
		co := out[me.host.Service]
		switch {
		case !me.expiresAt.IsZero():
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

// expire deletes the members whose grace period has ended.
func (fl *Fleet) expire(now time.Time) {
	if fl.nextExpiry.IsZero() || now.Before(fl.nextExpiry) {
		return
	}
	fl.nextExpiry = time.Time{}
	for id, me := range fl.members {
		switch {
		case me.expiresAt.IsZero():
		case !now.Before(me.expiresAt):
			delete(fl.members, id)
		case fl.nextExpiry.IsZero() || me.expiresAt.Before(fl.nextExpiry):
			fl.nextExpiry = me.expiresAt
		}
	}
	clear(fl.lists)
}

// Len returns the number of upstreams.
func (fl *Fleet) Len() int {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return len(fl.members)
}
