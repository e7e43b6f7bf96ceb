// Package feed hands the changes of the mirrored store to the parts that
// decide by them: the configuration, the fleet of upstreams, the roll-outs and
// the list of entries.
//
// What the keys mean is the platform's matter, behind [Layout]. The project's
// own keys, of its entries and the steps of roll-outs, are known here.
//
// # Usage
//
//	fd := feed.New(deps, layout, feed.Parts{…})
//	mi.Subscribe(fd.Changed)
package feed

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/canary"
	"skylarkstand/core/event"
	"skylarkstand/core/fleet"
	"skylarkstand/core/route"
	"skylarkstand/core/warmup"
)

// Entry is what a key of the platform holds; nothing is set for one that does
// not concern the project.
type Entry struct {
	Configuration *route.Document
	Order         *canary.Order
	Status        *canary.Status
	// Upstream is set for every line of the list, Host only for one that can
	// be read.
	Upstream core.UpstreamID
	Host     *core.Host
	// Evacuated is the availability zone that is to get no new work for as long
	// as the key is there.
	Evacuated core.Zone
}

// Layout knows what the platform's keys mean.
type Layout interface {
	// Decode returns what a key holds. With an error, Entry.Upstream and
	// Entry.Evacuated are still set where the key alone tells them.
	Decode(it core.Item) (Entry, error)
}

// Keys of the project's own in the store.
const (
	PrefixEntries = "skylarkstand/entries/"
	PrefixSteps   = "skylarkstand/roll-outs/"
)

// Member is an entry process, as it registers itself.
type Member struct {
	ID   core.ProcessID `json:"id"`
	Addr string         `json:"addr"`
	Zone core.Zone      `json:"zone"`
	// Revision is that of the registration.
	Revision core.Revision `json:"-"`
}

// Parts are told of changes.
type Parts struct {
	InForce *route.InForce
	Fleet   *fleet.Fleet
	Canary  *canary.Guard
	Warmup  *warmup.Tracker
	// Regions holds the region of each availability zone.
	Regions map[core.Zone]core.Region
	// Doubtful reports whether a removal may be the store's own trouble.
	Doubtful func(now time.Time) bool
	// Gone is called for an upstream that is not listed any more.
	Gone func(core.Host)
}

// Feed is called by the mirror, one batch of changes at a time.
type Feed struct {
	deps core.Deps
	la   Layout
	pa   Parts

	mu      sync.Mutex
	members map[core.ProcessID]Member
	hosts   map[core.UpstreamID]core.Host
	// holders are the entries that share the permits of a region's upstreams, kept
	// until one of the entries changes.
	holders map[core.Region][]core.ProcessID
	// restored are the upstreams that have not written since the evacuation of
	// their zone ended.
	restored map[core.UpstreamID]bool
	// newest is the configuration of the batch at hand.
	newest *route.Document
}

// New returns a feed.
func New(deps core.Deps, la Layout, pa Parts) *Feed {
	return &Feed{
		deps: deps, la: la, pa: pa, members: map[core.ProcessID]Member{},
		hosts: map[core.UpstreamID]core.Host{}, restored: map[core.UpstreamID]bool{}, holders: map[core.Region][]core.ProcessID{},
	}
}

// Changed takes in changes in their order.
func (fd *Feed) Changed(changes []core.Change) {
	now := time.Now()
	for _, ch := range changes {
		switch {
		case strings.HasPrefix(ch.Key, PrefixEntries):
			fd.member(ch)
		case strings.HasPrefix(ch.Key, PrefixSteps):
			fd.step(now, ch)
		default:
			fd.platform(now, ch)
		}
	}
	fd.adopt()
}

func (fd *Feed) member(ch core.Change) {
	id := core.ProcessID(strings.TrimPrefix(ch.Key, PrefixEntries))
	var me Member
	if !ch.Gone {
		if err := json.Unmarshal(ch.Value, &me); err != nil {
			fd.malformed(ch, err)
			return
		}
	}
	clear(fd.holders)
	fd.mu.Lock()
	defer fd.mu.Unlock()
	if ch.Gone {
		delete(fd.members, id)
		return
	}
	me.ID, me.Revision = id, ch.Revision
	fd.members[id] = me
}

// Members lists the entries that are registered. Of several at one address only the
// newest is there: the others are gone, though their leases last for some seconds.
func (fd *Feed) Members() []Member {
	fd.mu.Lock()
	defer fd.mu.Unlock()
	newest := map[string]Member{}
	out := make([]Member, 0, len(fd.members))
	for _, me := range fd.members {
		if me.Addr == "" {
			out = append(out, me)
			continue
		}
		if old, ok := newest[me.Addr]; !ok || old.Revision < me.Revision {
			newest[me.Addr] = me
		}
	}
	return slices.AppendSeq(out, maps.Values(newest))
}

// Entries counts the entries that are registered, with those that are gone and whose
// repeats still count in the window of the others.
func (fd *Feed) Entries() int {
	fd.mu.Lock()
	defer fd.mu.Unlock()
	return len(fd.members)
}

func (fd *Feed) step(now time.Time, ch core.Change) {
	if ch.Gone {
		return
	}
	var st canary.Step
	if err := json.Unmarshal(ch.Value, &st); err != nil {
		fd.malformed(ch, err)
		return
	}
	st.Service, st.Revision = core.ServiceID(strings.TrimPrefix(ch.Key, PrefixSteps)), ch.Revision
	fd.pa.Canary.Step(now, st)
	event.Log(fd.deps.Log, event.CanaryStep, "service", st.Service, "step", st.Step, "order", st.Order, "revision", st.Revision)
}

func (fd *Feed) platform(now time.Time, ch core.Change) {
	en, err := fd.la.Decode(ch.Item)
	switch {
	case en.Upstream != "":
		fd.upstream(now, ch, en, err)
	case en.Evacuated != "":
		fd.evacuation(now, ch, en.Evacuated)
	case ch.Gone:
	case err != nil:
		fd.malformed(ch, err)
	case en.Configuration != nil:
		fd.newest = en.Configuration
	case en.Order != nil:
		fd.pa.Canary.Order(now, *en.Order)
		event.Log(fd.deps.Log, event.CanaryOrdered, "service", en.Order.Service, "target", en.Order.Target,
			"duration", en.Order.Duration, "revision", en.Order.Revision)
	case en.Status != nil:
		fd.pa.Canary.Status(*en.Status)
		event.Log(fd.deps.Log, event.CanaryStatus, "service", en.Status.Service, "target", en.Status.Target,
			"state", en.Status.State, "revision", en.Status.Revision)
	}
}

// evacuation takes in that a zone is evacuated, or that its evacuation has ended,
// which only the removal of its key tells.
func (fd *Feed) evacuation(now time.Time, ch core.Change, zo core.Zone) {
	if ch.Gone {
		fd.pa.Fleet.Restore(zo)
		fd.coolZone(now, ch, zo)
		event.Log(fd.deps.Log, event.ZoneRestored, "zone", zo, "revision", ch.Revision)
		return
	}
	fd.pa.Fleet.Evacuate(zo)
	event.Log(fd.deps.Log, event.ZoneEvacuated, "zone", zo, "revision", ch.Revision)
}

// upstream takes in a line of the list. One that cannot be read names no
// upstream: somebody else wrote it.
func (fd *Feed) upstream(now time.Time, ch core.Change, en Entry, err error) {
	old, known := fd.hosts[en.Upstream]
	if ch.Gone || err != nil {
		if err != nil && !ch.Gone {
			fd.malformed(ch, err)
		}
		if !known {
			return
		}
		doubtful := ch.Gone && fd.pa.Doubtful(now)
		fd.pa.Fleet.Remove(en.Upstream, now, doubtful)
		delete(fd.hosts, en.Upstream)
		delete(fd.restored, en.Upstream)
		event.Log(fd.deps.Log, event.UpstreamGone, "upstream", en.Upstream, "address", old.Addr, "doubtful", doubtful, "revision", ch.Revision)
		if !doubtful {
			fd.pa.Warmup.Forget(en.Upstream)
			fd.pa.Gone(old)
		}
		return
	}
	ho := *en.Host
	fd.warm(now, ch, old, known, ho)
	fd.pa.Fleet.Put(ho)
	fd.hosts[ho.ID] = ho
	if !known || old != ho {
		event.Log(fd.deps.Log, event.UpstreamListed, "upstream", ho.ID, "service", ho.Service, "address", ho.Addr, "zone", ho.Zone,
			"version", ho.Version, "slots", ho.Slots, "leaving", ho.Leaving, "born", ho.Born, "revision", ch.Revision)
	}
}

// adopt puts the newest configuration of a batch in force.
func (fd *Feed) adopt() {
	doc := fd.newest
	fd.newest = nil
	if doc == nil {
		return
	}
	tb, err := route.New(*doc)
	if err != nil {
		event.Log(fd.deps.Log, event.ConfigBroken, "version", doc.Version, "error", err)
		return
	}
	if fd.pa.InForce.Adopt(tb) {
		event.Log(fd.deps.Log, event.ConfigAdopted, "version", tb.Version, "routes", len(doc.Routes), "workspaces", len(doc.Workspaces))
	}
}

func (fd *Feed) malformed(ch core.Change, err error) {
	event.Log(fd.deps.Log, event.EntryMalformed, "key", ch.Key, "revision", ch.Revision, "error", err)
}
