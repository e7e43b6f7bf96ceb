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
	gt    *Gate
	po    Pool
	do    *poolState
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
func (gt *Gate) Enter(ctx context.Context, po Pool, wo Work) (*Pass, error) {
	if fl := gt.acquireLimit(wo); fl != nil {
		return nil, fl
	}
	ps, wa, fl := gt.offer(po, wo)
	if fl != nil && fl.Code == core.CodeOverloaded && wo.AllowCrossRegion {
		if other := gt.offerCrossRegion(po, wo); other != nil {
			return other, nil
		}
	}
	switch {
	case fl != nil:
		gt.releaseLimit(wo)
		return nil, fl
	case wa == nil:
		return ps, nil
	default:
		return gt.await(ctx, ps, wa)
	}
}

// offer submits a request to a pool's controller. The waiter is nil if the
// request starts at once.
func (gt *Gate) offer(po Pool, wo Work) (*Pass, *waiter, *core.Failure) {
	do := gt.state(po)
	do.mu.Lock()
	defer do.mu.Unlock()
	now := time.Now()
	gt.refreshCapacity(po, do, now)
	do.startWaiting(now)
	ti, start, fl := do.con.Offer(now, wo)
	if fl != nil {
		return nil, nil, fl
	}
	ps := &Pass{gt: gt, po: po, do: do, ti: ti, wo: wo}
	if start {
		return ps, nil, nil
	}
	if wo.AllowCrossRegion && do.con.WorthCrossRegion(ti, wo.Body) {
		if other := gt.offerCrossRegion(po, wo); other != nil {
			do.con.Cancel(ti)
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
func (gt *Gate) offerCrossRegion(po Pool, wo Work) *Pass {
	po.CrossRegion, wo.NoWait, wo.AllowCrossRegion = true, true, false
	ps, _, fl := gt.offer(po, wo)
	if fl != nil {
		return nil
	}
	return ps
}

// await blocks until the request starts, is refused, or its caller disconnects.
func (gt *Gate) await(ctx context.Context, ps *Pass, wa *waiter) (*Pass, error) {
	var start bool
	select {
	case start = <-wa.decided:
	case <-ctx.Done():
		ps.do.mu.Lock()
		select {
		case start = <-wa.decided:
			// The decision was made before the lock was acquired.
		default:
			ps.do.con.Cancel(ps.ti)
			ps.do.mu.Unlock()
			gt.releaseLimit(ps.wo)
			return nil, core.Refuse(core.CodeCallerGone, 0, "the caller gave up while the request waited")
		}
		ps.do.mu.Unlock()
	}
	if !start {
		gt.releaseLimit(ps.wo)
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
		ps.gt.releaseLimit(ps.wo)
		ps.do.mu.Lock()
		defer ps.do.mu.Unlock()
		now := time.Now()
		ps.do.con.Leave(now, ps.ti, ps.usage)
		ps.gt.refreshCapacity(ps.po, ps.do, now)
		ps.do.startWaiting(now)
	})
}

func (gt *Gate) state(po Pool) *poolState {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	do := gt.pools[po]
	if do == nil {
		do = &poolState{con: New(Capacity{}, gt.opts...)}
		gt.pools[po] = do
	}
	return do
}

// acquireLimit counts a request against its workspace's limit, or refuses it.
// Each entry enforces the limit on its own.
func (gt *Gate) acquireLimit(wo Work) *core.Failure {
	if wo.Limit == 0 {
		return nil
	}
	gt.mu.Lock()
	defer gt.mu.Unlock()
	if gt.limited[wo.Workspace] >= wo.Limit {
		return core.Refuse(core.CodeOverloaded, retryAfter(0, wo.Jitter), "the workspace has %d requests here, its limit", wo.Limit)
	}
	gt.limited[wo.Workspace]++
	return nil
}

func (gt *Gate) releaseLimit(wo Work) {
	if wo.Limit == 0 {
		return
	}
	gt.mu.Lock()
	defer gt.mu.Unlock()
	if gt.limited[wo.Workspace]--; gt.limited[wo.Workspace] <= 0 {
		delete(gt.limited, wo.Workspace)
	}
}

func (gt *Gate) refreshCapacity(po Pool, do *poolState, now time.Time) {
	if now.Sub(do.refreshed) < capacityMaxAge {
		return
	}
	do.refreshed = now
	do.con.Resize(gt.capacity(po))
}

// startWaiting starts all requests that can start now. It must be called with the lock
// held: if a request's caller disconnects meanwhile, await acquires the lock and then
// finds the decision.
func (do *poolState) startWaiting(now time.Time) {
	for {
		ti, start := do.con.Next(now)
		if ti == nil {
			return
		}
		ti.Waiter.(*waiter).decided <- start
		if !start {
			do.con.Discard(ti)
		}
	}
}
