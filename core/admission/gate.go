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
	// Far is set for the upstreams of other regions.
	Far bool
}

// ModelPool is the pool of a model version.
func ModelPool(mv core.ModelVersion) Pool { return Pool{Target: mv} }

// ServicePool is the pool of a plain service.
func ServicePool(sv core.ServiceID) Pool { return Pool{Service: sv} }

// Gate lets the goroutines of an entry wait for their start. It has a
// controller and a lock for each pool, so that a full pool holds up no other.
// It is safe for concurrent use.
type Gate struct {
	room func(Pool) Room
	opts []Option

	mu    sync.Mutex
	pools map[Pool]*door
	// held counts the requests of workspaces that have a limit.
	held map[core.WorkspaceID]int
}

// NewGate returns a gate.
func NewGate(room func(Pool) Room, opts ...Option) *Gate {
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
//
// What the own region would refuse, or let wait for longer than the crossing
// is worth, may start in another one, if that has room at this moment and the
// link between them has budget. It is not queued there.
func (gt *Gate) Enter(ctx context.Context, po Pool, wo Work) (*Pass, error) {
	if fl := gt.hold(wo); fl != nil {
		return nil, fl
	}
	ps, wa, fl := gt.offer(po, wo)
	if fl != nil && fl.Code == core.CodeOverloaded && wo.MayCross {
		if far := gt.cross(po, wo); far != nil {
			return far, nil
		}
	}
	switch {
	case fl != nil:
		gt.leave(wo)
		return nil, fl
	case wa == nil:
		return ps, nil
	default:
		return gt.await(ctx, ps, wa)
	}
}

// offer puts a request to a pool's controller. The waiter is nil when the
// request starts at once.
func (gt *Gate) offer(po Pool, wo Work) (*Pass, *waiter, *core.Failure) {
	do := gt.door(po)
	do.mu.Lock()
	defer do.mu.Unlock()
	now := time.Now()
	gt.refresh(po, do, now)
	do.pump(now)
	ti, start, fl := do.con.Offer(now, wo)
	if fl != nil {
		return nil, nil, fl
	}
	ps := &Pass{gt: gt, po: po, do: do, ti: ti, wo: wo}
	if start {
		return ps, nil, nil
	}
	if wo.MayCross && do.con.WorthCrossing(ti, wo.Body) {
		if far := gt.cross(po, wo); far != nil {
			do.con.Cancel(ti)
			return far, nil, nil
		}
	}
	wa := &waiter{decided: make(chan bool, 1)}
	ti.Waiter = wa
	return ps, wa, nil
}

// cross offers a request to the other regions, where it starts at once or not
// at all. The lock of the own region's door may be held: the other's is always
// taken after it.
func (gt *Gate) cross(po Pool, wo Work) *Pass {
	po.Far, wo.NoWait, wo.MayCross = true, true, false
	ps, _, fl := gt.offer(po, wo)
	if fl != nil {
		return nil
	}
	return ps
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

// Crossing says that the request was admitted to another region.
func (ps *Pass) Crossing() bool { return ps.po.Far }

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

func (gt *Gate) door(po Pool) *door {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	do := gt.pools[po]
	if do == nil {
		do = &door{con: New(Room{}, gt.opts...)}
		gt.pools[po] = do
	}
	return do
}

// hold counts a request against its workspace's limit. The limit is kept by
// each entry for itself.
func (gt *Gate) hold(wo Work) *core.Failure {
	if wo.Limit == 0 {
		return nil
	}
	gt.mu.Lock()
	defer gt.mu.Unlock()
	if gt.held[wo.Workspace] >= wo.Limit {
		return core.Refuse(core.CodeOverloaded, retryAfter(0, wo.Draw), "the workspace has %d requests here, its limit", wo.Limit)
	}
	gt.held[wo.Workspace]++
	return nil
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
