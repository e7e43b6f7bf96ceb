package admission

import "time"

// workspace returns the state of a workspace and updates its weight. States are
// never deleted: the configuration bounds the number of workspaces, and keeping
// them preserves their estimates.
func (con *Controller) workspace(wo Work) *workspaceState {
	ws := con.workspaces[wo.Workspace]
	weight := float64(max(wo.Share, 1))
	if ws == nil {
		ws = &workspaceState{weight: weight, output: initialOutput, heapIndex: -1}
		con.workspaces[wo.Workspace] = ws
	}
	if ws.weight != weight {
		if ws.active {
			con.activeWeight += weight - ws.weight
		}
		if ws.count > 0 {
			con.waitingWeight += weight - ws.weight
		}
		ws.weight = weight
	}
	return ws
}

// updateActive adds a workspace's weight to the sum of the active workspaces
// when it has work, and removes it when it has none.
func (con *Controller) updateActive(ws *workspaceState) {
	active := ws.count > 0 || ws.running > 0
	if active == ws.active {
		return
	}
	ws.active = active
	if active {
		con.activeWeight += ws.weight
	} else {
		con.activeWeight = max(con.activeWeight-ws.weight, 0)
	}
}

func (con *Controller) activeWeightWith(ws *workspaceState) float64 {
	if ws.active {
		return con.activeWeight
	}
	return con.activeWeight + ws.weight
}

func (con *Controller) enqueue(ti *Ticket) {
	ws := ti.workspace
	if ws.count == 0 {
		con.unqueuedRunning -= ws.running
		con.waitingWeight += ws.weight
	}
	ws.push(ti)
	con.queued++
	if ws.heapIndex < 0 {
		// An idle workspace does not accumulate credit.
		ws.tag = max(ws.tag, con.virtualTime)
		con.waiting.push(ws)
	}
	con.updateActive(ws)
}

func (con *Controller) dequeue(ti *Ticket) {
	ws := ti.workspace
	ws.remove(ti)
	con.queued--
	if ws.count == 0 {
		con.waiting.remove(ws.heapIndex)
		con.unqueuedRunning += ws.running
		con.waitingWeight -= ws.weight
	}
	con.updateActive(ws)
}

// start charges a request to its workspace and advances virtual time.
func (con *Controller) start(now time.Time, ti *Ticket) {
	ws := ti.workspace
	ti.started = now
	ws.tag = max(ws.tag, con.virtualTime)
	con.virtualTime = ws.tag
	ws.tag += ti.units / ws.weight
	if ws.heapIndex >= 0 {
		con.waiting.fix(ws.heapIndex)
	}
	if con.epoch.IsZero() {
		con.epoch = now
	}
	con.addRunning(ti, 1)
	con.updateActive(ws)
}

// addRunning updates the totals of the running requests when one starts (by is
// 1) or ends (by is -1).
func (con *Controller) addRunning(ti *Ticket, by int) {
	ws := ti.workspace
	con.startSum += float64(by) * ti.started.Sub(con.epoch).Seconds()
	con.chargedUnits += float64(by) * ti.units
	con.running += by
	if con.running == 0 {
		con.startSum, con.chargedUnits = 0, 0 // Discards accumulated rounding errors.
	}
	ws.running += by
	if ws.count == 0 {
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
