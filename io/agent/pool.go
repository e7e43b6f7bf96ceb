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

// Pool is the entry's links to all agents. It implements [core.Upstreams].
type Pool struct {
	deps  core.Deps
	inf   *declaration.InForce
	hosts core.Hosts

	mu      sync.Mutex
	links   map[core.UpstreamID]*link
	index   atomic.Pointer[index]
	holders holders
	offered atomic.Pointer[Offered]
	// entries counts the entries that are listed, and near those of the region
	// that are not leaving.
	entries, near atomic.Int64
	// onHosts is called with each reading of the host list.
	onHosts func([]core.Host)
}

// index is what dispatching reads; it is replaced as a whole.
type index struct {
	byID     map[core.UpstreamID]*link
	versions map[core.ModelVersion][]*link
	services map[core.ServiceID][]*link
}

// New returns a pool without links; Serve makes them.
func New(deps core.Deps, inf *declaration.InForce, ho core.Hosts) *Pool {
	po := &Pool{deps: deps, inf: inf, hosts: ho, links: map[core.UpstreamID]*link{}, onHosts: func([]core.Host) {}}
	po.index.Store(po.newIndex(nil))
	return po
}

// OnHosts sets what hears of each reading of the host list. It is called
// before Serve.
func (po *Pool) OnHosts(fn func([]core.Host)) { po.onHosts = fn }

// refresh is how often the host list is read. The list lags by itself; agents
// that leave say so on their links at once.
const refresh = time.Second

// Serve keeps the links in step with the host list until the context ends.
func (po *Pool) Serve(ctx context.Context) error {
	tick := time.NewTicker(refresh)
	defer tick.Stop()
	defer po.closeAll()
	for {
		po.update(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (po *Pool) update(ctx context.Context) {
	list, err := po.hosts.List(ctx)
	if err != nil {
		// The last list stays in use: agents that went are noticed by their
		// links, and a list that is away must not empty the pool.
		if ctx.Err() == nil {
			event.Log(po.deps.Log, event.HostsAway, "error", err)
		}
		return
	}
	po.onHosts(list)
	po.mu.Lock()
	defer po.mu.Unlock()
	listed := map[core.UpstreamID]bool{}
	entries, near := 0, 0
	for _, ho := range list {
		if ho.Role == core.RoleEntry {
			entries++
		}
		if ho.Role == core.RoleEntry && ho.Region == po.deps.Region && !ho.Leaving {
			near++
		}
		if ho.Role != core.RoleAgent {
			continue
		}
		listed[ho.ID] = true
		old := po.links[ho.ID]
		if old != nil && old.host.Addr == ho.Addr && old.host.Serves() == ho.Serves() && old.host.Service == ho.Service {
			old.listedLeaving.Store(ho.Leaving)
			continue
		}
		if old != nil {
			old.cancel()
		}
		ln := newLink(po.deps, po.inf, ho)
		ln.told = po.told
		ln.listedLeaving.Store(ho.Leaving)
		po.links[ho.ID] = ln
		lctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
		ln.cancel = cancel
		go ln.serve(lctx)
	}
	for id, ln := range po.links {
		if !listed[id] && !ln.up.Load() {
			ln.cancel()
			delete(po.links, id)
		}
	}
	po.entries.Store(int64(entries))
	po.near.Store(int64(near))
	po.index.Store(po.newIndex(po.links))
}

// newIndex sorts the links by what they serve, and keeps of each version the
// entry's subset.
func (po *Pool) newIndex(links map[core.UpstreamID]*link) *index {
	ix := &index{byID: map[core.UpstreamID]*link{}, versions: map[core.ModelVersion][]*link{}, services: map[core.ServiceID][]*link{}}
	for id, ln := range links {
		ix.byID[id] = ln
		if ln.host.Service != "" {
			ix.services[ln.host.Service] = append(ix.services[ln.host.Service], ln)
		} else {
			ix.versions[ln.host.Serves()] = append(ix.versions[ln.host.Serves()], ln)
		}
	}
	for mv, all := range ix.versions {
		ix.versions[mv] = po.subset(ix, all)
	}
	for sv, all := range ix.services {
		ix.services[sv] = po.subset(ix, all)
	}
	return ix
}

func (po *Pool) subset(ix *index, all []*link) []*link {
	if len(all) <= placement.MaxSubset {
		return all
	}
	hosts := make([]core.Host, len(all))
	for i, ln := range all {
		hosts[i] = ln.host
	}
	var kept []*link
	for _, ho := range placement.Subset(po.deps.Self, po.deps.Zone, po.deps.Region, hosts) {
		kept = append(kept, ix.byID[ho.ID])
	}
	return kept
}

// Entries returns how many entries of the region share its upstreams, this one
// included.
func (po *Pool) Entries() int { return max(int(po.near.Load()), 1) }

func (po *Pool) closeAll() {
	po.mu.Lock()
	defer po.mu.Unlock()
	for _, ln := range po.links {
		ln.cancel()
	}
}

// All lists every upstream that the entry knows, by id.
func (po *Pool) All() []core.Upstream {
	ups := appendTo(nil, slices.Collect(maps.Values(po.index.Load().byID)))
	slices.SortFunc(ups, func(a, b core.Upstream) int { return strings.Compare(string(a.Host.ID), string(b.Host.ID)) })
	return ups
}

// Serving implements [core.Upstreams].
func (po *Pool) Serving(mv core.ModelVersion) []core.Upstream { return po.AppendServing(nil, mv) }

// Offering implements [core.Upstreams].
func (po *Pool) Offering(sv core.ServiceID) []core.Upstream { return po.AppendOffering(nil, sv) }

// AppendServing is Serving into a buffer that is used again, for the decision
// that each attempt needs.
func (po *Pool) AppendServing(buf []core.Upstream, mv core.ModelVersion) []core.Upstream {
	return appendTo(buf, po.index.Load().versions[mv])
}

// AppendOffering is Offering into a buffer that is used again.
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
