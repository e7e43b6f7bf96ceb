package admission

import "time"

// space returns a workspace's part. Parts are kept: their number is bounded by
// the workspaces of the configuration, and what was learned stays known.
func (con *Controller) space(wo Work) *space {
	sp := con.spaces[wo.Workspace]
	weight := float64(max(wo.Share, 1))
	if sp == nil {
		sp = &space{weight: weight, output: firstOutput, place: -1}
		con.spaces[wo.Workspace] = sp
	}
	if sp.weight != weight {
		if sp.counted {
			con.weights += weight - sp.weight
		}
		if sp.count > 0 {
			con.queuing += weight - sp.weight
		}
		sp.weight = weight
	}
	return sp
}

// weigh keeps the sum of the shares that have work.
func (con *Controller) weigh(sp *space) {
	active := sp.count > 0 || sp.flying > 0
	if active == sp.counted {
		return
	}
	sp.counted = active
	if active {
		con.weights += sp.weight
	} else {
		con.weights = max(con.weights-sp.weight, 0)
	}
}

func (con *Controller) weightsWith(sp *space) float64 {
	if sp.counted {
		return con.weights
	}
	return con.weights + sp.weight
}

func (con *Controller) enqueue(ti *Ticket) {
	sp := ti.space
	if sp.count == 0 {
		con.quiet -= sp.flying
		con.queuing += sp.weight
	}
	sp.push(ti)
	con.queued++
	if sp.place < 0 {
		// What a workspace did not use while it was away is not owed to it.
		sp.tag = max(sp.tag, con.clock)
		con.waiting.push(sp)
	}
	con.weigh(sp)
}

func (con *Controller) dequeue(ti *Ticket) {
	sp := ti.space
	sp.remove(ti)
	con.queued--
	if sp.count == 0 {
		con.waiting.remove(sp.place)
		con.quiet += sp.flying
		con.queuing -= sp.weight
	}
	con.weigh(sp)
}

// start charges a request to its workspace and lets virtual time follow.
func (con *Controller) start(now time.Time, ti *Ticket) {
	sp := ti.space
	ti.started = now
	sp.tag = max(sp.tag, con.clock)
	con.clock = sp.tag
	sp.tag += ti.units / sp.weight
	if sp.place >= 0 {
		con.waiting.fix(sp.place)
	}
	if con.epoch.IsZero() {
		con.epoch = now
	}
	con.fly(ti, 1)
	con.weigh(sp)
}

// fly counts a request that starts or ends.
func (con *Controller) fly(ti *Ticket, by int) {
	sp := ti.space
	con.started += float64(by) * ti.started.Sub(con.epoch).Seconds()
	con.charged += float64(by) * ti.units
	con.flying += by
	if con.flying == 0 {
		con.started, con.charged = 0, 0 // No rounding is carried on.
	}
	sp.flying += by
	if sp.count == 0 {
		con.quiet += by
	}
}

// ticket takes a ticket from the free list, so that an admission allocates
// nothing while the pool is in a steady state.
func (con *Controller) ticket() *Ticket {
	ti := con.free
	if ti == nil {
		return new(Ticket)
	}
	con.free = ti.next
	return ti
}

func (con *Controller) release(ti *Ticket) {
	*ti = Ticket{next: con.free}
	con.free = ti
}

// GiveUp ends a ticket that Next did not start.
func (con *Controller) GiveUp(ti *Ticket) { con.release(ti) }
