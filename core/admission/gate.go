package admission

import (
	"context"
	"sync"
	"time"

	"skylarkstand/core"
)

// Pool names the upstreams that a controller admits to.
type Pool struct {
	Target  core.ModelVersion
	Service core.ServiceID
}

// ModelPool is the pool of a model version.
func ModelPool(mv core.ModelVersion) Pool { return Pool{Target: mv} }

// ServicePool is the pool of a plain service.
func ServicePool(sv core.ServiceID) Pool { return Pool{Service: sv} }

// Room returns how many requests of this entry a pool takes at once.
type Room func(po Pool) int

// Gate lets the goroutines of an entry wait for their start. It has a
// controller and a lock for each pool, so that a full pool holds up no other.
// It is safe for concurrent use.
type Gate struct {
	room Room
	opts []Option

	mu    sync.Mutex
	pools map[Pool]*door
	// held counts the requests of workspaces that have a limit.
	held map[core.WorkspaceID]int
}

// NewGate returns a gate.
func NewGate(room Room, opts ...Option) *Gate {
	return &Gate{room: room, opts: opts, pools: map[Pool]*door{}, held: map[core.WorkspaceID]int{}}
}

// roomAge is how old a pool's room may be. Reports come a few times a second,
// so asking for each request would only find the same again.
const roomAge = 20 * time.Millisecond

// door is one pool's controller.
type door struct {
	mu      sync.Mutex
	con     *Controller
	checked time.Time
}

// waiter is a goroutine that waits; its channel holds the one decision.
type waiter struct{ decided chan bool }

// Pass is the place of a request that was admitted.
type Pass struct {
	gt    *Gate
	po    Pool
	do    *door
	ti    *Ticket
	wo    Work
	usage *core.Usage
	once  sync.Once
}

// Enter admits a request, or refuses it with a *core.Failure that was not run.
// It blocks while the request waits for its turn.
func (gt *Gate) Enter(ctx context.Context, po Pool, wo Work) (*Pass, error) {
	do, fl := gt.enter(po, wo)
	if fl != nil {
		return nil, fl
	}
	do.mu.Lock()
	now := time.Now()
	gt.refresh(po, do, now)
	do.pump(now)
	ti, start, fl := do.con.Offer(now, wo)
	if fl != nil {
		do.mu.Unlock()
		gt.leave(wo)
		return nil, fl
	}
	ps := &Pass{gt: gt, po: po, do: do, ti: ti, wo: wo}
	if start {
		do.mu.Unlock()
		return ps, nil
	}
	wa := &waiter{decided: make(chan bool, 1)}
	ti.Waiter = wa
	do.mu.Unlock()
	return gt.await(ctx, ps, wa)
}

// await blocks until the request starts, is given up, or its caller is gone.
func (gt *Gate) await(ctx context.Context, ps *Pass, wa *waiter) (*Pass, error) {
	var start bool
	select {
	case start = <-wa.decided:
	case <-ctx.Done():
		ps.do.mu.Lock()
		select {
		case start = <-wa.decided:
			// The decision and the caller's end crossed.
		default:
			ps.do.con.Cancel(ps.ti)
			ps.do.mu.Unlock()
			gt.leave(ps.wo)
			return nil, core.Refuse(core.CodeCallerGone, 0, "the caller gave up while the request waited")
		}
		ps.do.mu.Unlock()
	}
	if !start {
		gt.leave(ps.wo)
		return nil, core.Refuse(core.CodeOverloaded, minRetry, "the upstreams became slower and the deadline cannot be met any more")
	}
	return ps, nil
}

// Used tells what the whole answer took, for the estimates of later requests.
func (ps *Pass) Used(us core.Usage) { ps.usage = &us }

// Leave gives the place back. It may be called more than once.
func (ps *Pass) Leave() {
	ps.once.Do(func() {
		ps.gt.leave(ps.wo)
		ps.do.mu.Lock()
		defer ps.do.mu.Unlock()
		now := time.Now()
		ps.do.con.Leave(now, ps.ti, ps.usage)
		ps.gt.refresh(ps.po, ps.do, now)
		ps.do.pump(now)
	})
}

// enter finds the pool's controller and counts the request against its
// workspace's limit. The limit is kept by each entry for itself.
func (gt *Gate) enter(po Pool, wo Work) (*door, *core.Failure) {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	if wo.Limit > 0 {
		if gt.held[wo.Workspace] >= wo.Limit {
			return nil, core.Refuse(core.CodeOverloaded, retryAfter(0, wo.Draw), "the workspace has %d requests here, its limit", wo.Limit)
		}
		gt.held[wo.Workspace]++
	}
	do := gt.pools[po]
	if do == nil {
		do = &door{con: New(1, gt.opts...)}
		gt.pools[po] = do
	}
	return do, nil
}

func (gt *Gate) leave(wo Work) {
	if wo.Limit == 0 {
		return
	}
	gt.mu.Lock()
	defer gt.mu.Unlock()
	if gt.held[wo.Workspace]--; gt.held[wo.Workspace] <= 0 {
		delete(gt.held, wo.Workspace)
	}
}

func (gt *Gate) refresh(po Pool, do *door, now time.Time) {
	if now.Sub(do.checked) < roomAge {
		return
	}
	do.checked = now
	do.con.Resize(gt.room(po))
}

// pump starts what may start. A decision is sent while the lock is held, so
// that a caller that ends meanwhile sees it.
func (do *door) pump(now time.Time) {
	for {
		ti, start := do.con.Next(now)
		if ti == nil {
			return
		}
		ti.Waiter.(*waiter).decided <- start
		if !start {
			do.con.GiveUp(ti)
		}
	}
}
