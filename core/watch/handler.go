// Package watch routes the changes of the replicated store to the components that use
// them: the configuration, the fleet of upstreams, the roll-outs and the list of entries.
//
// The platform defines the meaning of its keys, which [Layout] decodes. The project's own
// keys, for its entries and the steps of roll-outs, are decoded here.
//
// # Usage
//
//	ha := watch.New(deps, layout, watch.Targets{…})
//	re.Subscribe(ha.HandleChanges)
package watch

import (
	"encoding/json"
	"strings"
	"sync"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/canary"
	"skylarkstand/core/event"
	"skylarkstand/core/fleet"
	"skylarkstand/core/route"
	"skylarkstand/core/share"
	"skylarkstand/core/suspect"
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
	// Heartbeats is set when the entry sends heartbeats to the readers of its region, which remove its
	// registration when they stop. Otherwise the registration has a lease of its own.
	Heartbeats bool `json:"heartbeats,omitempty"`
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
	// OnRemoved is called for an upstream whose listing was removed.
	OnRemoved func(core.Host)
	// OnQuarantine is called for a change of a request in quarantine. It may be nil.
	OnQuarantine func(now time.Time, ch core.Change) error
}

// Handler routes changes. The replica calls it with one batch of changes at a time.
type Handler struct {
	deps core.Deps
	la   Layout
	ta   Targets

	mu      sync.Mutex
	members map[core.ProcessID]Member
	// roster holds who is on the list and has left it.
	roster *share.Roster
	// received is set by the first batch of changes.
	received bool
	hosts    map[core.UpstreamID]core.Host
	// doubtful holds the upstreams whose removal is doubtful.
	doubtful map[core.UpstreamID]core.Host
	// holders caches the entries that share the permits of a region's upstreams. It is
	// cleared when an entry changes.
	holders map[core.Region][]core.ProcessID
	// restored contains the upstreams whose listing has not been written since the
	// evacuation of their zone ended.
	restored map[core.UpstreamID]bool
	// newestConfig is the newest configuration in the current batch.
	newestConfig *route.Document
}

// New returns a Handler that routes changes to ta.
func New(deps core.Deps, la Layout, ta Targets) *Handler {
	return &Handler{
		deps: deps, la: la, ta: ta, members: map[core.ProcessID]Member{}, roster: share.NewRoster(),
		hosts: map[core.UpstreamID]core.Host{}, doubtful: map[core.UpstreamID]core.Host{}, restored: map[core.UpstreamID]bool{}, holders: map[core.Region][]core.ProcessID{},
	}
}

// HandleChanges processes a batch of changes in order.
func (ha *Handler) HandleChanges(changes []core.Change) {
	now := time.Now()
	for _, ch := range changes {
		switch {
		case ch.Settled:
			ha.settleUpstream(ch)
		case strings.HasPrefix(ch.Key, PrefixEntries):
			ha.applyMember(now, ch)
		case strings.HasPrefix(ch.Key, PrefixSteps):
			ha.applyStep(now, ch)
		case strings.HasPrefix(ch.Key, suspect.Prefix):
			ha.applyQuarantine(now, ch)
		default:
			ha.applyPlatformKey(now, ch)
		}
	}
	ha.adoptConfiguration()
	ha.mu.Lock()
	ha.received = true
	ha.mu.Unlock()
}

func (ha *Handler) applyMember(now time.Time, ch core.Change) {
	id := core.ProcessID(strings.TrimPrefix(ch.Key, PrefixEntries))
	var me Member
	if !ch.Removed {
		if err := json.Unmarshal(ch.Value, &me); err != nil {
			ha.logMalformed(ch, err)
			return
		}
	}
	clear(ha.holders)
	me.ID, me.Revision = id, ch.Revision
	ha.mu.Lock()
	defer ha.mu.Unlock()
	if ch.Removed {
		delete(ha.members, id)
		ha.roster.Remove(now, id)
		return
	}
	ha.members[id] = me
	ha.roster.Put(now, id, me.Revision)
}

func (ha *Handler) applyStep(now time.Time, ch core.Change) {
	if ch.Removed {
		return
	}
	var st canary.Step
	if err := json.Unmarshal(ch.Value, &st); err != nil {
		ha.logMalformed(ch, err)
		return
	}
	st.Service, st.Revision = core.ServiceID(strings.TrimPrefix(ch.Key, PrefixSteps)), ch.Revision
	ha.ta.Canary.Step(now, st)
	event.Log(ha.deps.Log, event.CanaryStep, "service", st.Service, "step", st.Step, "order", st.Order, "revision", st.Revision)
}

func (ha *Handler) applyQuarantine(now time.Time, ch core.Change) {
	if ha.ta.OnQuarantine == nil {
		return
	}
	if err := ha.ta.OnQuarantine(now, ch); err != nil {
		ha.logMalformed(ch, err)
	}
}

func (ha *Handler) applyPlatformKey(now time.Time, ch core.Change) {
	rec, err := ha.la.Decode(ch.Item)
	switch {
	case rec.Upstream != "":
		ha.applyUpstream(now, ch, rec, err)
	case rec.Evacuated != "":
		ha.applyEvacuation(now, ch, rec.Evacuated)
	case ch.Removed:
	case err != nil:
		ha.logMalformed(ch, err)
	case rec.Configuration != nil:
		ha.newestConfig = rec.Configuration
	case rec.Order != nil:
		ha.ta.Canary.Order(now, *rec.Order)
		event.Log(ha.deps.Log, event.CanaryOrdered, "service", rec.Order.Service, "target", rec.Order.Target,
			"duration", rec.Order.Duration, "revision", rec.Order.Revision)
	case rec.Status != nil:
		ha.ta.Canary.Status(*rec.Status)
		event.Log(ha.deps.Log, event.CanaryStatus, "service", rec.Status.Service, "target", rec.Status.Target,
			"state", rec.Status.State, "revision", rec.Status.Revision)
	}
}

// applyEvacuation starts the evacuation of a zone, or ends it. Only the removal of the key
// ends an evacuation.
func (ha *Handler) applyEvacuation(now time.Time, ch core.Change, zo core.Zone) {
	if ch.Removed {
		ha.ta.Fleet.Restore(zo)
		ha.markZoneCold(now, ch, zo)
		event.Log(ha.deps.Log, event.ZoneRestored, "zone", zo, "revision", ch.Revision)
		return
	}
	ha.ta.Fleet.Evacuate(zo)
	event.Log(ha.deps.Log, event.ZoneEvacuated, "zone", zo, "revision", ch.Revision)
}

// applyUpstream processes an upstream listing. A listing that cannot be decoded counts as
// removed, since the upstream did not write it.
func (ha *Handler) applyUpstream(now time.Time, ch core.Change, rec Record, err error) {
	old, known := ha.hosts[rec.Upstream]
	if ch.Removed || err != nil {
		if err != nil && !ch.Removed {
			ha.logMalformed(ch, err)
		}
		if !known {
			old, known = ha.doubtful[rec.Upstream]
		}
		if !known {
			return
		}
		doubtful := ch.Removed && !ch.Certain
		ha.ta.Fleet.Remove(rec.Upstream, doubtful)
		delete(ha.hosts, rec.Upstream)
		delete(ha.restored, rec.Upstream)
		event.Log(ha.deps.Log, event.UpstreamGone, "upstream", rec.Upstream, "address", old.Addr, "doubtful", doubtful, "revision", ch.Revision)
		if doubtful {
			ha.doubtful[rec.Upstream] = old
			return
		}
		delete(ha.doubtful, rec.Upstream)
		ha.forget(old)
		return
	}
	ho := *rec.Host
	delete(ha.doubtful, ho.ID)
	ha.updateWarmup(now, ch, old, known, ho)
	ha.ta.Fleet.Put(ho)
	ha.hosts[ho.ID] = ho
	if !known || old != ho {
		event.Log(ha.deps.Log, event.UpstreamListed, "upstream", ho.ID, "service", ho.Service, "address", ho.Addr, "zone", ho.Zone,
			"version", ho.Version, "slots", ho.Slots, "leaving", ho.Leaving, "born", ho.StartedAt, "revision", ch.Revision)
	}
}

// settleUpstream processes a removal of an upstream listing that was doubtful and is known to be certain now.
func (ha *Handler) settleUpstream(ch core.Change) {
	rec, _ := ha.la.Decode(ch.Item) // The key alone names the upstream.
	old, ok := ha.doubtful[rec.Upstream]
	if !ok {
		return
	}
	delete(ha.doubtful, rec.Upstream)
	ha.ta.Fleet.Remove(rec.Upstream, false)
	event.Log(ha.deps.Log, event.UpstreamGone, "upstream", rec.Upstream, "address", old.Addr, "doubtful", false, "revision", ch.Revision)
	ha.forget(old)
}

// forget drops what is known of an upstream that is gone.
func (ha *Handler) forget(ho core.Host) {
	ha.ta.Warmup.Forget(ho.ID)
	ha.ta.OnRemoved(ho)
}

// adoptConfiguration puts the newest configuration of a batch in force.
func (ha *Handler) adoptConfiguration() {
	doc := ha.newestConfig
	ha.newestConfig = nil
	if doc == nil {
		return
	}
	tb, err := route.New(*doc)
	if err != nil {
		event.Log(ha.deps.Log, event.ConfigBroken, "version", doc.Version, "error", err)
		return
	}
	if ha.ta.InForce.Adopt(tb) {
		event.Log(ha.deps.Log, event.ConfigAdopted, "version", tb.Version, "routes", len(doc.Routes), "workspaces", len(doc.Workspaces))
	}
}

func (ha *Handler) logMalformed(ch core.Change, err error) {
	event.Log(ha.deps.Log, event.EntryMalformed, "key", ch.Key, "revision", ch.Revision, "error", err)
}
