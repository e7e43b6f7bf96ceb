package agent

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/declaration"
	"skylarkstand/core/event"
	"skylarkstand/core/placement"
)

// Pool holds the entry's links to agents. It implements [core.Upstreams].
type Pool struct {
	deps  core.Deps
	inf   *declaration.InForce
	hosts core.Hosts

	mu      sync.Mutex
	links   map[core.UpstreamID]*link
	index   atomic.Pointer[index]
	holders holders
	onBills atomic.Pointer[BillHandler]
	// entries counts all listed entries, regionEntries those of the local region that are not
	// leaving.
	entries, regionEntries atomic.Int64
	// onHosts is called with the host list each time it has been read.
	onHosts func([]core.Host)
}

// index is the immutable view that dispatching reads; an update replaces it as a whole.
type index struct {
	byID     map[core.UpstreamID]*link
	versions map[core.ModelVersion][]*link
	services map[core.ServiceID][]*link
}

// New returns a pool without links; Serve opens them.
func New(deps core.Deps, inf *declaration.InForce, ho core.Hosts) *Pool {
	po := &Pool{deps: deps, inf: inf, hosts: ho, links: map[core.UpstreamID]*link{}, onHosts: func([]core.Host) {}}
	po.index.Store(newIndex(nil))
	return po
}

// OnHosts sets the function that receives the host list each time it has been read. It must be
// called before Serve.
func (po *Pool) OnHosts(fn func([]core.Host)) { po.onHosts = fn }

const (
	// minRefresh is the interval at which a small host list is read. The list itself lags; agents
	// that leave announce it on their links immediately.
	minRefresh = time.Second
	// maxLinesPerSecond bounds the rate at which an entry reads lines of the host list. Reading a
	// list of 12,000 hosts every second takes 5% of a core and 1.7 MB/s on every entry; at this
	// rate a new agent in such a list is found within 6 s.
	maxLinesPerSecond = 2000
)

// refreshAfter returns the pause after reading a host list of that many lines.
func refreshAfter(lines int) time.Duration {
	return max(minRefresh, time.Duration(lines)*time.Second/maxLinesPerSecond)
}

// Serve synchronizes the links with the host list until the context ends.
func (po *Pool) Serve(ctx context.Context) error {
	defer po.closeAll()
	for {
		lines := po.update(ctx)
		select {
		case <-time.After(refreshAfter(lines)):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// update reads the host list and returns how many lines it has.
func (po *Pool) update(ctx context.Context) int {
	list, err := po.hosts.List(ctx)
	if err != nil {
		// The last list stays in use: the links detect agents that disappear, and an unavailable
		// list must not empty the pool.
		if ctx.Err() == nil {
			event.Log(po.deps.Log, event.HostsAway, "error", err)
		}
		return 0
	}
	po.onHosts(list)
	po.mu.Lock()
	defer po.mu.Unlock()
	entries, regional := 0, 0
	for _, ho := range list {
		if ho.Role == core.RoleEntry {
			entries++
		}
		if ho.Role == core.RoleEntry && ho.Region == po.deps.Region && !ho.Leaving {
			regional++
		}
	}
	wanted := map[core.UpstreamID]bool{}
	for _, ho := range po.candidates(list) {
		wanted[ho.ID] = true
		po.ensure(ctx, ho)
	}
	po.drop(wanted, list, time.Now())
	po.entries.Store(int64(entries))
	po.regionEntries.Store(int64(regional))
	po.index.Store(newIndex(po.links))
	return len(list)
}

// candidates returns the agents that this entry links to: its subset of the agents of each version
// and service. Links to all of 12,000 agents would take half a core and 800 MB for keep-alives and
// reports alone.
func (po *Pool) candidates(list []core.Host) []core.Host {
	type poolKey struct {
		mv core.ModelVersion
		sv core.ServiceID
	}
	pools := map[poolKey][]core.Host{}
	for _, ho := range list {
		if ho.Role == core.RoleAgent {
			ke := poolKey{ho.ModelVersion(), ho.Service}
			pools[ke] = append(pools[ke], ho)
		}
	}
	var out []core.Host
	for _, hosts := range pools {
		out = append(out, placement.Subset(po.deps.Self, po.deps.Zone, po.deps.Region, hosts)...)
	}
	return out
}

// ensure opens a link to a listed host, or replaces a link whose address, version or service has
// changed. It is called with the lock held.
func (po *Pool) ensure(ctx context.Context, ho core.Host) {
	old := po.links[ho.ID]
	if old != nil && old.host.Addr == ho.Addr && old.host.ModelVersion() == ho.ModelVersion() && old.host.Service == ho.Service {
		old.listedLeaving.Store(ho.Leaving)
		old.unwantedSince = time.Time{}
		return
	}
	if old != nil {
		old.cancel()
	}
	ln := newLink(po.deps, po.inf, ho)
	ln.onBills = po.receiveBills
	ln.listedLeaving.Store(ho.Leaving)
	po.links[ho.ID] = ln
	lctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	ln.cancel = cancel
	go ln.serve(lctx)
}

// linger is how long an unwanted link stays open. The agent may hold bills of this entry until they
// are durable; if the entry closed the link, the agent would consider it gone, and its ledger would
// be sealed.
const linger = time.Minute

// drop closes the links that are not wanted: immediately if they are down, otherwise once they have
// lingered and carry no attempt. An agent that is not listed but whose link is up keeps getting
// work: the list lags, and an empty list must not empty the pool. It is called with the lock held.
func (po *Pool) drop(wanted map[core.UpstreamID]bool, list []core.Host, now time.Time) {
	listed := map[core.UpstreamID]bool{}
	for _, ho := range list {
		listed[ho.ID] = true
	}
	for id, ln := range po.links {
		if wanted[id] || !listed[id] && ln.connected.Load() {
			continue
		}
		if ln.unwantedSince.IsZero() {
			ln.unwantedSince = now
		}
		if !ln.connected.Load() || now.Sub(ln.unwantedSince) > linger && ln.ownInFlight.Load() == 0 {
			ln.cancel()
			delete(po.links, id)
		}
	}
}

// newIndex groups the wanted links by the version or service that they serve.
func newIndex(links map[core.UpstreamID]*link) *index {
	ix := &index{byID: map[core.UpstreamID]*link{}, versions: map[core.ModelVersion][]*link{}, services: map[core.ServiceID][]*link{}}
	for id, ln := range links {
		ix.byID[id] = ln
		switch {
		case !ln.unwantedSince.IsZero():
		case ln.host.Service != "":
			ix.services[ln.host.Service] = append(ix.services[ln.host.Service], ln)
		default:
			ix.versions[ln.host.ModelVersion()] = append(ix.versions[ln.host.ModelVersion()], ln)
		}
	}
	return ix
}

// EntryCount returns the number of entries that share the upstreams of the local region, including
// this one.
func (po *Pool) EntryCount() int { return max(int(po.regionEntries.Load()), 1) }

func (po *Pool) closeAll() {
	po.mu.Lock()
	defer po.mu.Unlock()
	for _, ln := range po.links {
		ln.cancel()
	}
}

// All returns every upstream that the entry has a link for, sorted by id.
func (po *Pool) All() []core.Upstream {
	ups := appendTo(nil, slices.Collect(maps.Values(po.index.Load().byID)))
	slices.SortFunc(ups, func(a, b core.Upstream) int { return strings.Compare(string(a.Host.ID), string(b.Host.ID)) })
	return ups
}

// Serving implements [core.Upstreams].
func (po *Pool) Serving(mv core.ModelVersion) []core.Upstream { return po.AppendServing(nil, mv) }

// Offering implements [core.Upstreams].
func (po *Pool) Offering(sv core.ServiceID) []core.Upstream { return po.AppendOffering(nil, sv) }

// AppendServing appends the result of Serving to a reusable buffer, since every attempt needs a
// routing decision.
func (po *Pool) AppendServing(buf []core.Upstream, mv core.ModelVersion) []core.Upstream {
	return appendTo(buf, po.index.Load().versions[mv])
}

// AppendOffering appends the result of Offering to a reusable buffer.
func (po *Pool) AppendOffering(buf []core.Upstream, sv core.ServiceID) []core.Upstream {
	return appendTo(buf, po.index.Load().services[sv])
}

func appendTo(buf []core.Upstream, links []*link) []core.Upstream {
	for _, ln := range links {
		buf = append(buf, ln.snapshot())
	}
	return buf
}

// Dispatch implements [core.Upstreams].
func (po *Pool) Dispatch(ctx context.Context, id core.UpstreamID, at *core.Attempt) (core.Answer, error) {
	ln := po.index.Load().byID[id]
	if ln == nil {
		return nil, core.Refuse(core.CodeNoUpstream, time.Second, "upstream %s is gone", id)
	}
	return ln.dispatch(ctx, at)
}
