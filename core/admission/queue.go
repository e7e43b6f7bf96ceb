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
func (ws *workspaceState) head() *Ticket {
	for _, ti := range ws.heads {
		if ti != nil {
			return ti
		}
	}
	return nil
}

func (ws *workspaceState) push(ti *Ticket) {
	ti.prev = ws.tails[ti.level]
	if ti.prev == nil {
		ws.heads[ti.level] = ti
	} else {
		ti.prev.next = ti
	}
	ws.tails[ti.level] = ti
	ws.queued[ti.level] += ti.units
	ws.count++
}

func (ws *workspaceState) remove(ti *Ticket) {
	if ti.prev == nil {
		ws.heads[ti.level] = ti.next
	} else {
		ti.prev.next = ti.next
	}
	if ti.next == nil {
		ws.tails[ti.level] = ti.prev
	} else {
		ti.next.prev = ti.prev
	}
	ti.prev, ti.next = nil, nil
	ws.queued[ti.level] = max(ws.queued[ti.level]-ti.units, 0)
	ws.count--
	if ws.count == 0 {
		ws.queued = [levelCount]float64{} // Discards accumulated rounding errors.
	}
}

// unitsAhead returns the workspace's waiting units that are served before a new
// request of a level.
func (ws *workspaceState) unitsAhead(la int) float64 {
	sum := 0.0
	for _, units := range ws.queued[:la+1] {
		sum += units
	}
	return sum
}

func (ws *workspaceState) observeOutput(output float64) {
	deviation := output - ws.output
	ws.output += smoothing * deviation
	ws.outputDeviation += smoothing * (max(deviation, -deviation) - ws.outputDeviation)
}

// workspaceHeap is a min-heap by tag of the workspaces with waiting requests.
type workspaceHeap []*workspaceState

func (wh workspaceHeap) less(ix, jx int) bool { return wh[ix].tag < wh[jx].tag }

func (wh workspaceHeap) swap(ix, jx int) {
	wh[ix], wh[jx] = wh[jx], wh[ix]
	wh[ix].heapIndex, wh[jx].heapIndex = ix, jx
}

func (wh *workspaceHeap) push(ws *workspaceState) {
	ws.heapIndex = len(*wh)
	*wh = append(*wh, ws)
	wh.up(ws.heapIndex)
}

func (wh *workspaceHeap) remove(ix int) {
	last := len(*wh) - 1
	(*wh)[ix].heapIndex = -1
	if ix != last {
		(*wh)[ix] = (*wh)[last]
		(*wh)[ix].heapIndex = ix
	}
	(*wh)[last] = nil
	*wh = (*wh)[:last]
	if ix < last {
		wh.fix(ix)
	}
}

func (wh workspaceHeap) fix(ix int) {
	wh.up(ix)
	wh.down(ix)
}

func (wh workspaceHeap) up(ix int) {
	for ix > 0 && wh.less(ix, (ix-1)/2) {
		wh.swap(ix, (ix-1)/2)
		ix = (ix - 1) / 2
	}
}

func (wh workspaceHeap) down(ix int) {
	for {
		low := ix
		for kid := 2*ix + 1; kid <= 2*ix+2 && kid < len(wh); kid++ {
			if wh.less(kid, low) {
				low = kid
			}
		}
		if low == ix {
			return
		}
		wh.swap(ix, low)
		ix = low
	}
}
