package admission

import (
	"context"
	"sync"
	"time"

	"skylarkstand/core"
)

// Pool identifies the upstreams that a controller admits requests to.
type Pool struct {
	Target  core.ModelVersion
	Service core.ServiceID
	// CrossRegion selects the upstreams of other regions instead of the local ones.
	CrossRegion bool
}

// ModelPool returns the local pool of a model version.
func ModelPool(mv core.ModelVersion) Pool { return Pool{Target: mv} }

// ServicePool returns the local pool of a plain service.
func ServicePool(sv core.ServiceID) Pool { return Pool{Service: sv} }

// Gate blocks the goroutines of an entry until their requests may start. Each
// pool has its own controller and lock, so that a full pool does not delay the
// others. It is safe for concurrent use.
type Gate struct {
	capacity func(Pool) Capacity
	opts     []Option

	mu    sync.Mutex
	pools map[Pool]*poolState
	// limited counts the running and waiting requests of each workspace that has
	// a limit.
	limited map[core.WorkspaceID]int
}

// NewGate returns a gate that gets the capacity of each pool from a function.
func NewGate(capacity func(Pool) Capacity, opts ...Option) *Gate {
	return &Gate{capacity: capacity, opts: opts, pools: map[Pool]*poolState{}, limited: map[core.WorkspaceID]int{}}
}

// capacityMaxAge is how long a pool's capacity is cached. Load reports arrive a
// few times a second, so recomputing it for each request would give the same
// result.
const capacityMaxAge = 20 * time.Millisecond

// poolState is the controller of one pool and its lock.
type poolState struct {
	mu        sync.Mutex
	con       *Controller
	refreshed time.Time
}

// waiter is a waiting goroutine. Its channel receives exactly one decision:
// whether the request starts.
type waiter struct{ decided chan bool }

// Pass represents an admitted request until Leave is called.
type Pass struct {
	ga    *Gate
	po    Pool
	pst   *poolState
	ti    *Ticket
	wo    Work
	usage *core.Usage
	once  sync.Once
}

// Enter admits a request, or refuses it with a *core.Failure that says it was not
// run. It blocks while the request is queued.
//
// A request with AllowCrossRegion that the local region would refuse, or would
// queue for so long that WorthCrossRegion reports true, may start in another region,
// if that has free slots now and the link between the regions has budget. It is
// never queued there.
func (ga *Gate) Enter(ctx context.Context, po Pool, wo Work) (*Pass, error) {
	if fl := ga.acquireLimit(wo); fl != nil {
		return nil, fl
	}
	ps, wa, fl := ga.offer(po, wo)
	if fl != nil && fl.Code == core.CodeOverloaded && wo.AllowCrossRegion {
		if other := ga.offerCrossRegion(po, wo); other != nil {
			return other, nil
		}
	}
	switch {
	case fl != nil:
		ga.releaseLimit(wo)
		return nil, fl
	case wa == nil:
		return ps, nil
	default:
		return ga.await(ctx, ps, wa)
	}
}

// offer submits a request to a pool's controller. The waiter is nil if the
// request starts at once.
func (ga *Gate) offer(po Pool, wo Work) (*Pass, *waiter, *core.Failure) {
	pst := ga.state(po)
	pst.mu.Lock()
	defer pst.mu.Unlock()
	now := time.Now()
	ga.refreshCapacity(po, pst, now)
	pst.startWaiting(now)
	ti, start, fl := pst.con.Offer(now, wo)
	if fl != nil {
		return nil, nil, fl
	}
	ps := &Pass{ga: ga, po: po, pst: pst, ti: ti, wo: wo}
	if start {
		return ps, nil, nil
	}
	if wo.AllowCrossRegion && pst.con.WorthCrossRegion(ti, wo.Body) {
		if other := ga.offerCrossRegion(po, wo); other != nil {
			pst.con.Cancel(ti)
			return other, nil, nil
		}
	}
	wa := &waiter{decided: make(chan bool, 1)}
	ti.Waiter = wa
	return ps, wa, nil
}

// offerCrossRegion offers a request to the other regions, where it starts at once
// or not at all. The lock of the local pool may be held: the lock of the other
// regions' pool is always acquired after it, which prevents deadlocks.
func (ga *Gate) offerCrossRegion(po Pool, wo Work) *Pass {
	po.CrossRegion, wo.NoWait, wo.AllowCrossRegion = true, true, false
	ps, _, fl := ga.offer(po, wo)
	if fl != nil {
		return nil
	}
	return ps
}

// await blocks until the request starts, is refused, or its caller disconnects.
func (ga *Gate) await(ctx context.Context, ps *Pass, wa *waiter) (*Pass, error) {
	var start bool
	select {
	case start = <-wa.decided:
	case <-ctx.Done():
		ps.pst.mu.Lock()
		select {
		case start = <-wa.decided:
			// The decision was made before the lock was acquired.
		default:
			ps.pst.con.Cancel(ps.ti)
			ps.pst.mu.Unlock()
			ga.releaseLimit(ps.wo)
			return nil, core.Refuse(core.CodeCallerGone, 0, "the caller gave up while the request waited")
		}
		ps.pst.mu.Unlock()
	}
	if !start {
		ga.releaseLimit(ps.wo)
		return nil, core.Refuse(core.CodeOverloaded, minRetryAfter, "the upstreams became slower and the deadline cannot be met any more")
	}
	return ps, nil
}

// CrossRegion reports whether the request was admitted to another region.
func (ps *Pass) CrossRegion() bool { return ps.po.CrossRegion }

// RecordUsage records the usage of the complete response, for the estimates of later
// requests.
func (ps *Pass) RecordUsage(us core.Usage) { ps.usage = &us }

// Leave releases the request's slot. It may be called more than once.
func (ps *Pass) Leave() {
	ps.once.Do(func() {
		ps.ga.releaseLimit(ps.wo)
		ps.pst.mu.Lock()
		defer ps.pst.mu.Unlock()
		now := time.Now()
		ps.pst.con.Leave(now, ps.ti, ps.usage)
		ps.ga.refreshCapacity(ps.po, ps.pst, now)
		ps.pst.startWaiting(now)
	})
}

func (ga *Gate) state(po Pool) *poolState {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	pst := ga.pools[po]
	if pst == nil {
		pst = &poolState{con: New(Capacity{}, ga.opts...)}
		ga.pools[po] = pst
	}
	return pst
}

// acquireLimit counts a request against its workspace's limit, or refuses it.
// Each entry enforces the limit on its own.
func (ga *Gate) acquireLimit(wo Work) *core.Failure {
	if wo.Limit == 0 {
		return nil
	}
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if ga.limited[wo.Workspace] >= wo.Limit {
		return core.Refuse(core.CodeOverloaded, retryAfter(0, wo.Jitter), "the workspace has %d requests here, its limit", wo.Limit)
	}
	ga.limited[wo.Workspace]++
	return nil
}

func (ga *Gate) releaseLimit(wo Work) {
	if wo.Limit == 0 {
		return
	}
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if ga.limited[wo.Workspace]--; ga.limited[wo.Workspace] <= 0 {
		delete(ga.limited, wo.Workspace)
	}
}

func (ga *Gate) refreshCapacity(po Pool, pst *poolState, now time.Time) {
	if now.Sub(pst.refreshed) < capacityMaxAge {
		return
	}
	pst.refreshed = now
	pst.con.Resize(ga.capacity(po))
}

// startWaiting starts all requests that can start now. It must be called with the lock
// held: if a request's caller disconnects meanwhile, await acquires the lock and then
// finds the decision.
func (pst *poolState) startWaiting(now time.Time) {
	for {
		ti, start := pst.con.Next(now)
		if ti == nil {
			return
		}
		ti.Waiter.(*waiter).decided <- start
		if !start {
			pst.con.Discard(ti)
		}
	}
}
