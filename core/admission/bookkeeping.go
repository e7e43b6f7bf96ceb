package admission

import "time"

// workspace returns the state of a workspace and updates its weight. States are
// never deleted: the configuration bounds the number of workspaces, and keeping
// them preserves their estimates.
func (con *Controller) workspace(wo Work) *workspaceState {
	sp := con.workspaces[wo.Workspace]
	weight := float64(max(wo.Share, 1))
	if sp == nil {
		sp = &workspaceState{weight: weight, output: initialOutput, heapIndex: -1}
		con.workspaces[wo.Workspace] = sp
	}
	if sp.weight != weight {
		if sp.active {
			con.activeWeight += weight - sp.weight
		}
		if sp.count > 0 {
			con.waitingWeight += weight - sp.weight
		}
		sp.weight = weight
	}
	return sp
}

// updateActive adds a workspace's weight to the sum of the active workspaces
// when it has work, and removes it when it has none.
func (con *Controller) updateActive(sp *workspaceState) {
	active := sp.count > 0 || sp.running > 0
	if active == sp.active {
		return
	}
	sp.active = active
	if active {
		con.activeWeight += sp.weight
	} else {
		con.activeWeight = max(con.activeWeight-sp.weight, 0)
	}
}

func (con *Controller) activeWeightWith(sp *workspaceState) float64 {
	if sp.active {
		return con.activeWeight
	}
	return con.activeWeight + sp.weight
}

func (con *Controller) enqueue(ti *Ticket) {
	sp := ti.workspace
	if sp.count == 0 {
		con.unqueuedRunning -= sp.running
		con.waitingWeight += sp.weight
	}
	sp.push(ti)
	con.queued++
	if sp.heapIndex < 0 {
		// An idle workspace does not accumulate credit.
		sp.tag = max(sp.tag, con.virtualTime)
		con.waiting.push(sp)
	}
	con.updateActive(sp)
}

func (con *Controller) dequeue(ti *Ticket) {
	sp := ti.workspace
	sp.remove(ti)
	con.queued--
	if sp.count == 0 {
		con.waiting.remove(sp.heapIndex)
		con.unqueuedRunning += sp.running
		con.waitingWeight -= sp.weight
	}
	con.updateActive(sp)
}

// start charges a request to its workspace and advances virtual time.
func (con *Controller) start(now time.Time, ti *Ticket) {
	sp := ti.workspace
	ti.started = now
	sp.tag = max(sp.tag, con.virtualTime)
	con.virtualTime = sp.tag
	sp.tag += ti.units / sp.weight
	if sp.heapIndex >= 0 {
		con.waiting.fix(sp.heapIndex)
	}
	if con.epoch.IsZero() {
		con.epoch = now
	}
	con.addRunning(ti, 1)
	con.updateActive(sp)
}

// addRunning updates the totals of the running requests when one starts (by is
// 1) or ends (by is -1).
func (con *Controller) addRunning(ti *Ticket, by int) {
	sp := ti.workspace
	con.startSum += float64(by) * ti.started.Sub(con.epoch).Seconds()
	con.chargedUnits += float64(by) * ti.units
	con.running += by
	if con.running == 0 {
		con.startSum, con.chargedUnits = 0, 0 // Discards accumulated rounding errors.
	}
	sp.running += by
	if sp.count == 0 {
		con.unqueuedRunning += by
	}
}

// newTicket takes a ticket from the free list, so that admission allocates
// nothing in the steady state.
func (con *Controller) newTicket() *Ticket {
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

// Discard releases a ticket that Next returned without starting it.
func (con *Controller) Discard(ti *Ticket) { con.release(ti) }
