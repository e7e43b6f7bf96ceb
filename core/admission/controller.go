package admission

import (
	"math"
	"time"

	"skylarkstand/core"
)

// Work describes a request on arrival.
type Work struct {
	Workspace core.WorkspaceID
	// Share is the workspace's weight, at least 1.
	Share int
	// Limit bounds the workspace's running and waiting requests in a gate, over
	// all its pools; 0 means no limit.
	Limit  int
	Prompt core.Tokens
	// Body is the size of the request in bytes.
	Body     int
	Priority Priority
	// Deadline is the time left until the caller's deadline; 0 means none.
	Deadline time.Duration
	// NoWait refuses the request unless it starts at once.
	NoWait bool
	// AllowCrossRegion allows another region to run a request that the local region
	// would refuse, if it can start there at once.
	AllowCrossRegion bool
	// Jitter is a random number from 0 to 1, used as the jitter of Retry-After.
	Jitter float64
}

// Capacity is the capacity of a pool.
type Capacity struct {
	// EntrySlots is the number of requests of this controller that the pool can run
	// concurrently.
	EntrySlots int
	// TotalSlots is the number of requests of all entries that it can run
	// concurrently. The reserve is sized by it.
	TotalSlots int
}

// Controller makes the admission decisions for one pool. It is not safe for
// concurrent use.
type Controller struct {
	lim      Limits
	capacity Capacity
	running  int
	queued   int
	// activeWeight is the sum of the weights of the workspaces with running or
	// waiting requests, waitingWeight the sum of those with waiting requests.
	// virtualTime is the virtual time of the fair queue.
	activeWeight, waitingWeight, virtualTime float64
	// unqueuedRunning is the number of running requests of workspaces that have
	// none waiting.
	unqueuedRunning int
	waiting         workspaceHeap
	workspaces      map[core.WorkspaceID]*workspaceState
	// meanSeconds and meanUnits are moving averages over finished requests; their
	// quotient is the time per unit.
	meanSeconds, meanUnits float64
	// startSum and chargedUnits are sums over the running requests: of their
	// start times, in seconds since epoch, and of their units.
	startSum, chargedUnits float64
	epoch                  time.Time
	infeasibleCount        int
	free                   *Ticket
}

// New returns a controller for a pool of the given capacity.
func New(ca Capacity, opts ...Option) *Controller {
	return &Controller{
		lim: newLimits(opts), capacity: ca, workspaces: map[core.WorkspaceID]*workspaceState{},
		meanSeconds: initialSecondsPerUnit * initialOutput, meanUnits: initialOutput,
	}
}

// Resize sets the pool's capacity. With zero EntrySlots, no request starts.
func (con *Controller) Resize(ca Capacity) { con.capacity = ca }

// Offer decides on an arriving request. It returns the request's ticket and
// whether it starts now, or a refusal. A ticket that does not start now is
// queued; Next returns it later.
//
// Offer is designed for a load of several times the pool's capacity. It refuses
// a request that would miss its deadline in the queue: waiting would cost the
// caller the time to try elsewhere, and running it too late would waste capacity
// that other requests need to meet their deadlines.
func (con *Controller) Offer(now time.Time, wo Work) (*Ticket, bool, *core.Failure) {
	ws := con.workspace(wo)
	prompt := float64(wo.Prompt) / promptTokensPerUnit
	la := levelOf(wo.Priority)
	if fl := con.refuse(now, ws, la, prompt, wo); fl != nil {
		return nil, false, fl
	}
	ti := con.newTicket()
	*ti = Ticket{workspace: ws, level: la, prompt: prompt, units: prompt + ws.output, arrived: now}
	if wo.Deadline > 0 {
		ti.deadline = now.Add(wo.Deadline)
	}
	if con.startsNow(ws) {
		con.start(now, ti)
		return ti, true, nil
	}
	ti.expected = con.estimateWait(now, ws, la)
	con.enqueue(ti)
	return ti, false, nil
}

// WorthCrossRegion reports whether a queued request should start in another region
// instead: when the bytes that it would send over the paid cross-region link are
// few in proportion to the wait that it would avoid.
func (con *Controller) WorthCrossRegion(ti *Ticket, body int) bool {
	bytes := float64(body) + ti.workspace.output*bytesPerToken
	return bytes <= crossRegionBytesPerSecond*ti.expected
}

// startsNow reports whether a workspace's new request can start at once. It does
// not overtake other workspaces: those that wait cannot start.
func (con *Controller) startsNow(ws *workspaceState) bool { return ws.count == 0 && con.mayStart(ws) }

// refuse returns the refusal of a request that cannot finish in time, or nil.
func (con *Controller) refuse(now time.Time, ws *workspaceState, la int, prompt float64, wo Work) *core.Failure {
	service := con.serviceTime(prompt + ws.output)
	if con.startsNow(ws) {
		return con.refuseInfeasible(service, wo)
	}
	wait := con.estimateWait(now, ws, la)
	if wo.NoWait {
		return core.Refuse(core.CodeOverloaded, retryAfter(wait, wo.Jitter), "the pool has no room")
	}
	if con.queued >= con.lim.MaxQueue || ws.count >= con.lim.MaxQueuePerWorkspace {
		return core.Refuse(core.CodeOverloaded, retryAfter(wait/2, wo.Jitter), "the queue of the workspace or the pool is full")
	}
	limit, need := con.lim.MaxWait.Seconds(), wait
	if wo.Deadline > 0 {
		limit = wo.Deadline.Seconds()
		need = wait*waitMargin + service + con.serviceTime(ws.outputDeviation)
	}
	if need <= limit {
		return nil
	}
	return core.Refuse(core.CodeOverloaded, retryAfter(need-limit, wo.Jitter), "the request would wait %.1fs, which its deadline does not allow", wait)
}

// refuseInfeasible refuses a request that would miss its deadline even if it
// started now: when the estimate is more than twice the deadline, since the
// estimate is a mean.
func (con *Controller) refuseInfeasible(service float64, wo Work) *core.Failure {
	if wo.Deadline == 0 || service <= 2*wo.Deadline.Seconds() {
		return nil
	}
	con.infeasibleCount++
	if con.infeasibleCount%infeasibleProbeInterval == 0 {
		return nil
	}
	return core.Refuse(core.CodeDeadline, 0, "answers take %.1fs here, more than the deadline allows", service)
}

// Next dequeues the next request that can start now, or returns nil. After Leave
// and Resize it is called until it returns nil. A request that can no longer
// meet its deadline, because the pool has slowed down since it arrived, is
// returned with start false: the caller refuses it at once and calls Discard.
func (con *Controller) Next(now time.Time) (ti *Ticket, start bool) {
	ws := con.nextWorkspace()
	if ws == nil {
		return nil, false
	}
	ti = ws.head()
	con.dequeue(ti)
	if !ti.deadline.IsZero() && con.serviceTime(ti.units) > 2*ti.deadline.Sub(now).Seconds() {
		return ti, false
	}
	con.start(now, ti)
	return ti, true
}

// nextWorkspace returns the workspace that is served next, or nil. When only the
// reserve is free, it skips workspaces above their share.
func (con *Controller) nextWorkspace() *workspaceState {
	for _, ws := range con.waiting[:min(len(con.waiting), maxScan)] {
		if con.mayStart(ws) {
			return ws
		}
	}
	return nil
}

// mayStart reports whether a workspace's next request can start. A workspace
// well above its share of the slots must leave a reserve to the others.
//
// This guards against a noisy workspace that takes all free slots: without the
// reserve, each request of the others would first wait for one of that workspace's
// to end. Requests arrive at random, so the slots that the others need vary with the
// square root of the number they use, and the reserve is sized accordingly.
// Workspaces with waiting requests need no reserve, since the fair queue serves
// them next. A reserve for them would, in a full pool, hold back workspaces with
// a few long responses running until past their deadlines.
func (con *Controller) mayStart(ws *workspaceState) bool {
	free := con.capacity.EntrySlots - con.running
	if free <= 0 {
		return false
	}
	excess := con.excess(ws)
	return excess == 0 || float64(free) > excess*con.reserve(ws)
}

// excess returns how far one more request would put a workspace above its share
// of the slots, from 0 to 1, allowing for random variation. The variation of a
// workspace with most of the weight would span all slots; it is capped at half of
// the slots outside its share.
func (con *Controller) excess(ws *workspaceState) float64 {
	slots := float64(con.capacity.EntrySlots)
	share := ws.weight * slots / con.activeWeightWith(ws)
	rest := slots - share
	usual := share + min(shareDeviations*math.Sqrt(share), rest/2)
	return min(max((float64(ws.running+1)-usual)/max(min(share, rest), 1e-3), 0), 1)
}

// othersRunning returns the number of slots used by the workspaces that have
// nothing waiting, excluding ws.
func (con *Controller) othersRunning(ws *workspaceState) float64 {
	if ws.count == 0 {
		return float64(con.unqueuedRunning - ws.running)
	}
	return float64(con.unqueuedRunning)
}

// reserve returns the number of free slots that a workspace above its share
// leaves to the others. The load of the other entries is assumed to be like this
// entry's.
func (con *Controller) reserve(ws *workspaceState) float64 {
	return reserveDeviations * math.Sqrt(con.othersRunning(ws)*float64(con.capacity.TotalSlots)/float64(con.capacity.EntrySlots))
}

// Leave ends a started request. Used is the usage of its response, or nil if the
// response was cut off. The ticket must not be used afterwards.
func (con *Controller) Leave(now time.Time, ti *Ticket, used *core.Usage) {
	ws := ti.workspace
	con.addRunning(ti, -1)
	if used != nil {
		con.observe(ws, ti, now.Sub(ti.started), used)
	} else {
		con.observeTruncated(ws, ti, now.Sub(ti.started))
	}
	con.updateActive(ws)
	con.release(ti)
}

// observe updates the estimates with a finished request. The workspace is not
// charged for the difference from the estimate: the updated estimate raises the
// charge of its next requests, which evens out over time. Charging a long
// response at once would push admitted requests behind it past their deadlines.
func (con *Controller) observe(ws *workspaceState, ti *Ticket, took time.Duration, used *core.Usage) {
	output := max(float64(used.Generated), 1)
	total := output + max(ti.prompt, float64(used.Prompt)/promptTokensPerUnit)
	con.meanSeconds += smoothing * (took.Seconds() - con.meanSeconds)
	con.meanUnits += smoothing * (total - con.meanUnits)
	ws.observeOutput(output)
}

// observeTruncated updates the estimates with a response that was cut off by its
// deadline or its caller. Its full length is unknown, but at least what its
// running time allowed. Without this, only the short responses of a full pool
// would count, and the queue would admit more and more requests that then miss
// their deadlines.
func (con *Controller) observeTruncated(ws *workspaceState, ti *Ticket, took time.Duration) {
	if output := took.Seconds()/con.secondsPerUnit() - ti.prompt; output > ws.output {
		ws.observeOutput(output)
	}
}

// Cancel removes a waiting request from the queue. The ticket must not be used
// afterwards.
func (con *Controller) Cancel(ti *Ticket) {
	con.dequeue(ti)
	con.release(ti)
}

// Queued returns the number of waiting requests.
func (con *Controller) Queued() int { return con.queued }

// Running returns the number of running requests.
func (con *Controller) Running() int { return con.running }

// secondsPerUnit returns the estimated time per unit of one running request.
func (con *Controller) secondsPerUnit() float64 { return con.meanSeconds / max(con.meanUnits, 1) }

func (con *Controller) serviceTime(units float64) float64 { return units * con.secondsPerUnit() }

// estimateWait estimates the seconds that a request would wait. Workspaces
// without a queue are assumed to keep the slots they use; the rest of the
// pool's rate is divided by weight among those that wait. The queued work divided
// by the rate is no upper bound, since requests that arrive later may be served
// first.
//
// Workspaces without a queue are never assumed to keep more than their share. In
// the first second of a burst they hold all slots, and without this bound one
// arrival order in a hundred admits 6 of 200 callers where 17 can be answered in
// time.
func (con *Controller) estimateWait(now time.Time, ws *workspaceState, la int) float64 {
	slots := float64(max(con.capacity.EntrySlots, 1))
	weights := con.waitingWeight
	if ws.count == 0 {
		weights += ws.weight
	}
	used := con.othersRunning(ws)
	if con.capacity.EntrySlots > 0 && con.excess(ws) > 0 {
		used += con.reserve(ws)
	}
	left := max(1-used/slots, weights/con.activeWeightWith(ws), minRateShare)
	rate := slots / (con.secondsPerUnit() * con.overrunFactor(now))
	unitsBefore := max(ws.tag-con.virtualTime, 0)*weights + ws.unitsAhead(la)*weights/ws.weight
	return (unitsBefore/left + con.meanUnits) / rate
}

// overrunFactor returns how many times longer than estimated the running
// requests take, judged by their mean age so far; at least 1.
//
// An entry that has just started has seen only the requests that have ended,
// which are the short ones. While the long ones still run, its estimates are too
// fast, and requests would wait past their deadlines.
func (con *Controller) overrunFactor(now time.Time) float64 {
	if con.running == 0 {
		return 1
	}
	age := now.Sub(con.epoch).Seconds() - con.startSum/float64(con.running)
	charged := con.serviceTime(con.chargedUnits / float64(con.running))
	return max(age/max(charged, 1e-6), 1)
}

func retryAfter(seconds, draw float64) time.Duration {
	d := time.Duration(seconds * float64(time.Second))
	d = min(max(d, minRetryAfter), maxRetryAfter)
	return d + time.Duration(draw*retryJitter*float64(d))
}
