package admission

import (
	"time"
)

// Priority orders the requests of one workspace.
type Priority int

// The priorities. Values out of range are clamped.
const (
	Low    Priority = -1
	Normal Priority = 0
	High   Priority = 1
)

const levelCount = int(High-Low) + 1

// levelOf returns the index of a priority's queue; 0 is served first.
func levelOf(pr Priority) int { return int(High - min(max(pr, Low), High)) }

// Ticket is one request in a controller. It is valid until Leave, Cancel or
// Discard.
type Ticket struct {
	// Waiter is for the caller of Offer, to identify its request in Next.
	Waiter any

	workspace *workspaceState
	level     int
	prompt    float64
	units     float64
	arrived   time.Time
	started   time.Time
	deadline  time.Time // zero: none
	expected  float64   // wait in seconds, as estimated on arrival
	prev      *Ticket
	next      *Ticket
}

// Wait returns how long the request waited before it started.
func (ti *Ticket) Wait() time.Duration { return ti.started.Sub(ti.arrived) }

// workspaceState is the state of one workspace in a controller.
type workspaceState struct {
	weight float64
	// tag is the virtual start time of the next waiting request.
	tag float64
	// output and outputDeviation are the mean output and its mean absolute deviation, in
	// units.
	output, outputDeviation float64
	// queued is the number of waiting units at each priority level, count the
	// number of waiting requests over all levels.
	queued  [levelCount]float64
	count   int
	running int
	heads   [levelCount]*Ticket
	tails   [levelCount]*Ticket
	// heapIndex is the index in the heap of waiting workspaces, or -1.
	heapIndex int
	// active is set while the weight is included in the controller's activeWeight.
	active bool
}

// head returns the request that is served first: the oldest of the highest
// priority, or nil.
func (sp *workspaceState) head() *Ticket {
	for _, ti := range sp.heads {
		if ti != nil {
			return ti
		}
	}
	return nil
}

func (sp *workspaceState) push(ti *Ticket) {
	ti.prev = sp.tails[ti.level]
	if ti.prev == nil {
		sp.heads[ti.level] = ti
	} else {
		ti.prev.next = ti
	}
	sp.tails[ti.level] = ti
	sp.queued[ti.level] += ti.units
	sp.count++
}

func (sp *workspaceState) remove(ti *Ticket) {
	if ti.prev == nil {
		sp.heads[ti.level] = ti.next
	} else {
		ti.prev.next = ti.next
	}
	if ti.next == nil {
		sp.tails[ti.level] = ti.prev
	} else {
		ti.next.prev = ti.prev
	}
	ti.prev, ti.next = nil, nil
	sp.queued[ti.level] = max(sp.queued[ti.level]-ti.units, 0)
	sp.count--
	if sp.count == 0 {
		sp.queued = [levelCount]float64{} // Discards accumulated rounding errors.
	}
}

// unitsAhead returns the workspace's waiting units that are served before a new
// request of a level.
func (sp *workspaceState) unitsAhead(la int) float64 {
	sum := 0.0
	for _, units := range sp.queued[:la+1] {
		sum += units
	}
	return sum
}

func (sp *workspaceState) observeOutput(output float64) {
	deviation := output - sp.output
	sp.output += smoothing * deviation
	sp.outputDeviation += smoothing * (max(deviation, -deviation) - sp.outputDeviation)
}

// workspaceHeap is a min-heap by tag of the workspaces with waiting requests.
type workspaceHeap []*workspaceState

func (he workspaceHeap) less(ix, jx int) bool { return he[ix].tag < he[jx].tag }

func (he workspaceHeap) swap(ix, jx int) {
	he[ix], he[jx] = he[jx], he[ix]
	he[ix].heapIndex, he[jx].heapIndex = ix, jx
}

func (he *workspaceHeap) push(sp *workspaceState) {
	sp.heapIndex = len(*he)
	*he = append(*he, sp)
	he.up(sp.heapIndex)
}

func (he *workspaceHeap) remove(ix int) {
	last := len(*he) - 1
	(*he)[ix].heapIndex = -1
	if ix != last {
		(*he)[ix] = (*he)[last]
		(*he)[ix].heapIndex = ix
	}
	(*he)[last] = nil
	*he = (*he)[:last]
	if ix < last {
		he.fix(ix)
	}
}

func (he workspaceHeap) fix(ix int) {
	he.up(ix)
	he.down(ix)
}

func (he workspaceHeap) up(ix int) {
	for ix > 0 && he.less(ix, (ix-1)/2) {
		he.swap(ix, (ix-1)/2)
		ix = (ix - 1) / 2
	}
}

func (he workspaceHeap) down(ix int) {
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
