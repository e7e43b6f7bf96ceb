package admission

import (
	"time"
)

// Priority orders work within one workspace.
type Priority int

// The priorities. Values outside are taken for the nearest.
const (
	Low    Priority = -1
	Normal Priority = 0
	High   Priority = 1
)

const lanes = int(High-Low) + 1

// lane returns the index of a priority's queue; 0 goes first.
func lane(pr Priority) int { return int(High - min(max(pr, Low), High)) }

// Ticket is one request in a controller. It is valid until Leave or Cancel.
type Ticket struct {
	// Waiter belongs to the caller of Offer, to find its request again.
	Waiter any

	space    *space
	lane     int
	prompt   float64
	units    float64
	arrived  time.Time
	started  time.Time
	deadline time.Time // zero: none
	expected float64   // seconds of waiting, as estimated on arrival
	prev     *Ticket
	next     *Ticket
}

// Wait returns how long the request waited before it started.
func (ti *Ticket) Wait() time.Duration { return ti.started.Sub(ti.arrived) }

// space is a workspace's part of a controller.
type space struct {
	weight float64
	// tag is the virtual time at which the next waiting request may start.
	tag float64
	// output and spread are the mean answer and its mean deviation, in units.
	output, spread float64
	// queued units wait in each lane, count requests in all of them.
	queued [lanes]float64
	count  int
	flying int
	heads  [lanes]*Ticket
	tails  [lanes]*Ticket
	// place is the index in the heap of waiting workspaces, or -1.
	place int
	// counted says that the weight stands in the controller's sum.
	counted bool
}

// head is the request that goes first: the oldest of the highest priority.
func (sp *space) head() *Ticket {
	for _, ti := range sp.heads {
		if ti != nil {
			return ti
		}
	}
	return nil
}

func (sp *space) push(ti *Ticket) {
	ti.prev = sp.tails[ti.lane]
	if ti.prev == nil {
		sp.heads[ti.lane] = ti
	} else {
		ti.prev.next = ti
	}
	sp.tails[ti.lane] = ti
	sp.queued[ti.lane] += ti.units
	sp.count++
}

func (sp *space) remove(ti *Ticket) {
	if ti.prev == nil {
		sp.heads[ti.lane] = ti.next
	} else {
		ti.prev.next = ti.next
	}
	if ti.next == nil {
		sp.tails[ti.lane] = ti.prev
	} else {
		ti.next.prev = ti.prev
	}
	ti.prev, ti.next = nil, nil
	sp.queued[ti.lane] = max(sp.queued[ti.lane]-ti.units, 0)
	sp.count--
	if sp.count == 0 {
		sp.queued = [lanes]float64{} // No rounding is carried on.
	}
}

// ahead is the workspace's own work that goes before a new request in a lane.
func (sp *space) ahead(la int) float64 {
	sum := 0.0
	for _, un := range sp.queued[:la+1] {
		sum += un
	}
	return sum
}

func (sp *space) learn(out float64) {
	off := out - sp.output
	sp.output += smooth * off
	sp.spread += smooth * (max(off, -off) - sp.spread)
}

// spaces is a heap of the workspaces with waiting work, the lowest tag first.
type spaces []*space

func (he spaces) less(ix, jx int) bool { return he[ix].tag < he[jx].tag }

func (he spaces) swap(ix, jx int) {
	he[ix], he[jx] = he[jx], he[ix]
	he[ix].place, he[jx].place = ix, jx
}

func (he *spaces) push(sp *space) {
	sp.place = len(*he)
	*he = append(*he, sp)
	he.up(sp.place)
}

func (he *spaces) remove(ix int) {
	last := len(*he) - 1
	(*he)[ix].place = -1
	if ix != last {
		(*he)[ix] = (*he)[last]
		(*he)[ix].place = ix
	}
	(*he)[last] = nil
	*he = (*he)[:last]
	if ix < last {
		he.fix(ix)
	}
}

func (he spaces) fix(ix int) {
	he.up(ix)
	he.down(ix)
}

func (he spaces) up(ix int) {
	for ix > 0 && he.less(ix, (ix-1)/2) {
		he.swap(ix, (ix-1)/2)
		ix = (ix - 1) / 2
	}
}

func (he spaces) down(ix int) {
	for {
		low := ix
		for kid := 2*ix + 1; kid <= 2*ix+2 && kid < len(he); kid++ {
			if he.less(kid, low) {
				low = kid
			}
		}
		if low == ix {
			return
		}
		he.swap(ix, low)
		ix = low
	}
}
