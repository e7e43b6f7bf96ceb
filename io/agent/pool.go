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
	po.index.Store(newIndex(nil))
	return po
}

// OnHosts sets what hears of each reading of the host list. It is called
// before Serve.
func (po *Pool) OnHosts(fn func([]core.Host)) { po.onHosts = fn }

const (
	// refresh is how often a small host list is read. The list lags by itself;
	// agents that leave say so on their links at once.
	refresh = time.Second
	// linesPerSecond is how many lines of the list an entry reads a second at
	// most. A list of 12,000 hosts read each second took 5% of a core and 1.7
	// MB/s of every entry; at this pace a new agent is found within 6 s.
	linesPerSecond = 2000
)

// refreshAfter returns the pause after a reading of the host list.
func refreshAfter(lines int) time.Duration {
	return max(refresh, time.Duration(lines)*time.Second/linesPerSecond)
}

// Serve keeps the links in step with the host list until the context ends.
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
		// The last list stays in use: agents that went are noticed by their
		// links, and a list that is away must not empty the pool.
		if ctx.Err() == nil {
			event.Log(po.deps.Log, event.HostsAway, "error", err)
		}
		return 0
	}
	po.onHosts(list)
	po.mu.Lock()
	defer po.mu.Unlock()
	entries, near := 0, 0
	for _, ho := range list {
		if ho.Role == core.RoleEntry {
			entries++
		}
		if ho.Role == core.RoleEntry && ho.Region == po.deps.Region && !ho.Leaving {
			near++
		}
	}
	wanted := map[core.UpstreamID]bool{}
	for _, ho := range po.candidates(list) {
		wanted[ho.ID] = true
		po.ensure(ctx, ho)
	}
	po.drop(wanted, list, time.Now())
	po.entries.Store(int64(entries))
	po.near.Store(int64(near))
	po.index.Store(newIndex(po.links))
	return len(list)
}

// candidates returns the agents that this entry links with: of each version and
// service its subset. A link to each of 12,000 agents would take half a core
// and 800 MB for keep-alives and reports alone.
func (po *Pool) candidates(list []core.Host) []core.Host {
	type serves struct {
		mv core.ModelVersion
		sv core.ServiceID
	}
	pools := map[serves][]core.Host{}
	for _, ho := range list {
		if ho.Role == core.RoleAgent {
			ke := serves{ho.Serves(), ho.Service}
			pools[ke] = append(pools[ke], ho)
		}
	}
	var out []core.Host
	for _, hosts := range pools {
		out = append(out, placement.Subset(po.deps.Self, po.deps.Zone, po.deps.Region, hosts)...)
	}
	return out
}

// ensure keeps a link to a listed host. It is called with the lock held.
func (po *Pool) ensure(ctx context.Context, ho core.Host) {
	old := po.links[ho.ID]
	if old != nil && old.host.Addr == ho.Addr && old.host.Serves() == ho.Serves() && old.host.Service == ho.Service {
		old.listedLeaving.Store(ho.Leaving)
		old.unwanted = time.Time{}
		return
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

// linger is how long a link stays that nothing is sent over any more. The agent
// at its end may hold bills of this entry until they are durable; an entry that
// hung up would be taken for gone, and its ledger sealed.
const linger = time.Minute

// drop ends the links that are not wanted: at once when they are down, else
// when they have lingered and nothing runs over them. An agent that is not
// listed and whose link stands goes on getting work: the list lags, and one
// that came empty must not empty the pool. It is called with the lock held.
func (po *Pool) drop(wanted map[core.UpstreamID]bool, list []core.Host, now time.Time) {
	listed := map[core.UpstreamID]bool{}
	for _, ho := range list {
		listed[ho.ID] = true
	}
	for id, ln := range po.links {
		if wanted[id] || !listed[id] && ln.up.Load() {
			continue
		}
		if ln.unwanted.IsZero() {
			ln.unwanted = now
		}
		if !ln.up.Load() || now.Sub(ln.unwanted) > linger && ln.own.Load() == 0 {
			ln.cancel()
			delete(po.links, id)
		}
	}
}

// newIndex sorts the links that are wanted by what they serve.
func newIndex(links map[core.UpstreamID]*link) *index {
	ix := &index{byID: map[core.UpstreamID]*link{}, versions: map[core.ModelVersion][]*link{}, services: map[core.ServiceID][]*link{}}
	for id, ln := range links {
		ix.byID[id] = ln
		switch {
		case !ln.unwanted.IsZero():
		case ln.host.Service != "":
			ix.services[ln.host.Service] = append(ix.services[ln.host.Service], ln)
		default:
			ix.versions[ln.host.Serves()] = append(ix.versions[ln.host.Serves()], ln)
		}
	}
	return ix
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
