// Package watch routes the changes of the replicated store to the components that use
// them: the configuration, the fleet of upstreams, the roll-outs and the list of entries.
//
// The platform defines the meaning of its keys, which [Layout] decodes. The project's own
// keys, for its entries and the steps of roll-outs, are decoded here.
//
// # Usage
//
//	fd := watch.New(deps, layout, watch.Targets{…})
//	mi.Subscribe(fd.HandleChanges)
package watch

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

// Record is the decoded content of a platform key. It is empty for a key that does not
// concern the project.
type Record struct {
	Configuration *route.Document
	Order         *canary.Order
	Status        *canary.Status
	// Upstream is set for every upstream listing, Host only for one that can be decoded.
	Upstream core.UpstreamID
	Host     *core.Host
	// Evacuated is the availability zone that must receive no new work while the key
	// exists.
	Evacuated core.Zone
}

// Layout decodes the platform's keys.
type Layout interface {
	// Decode returns the content of a key. With an error, Record.Upstream and
	// Record.Evacuated are still set if the key alone determines them.
	Decode(it core.Item) (Record, error)
}

// Prefixes of the project's own keys in the store.
const (
	PrefixEntries = "skylarkstand/entries/"
	PrefixSteps   = "skylarkstand/roll-outs/"
)

// Member is the registration of an entry process.
type Member struct {
	ID   core.ProcessID `json:"id"`
	Addr string         `json:"addr"`
	Zone core.Zone      `json:"zone"`
	// Revision is the revision of the registration.
	Revision core.Revision `json:"-"`
}

// Targets are the components that receive changes.
type Targets struct {
	InForce *route.InForce
	Fleet   *fleet.Fleet
	Canary  *canary.Guard
	Warmup  *warmup.Tracker
	// Regions maps each availability zone to its region.
	Regions map[core.Zone]core.Region
	// Doubtful reports whether a removal may have been caused by a store outage.
	Doubtful func(now time.Time) bool
	// OnRemoved is called for an upstream whose listing was removed.
	OnRemoved func(core.Host)
}

// Handler routes changes. The replica calls it with one batch of changes at a time.
type Handler struct {
	deps core.Deps
	la   Layout
	pa   Targets

	mu      sync.Mutex
	members map[core.ProcessID]Member
	hosts   map[core.UpstreamID]core.Host
	// holders caches the entries that share the permits of a region's upstreams. It is
	// cleared when an entry changes.
	holders map[core.Region][]core.ProcessID
	// restored contains the upstreams whose listing has not been written since the
	// evacuation of their zone ended.
	restored map[core.UpstreamID]bool
	// newestConfig is the newest configuration in the current batch.
	newestConfig *route.Document
}

// New returns a Handler that routes changes to pa.
func New(deps core.Deps, la Layout, pa Targets) *Handler {
	return &Handler{
		deps: deps, la: la, pa: pa, members: map[core.ProcessID]Member{},
		hosts: map[core.UpstreamID]core.Host{}, restored: map[core.UpstreamID]bool{}, holders: map[core.Region][]core.ProcessID{},
	}
}

// HandleChanges processes a batch of changes in order.
func (fd *Handler) HandleChanges(changes []core.Change) {
	now := time.Now()
	for _, ch := range changes {
		switch {
		case strings.HasPrefix(ch.Key, PrefixEntries):
			fd.applyMember(ch)
		case strings.HasPrefix(ch.Key, PrefixSteps):
			fd.applyStep(now, ch)
		default:
			fd.applyPlatformKey(now, ch)
		}
	}
	fd.adoptConfiguration()
}

func (fd *Handler) applyMember(ch core.Change) {
	id := core.ProcessID(strings.TrimPrefix(ch.Key, PrefixEntries))
	var me Member
	if !ch.Removed {
		if err := json.Unmarshal(ch.Value, &me); err != nil {
			fd.logMalformed(ch, err)
			return
		}
	}
	clear(fd.holders)
	fd.mu.Lock()
	defer fd.mu.Unlock()
	if ch.Removed {
		delete(fd.members, id)
		return
	}
	me.ID, me.Revision = id, ch.Revision
	fd.members[id] = me
}

// Members lists the registered entries. Of several entries at one address it contains only
// the newest: the others have ended, although their leases last for some more seconds.
func (fd *Handler) Members() []Member {
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

// EntryCount returns the number of registered entries. It includes entries that have ended but
// whose lease lasts, since their retries still count in the retry budget's window.
func (fd *Handler) EntryCount() int {
	fd.mu.Lock()
	defer fd.mu.Unlock()
	return len(fd.members)
}

func (fd *Handler) applyStep(now time.Time, ch core.Change) {
	if ch.Removed {
		return
	}
	var st canary.Step
	if err := json.Unmarshal(ch.Value, &st); err != nil {
		fd.logMalformed(ch, err)
		return
	}
	st.Service, st.Revision = core.ServiceID(strings.TrimPrefix(ch.Key, PrefixSteps)), ch.Revision
	fd.pa.Canary.Step(now, st)
	event.Log(fd.deps.Log, event.CanaryStep, "service", st.Service, "step", st.Step, "order", st.Order, "revision", st.Revision)
}

func (fd *Handler) applyPlatformKey(now time.Time, ch core.Change) {
	en, err := fd.la.Decode(ch.Item)
	switch {
	case en.Upstream != "":
		fd.applyUpstream(now, ch, en, err)
	case en.Evacuated != "":
		fd.applyEvacuation(now, ch, en.Evacuated)
	case ch.Removed:
	case err != nil:
		fd.logMalformed(ch, err)
	case en.Configuration != nil:
		fd.newestConfig = en.Configuration
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

// applyEvacuation starts the evacuation of a zone, or ends it. Only the removal of the key
// ends an evacuation.
func (fd *Handler) applyEvacuation(now time.Time, ch core.Change, zo core.Zone) {
	if ch.Removed {
		fd.pa.Fleet.Restore(zo)
		fd.markZoneCold(now, ch, zo)
		event.Log(fd.deps.Log, event.ZoneRestored, "zone", zo, "revision", ch.Revision)
		return
	}
	fd.pa.Fleet.Evacuate(zo)
	event.Log(fd.deps.Log, event.ZoneEvacuated, "zone", zo, "revision", ch.Revision)
}

// applyUpstream processes an upstream listing. A listing that cannot be decoded counts as
// removed, since the upstream did not write it.
func (fd *Handler) applyUpstream(now time.Time, ch core.Change, en Record, err error) {
	old, known := fd.hosts[en.Upstream]
	if ch.Removed || err != nil {
		if err != nil && !ch.Removed {
			fd.logMalformed(ch, err)
		}
		if !known {
			return
		}
		doubtful := ch.Removed && fd.pa.Doubtful(now)
		fd.pa.Fleet.Remove(en.Upstream, now, doubtful)
		delete(fd.hosts, en.Upstream)
		delete(fd.restored, en.Upstream)
		event.Log(fd.deps.Log, event.UpstreamGone, "upstream", en.Upstream, "address", old.Addr, "doubtful", doubtful, "revision", ch.Revision)
		if !doubtful {
			fd.pa.Warmup.Forget(en.Upstream)
			fd.pa.OnRemoved(old)
		}
		return
	}
	ho := *en.Host
	fd.updateWarmup(now, ch, old, known, ho)
	fd.pa.Fleet.Put(ho)
	fd.hosts[ho.ID] = ho
	if !known || old != ho {
		event.Log(fd.deps.Log, event.UpstreamListed, "upstream", ho.ID, "service", ho.Service, "address", ho.Addr, "zone", ho.Zone,
			"version", ho.Version, "slots", ho.Slots, "leaving", ho.Leaving, "born", ho.StartedAt, "revision", ch.Revision)
	}
}

// adoptConfiguration puts the newest configuration of a batch in force.
func (fd *Handler) adoptConfiguration() {
	doc := fd.newestConfig
	fd.newestConfig = nil
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

func (fd *Handler) logMalformed(ch core.Change, err error) {
	event.Log(fd.deps.Log, event.EntryMalformed, "key", ch.Key, "revision", ch.Revision, "error", err)
}
