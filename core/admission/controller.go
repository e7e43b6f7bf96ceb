package admission

import (
	"math"
	"time"

	"skylarkstand/core"
)

// Work is what is known of a request on arrival.
type Work struct {
	Workspace core.WorkspaceID
	// Share is the workspace's weight, at least 1.
	Share int
	// Limit bounds the workspace's requests in a gate, over all its pools; 0 is
	// none.
	Limit  int
	Prompt core.Tokens
	// Body is the size of the request in bytes.
	Body     int
	Priority Priority
	// Deadline is the time left to the caller; 0 is none.
	Deadline time.Duration
	// NoWait refuses the request unless it starts at once.
	NoWait bool
	// MayCross lets a request that the own region would refuse go to another
	// one, if that takes it at once.
	MayCross bool
	// Draw is a random number from 0 to 1. It spreads Retry-After.
	Draw float64
}

// Room is what a pool takes.
type Room struct {
	// Places is how many requests of this controller the pool takes at once.
	Places int
	// Slots is how many of all entries. The reserve is a part of these.
	Slots int
}

// Controller decides for one pool. It belongs to one goroutine at a time.
type Controller struct {
	lim    Limits
	room   Room
	flying int
	queued int
	// weights is the shares of the workspaces with work here, queuing of those
	// with work that waits, clock the virtual time of the fair queue.
	weights, queuing, clock float64
	// quiet is the running requests of workspaces with nothing waiting.
	quiet   int
	waiting spaces
	spaces  map[core.WorkspaceID]*space
	// seconds and units are smoothed sums over answers; their quotient is the
	// time that a unit takes.
	seconds, units float64
	// started and charged are the sums of the running requests' starts, in
	// seconds since epoch, and of their units.
	started, charged float64
	epoch            time.Time
	hopeless         int
	free             *Ticket
}

// New returns a controller of a pool.
func New(ro Room, opts ...Option) *Controller {
	return &Controller{
		lim: newLimits(opts), room: ro, spaces: map[core.WorkspaceID]*space{},
		seconds: firstPace * firstOutput, units: firstOutput,
	}
}

// Resize sets what the pool takes. Without places it starts nothing.
func (con *Controller) Resize(ro Room) { con.room = ro }

// Offer decides on a request that has arrived. It returns the request's ticket
// and whether it starts now; or the refusal, at once. A ticket that has not
// started is returned by Next later.
//
// It is made for a pool at several times its capacity. A request that would
// miss its deadline in the queue is refused here: to let it wait would cost
// its caller the time to go elsewhere, and to run it too late would cost the
// pool the answers that could still be in time.
func (con *Controller) Offer(now time.Time, wo Work) (*Ticket, bool, *core.Failure) {
	sp := con.space(wo)
	prompt := float64(wo.Prompt) / promptPerUnit
	la := lane(wo.Priority)
	if fl := con.refuse(now, sp, la, prompt, wo); fl != nil {
		return nil, false, fl
	}
	ti := con.ticket()
	*ti = Ticket{space: sp, lane: la, prompt: prompt, units: prompt + sp.output, arrived: now}
	if wo.Deadline > 0 {
		ti.deadline = now.Add(wo.Deadline)
	}
	if con.startsNow(sp) {
		con.start(now, ti)
		return ti, true, nil
	}
	ti.expected = con.wait(now, sp, la)
	con.enqueue(ti)
	return ti, false, nil
}

// WorthCrossing reports whether a request that waits here should start in
// another region instead: when the bytes that it would send over the paid link
// are few for the waiting that it would save.
func (con *Controller) WorthCrossing(ti *Ticket, body int) bool {
	bytes := float64(body) + ti.space.output*bytesPerToken
	return bytes <= crossingRate*ti.expected
}

// startsNow reports whether a workspace's new request finds room. No other
// workspace is passed over by it: one that waits has no room to start.
func (con *Controller) startsNow(sp *space) bool { return sp.count == 0 && con.mayStart(sp) }

// refuse returns the refusal of a request that cannot be served in time.
func (con *Controller) refuse(now time.Time, sp *space, la int, prompt float64, wo Work) *core.Failure {
	service := con.service(prompt + sp.output)
	if con.startsNow(sp) {
		return con.refuseHopeless(service, wo)
	}
	wait := con.wait(now, sp, la)
	if wo.NoWait {
		return core.Refuse(core.CodeOverloaded, retryAfter(wait, wo.Draw), "the pool has no room")
	}
	if con.queued >= con.lim.MaxQueue || sp.count >= con.lim.MaxOwn {
		return core.Refuse(core.CodeOverloaded, retryAfter(wait/2, wo.Draw), "the queue of the workspace or the pool is full")
	}
	limit, need := con.lim.MaxWait.Seconds(), wait
	if wo.Deadline > 0 {
		limit = wo.Deadline.Seconds()
		need = wait*margin + service + con.service(sp.spread)
	}
	if need <= limit {
		return nil
	}
	return core.Refuse(core.CodeOverloaded, retryAfter(need-limit, wo.Draw), "the request would wait %.1fs, which its deadline does not allow", wait)
}

// refuseHopeless refuses work that would not meet its deadline even alone: by
// more than half, since the estimate is a mean.
func (con *Controller) refuseHopeless(service float64, wo Work) *core.Failure {
	if wo.Deadline == 0 || service <= 2*wo.Deadline.Seconds() {
		return nil
	}
	con.hopeless++
	if con.hopeless%hopelessPart == 0 {
		return nil
	}
	return core.Refuse(core.CodeDeadline, 0, "answers take %.1fs here, more than the deadline allows", service)
}

// Next takes a waiting request that starts now, or returns nil. It is called
// after Leave and Resize until it returns nil. A request that can no longer
// meet its deadline, because the pool became slower after its arrival, comes
// back with start false: it is given up, and answered and left at once.
func (con *Controller) Next(now time.Time) (ti *Ticket, start bool) {
	sp := con.choose()
	if sp == nil {
		return nil, false
	}
	ti = sp.head()
	con.dequeue(ti)
	if !ti.deadline.IsZero() && con.service(ti.units) > 2*ti.deadline.Sub(now).Seconds() {
		return ti, false
	}
	con.start(now, ti)
	return ti, true
}

// choose returns the workspace that is served next. When only the reserve is
// left, a workspace beyond its share is passed over.
func (con *Controller) choose() *space {
	for _, sp := range con.waiting[:min(len(con.waiting), scan)] {
		if con.mayStart(sp) {
			return sp
		}
	}
	return nil
}

// mayStart reports whether a workspace's next request finds room. A workspace
// that is well above its share of the places leaves a reserve to the others.
//
// It is made for one workspace that takes all that is free: without it, each
// request of the others would first wait for one of the hog's to end. Requests
// arrive at random, so the places that the others need vary with the square
// root of what they use, and so does the reserve. Workspaces that have work
// waiting need none: they are next by their turn. To keep a reserve for them
// as well was tried; in a full pool it held workspaces back that had a few
// long answers running, past their deadlines.
func (con *Controller) mayStart(sp *space) bool {
	room := con.room.Places - con.flying
	if room <= 0 {
		return false
	}
	over := con.over(sp)
	return over == 0 || float64(room) > over*con.reserve(sp)
}

// over is how far a workspace would be above its share of the places, from 0
// to 1, beyond what a share varies by itself. A workspace with most of the
// shares would vary over all places; it leaves half of what is not its own.
func (con *Controller) over(sp *space) float64 {
	places := float64(con.room.Places)
	share := sp.weight * places / con.weightsWith(sp)
	rest := places - share
	usual := share + min(ownSpread*math.Sqrt(share), rest/2)
	return min(max((float64(sp.flying+1)-usual)/max(min(share, rest), 1e-3), 0), 1)
}

// others is the places that workspaces with nothing waiting use, but one.
func (con *Controller) others(sp *space) float64 {
	if sp.count == 0 {
		return float64(con.quiet - sp.flying)
	}
	return float64(con.quiet)
}

// reserve is the free places that one workspace leaves to the others. The
// other entries' callers are taken to be like this entry's.
func (con *Controller) reserve(sp *space) float64 {
	return othersSpread * math.Sqrt(con.others(sp)*float64(con.room.Slots)/float64(con.room.Places))
}

// Leave ends a started request. Used is the answer's usage, or nil when there
// was none to learn from. The ticket is not used afterwards.
func (con *Controller) Leave(now time.Time, ti *Ticket, used *core.Usage) {
	sp := ti.space
	con.fly(ti, -1)
	if used != nil {
		con.learn(sp, ti, now.Sub(ti.started), used)
	} else {
		con.learnCut(sp, ti, now.Sub(ti.started))
	}
	con.weigh(sp)
	con.release(ti)
}

// learn takes an answer into the estimates. The workspace is not charged for
// the difference to what was expected: its next requests are expected to be
// like this one, which comes to the same over time. To charge each long answer
// at once was tried; it pushed what waited behind it past its deadline, after
// it had been admitted.
func (con *Controller) learn(sp *space, ti *Ticket, took time.Duration, used *core.Usage) {
	out := max(float64(used.Generated), 1)
	total := out + max(ti.prompt, float64(used.Prompt)/promptPerUnit)
	con.seconds += smooth * (took.Seconds() - con.seconds)
	con.units += smooth * (total - con.units)
	sp.learn(out)
}

// learnCut takes an answer into the estimates that was cut by its deadline or
// its caller. How long it would have become is not known, only that it was at
// least as long as its time allowed. Without it only the short answers of a
// full pool would be learned from, and the queue would take ever more work
// that then does not end in time.
func (con *Controller) learnCut(sp *space, ti *Ticket, took time.Duration) {
	if out := took.Seconds()/con.pace() - ti.prompt; out > sp.output {
		sp.learn(out)
	}
}

// Cancel takes a waiting request out, because its caller is gone. The ticket
// is not used afterwards.
func (con *Controller) Cancel(ti *Ticket) {
	con.dequeue(ti)
	con.release(ti)
}

// Queued returns how many requests wait, Flying how many run.
func (con *Controller) Queued() int { return con.queued }

// Flying returns how many requests run.
func (con *Controller) Flying() int { return con.flying }

// pace is the seconds that a unit takes in one place.
func (con *Controller) pace() float64 { return con.seconds / max(con.units, 1) }

func (con *Controller) service(units float64) float64 { return units * con.pace() }

// wait estimates the seconds that a request would wait. Workspaces without a
// queue take what they use now; the rest of the pool's rate is divided by
// share among those that wait. The work that waits now over the rate was tried
// for a bound: it is none, as work that comes later may have its turn first.
//
// Those without a queue are never taken to keep more than their share. In the
// first second of a burst all places are theirs, and without this bound one
// order of a hundred let 6 of 200 callers in where 17 were answered in time.
func (con *Controller) wait(now time.Time, sp *space, la int) float64 {
	places := float64(max(con.room.Places, 1))
	weights := con.queuing
	if sp.count == 0 {
		weights += sp.weight
	}
	used := con.others(sp)
	if con.room.Places > 0 && con.over(sp) > 0 {
		used += con.reserve(sp)
	}
	left := max(1-used/places, weights/con.weightsWith(sp), leastLeft)
	rate := places / (con.pace() * con.overrun(now))
	own := max(sp.tag-con.clock, 0)*weights + sp.ahead(la)*weights/sp.weight
	return (own/left + con.units) / rate
}

// overrun is how many times longer the running requests are than they were
// expected to be, judged by their age so far; at least 1.
//
// An entry that has just started knows only the answers that have ended, which
// are the short ones. While the long ones run it would take the pool for
// faster than it is, and let work wait past its deadline.
func (con *Controller) overrun(now time.Time) float64 {
	if con.flying == 0 {
		return 1
	}
	age := now.Sub(con.epoch).Seconds() - con.started/float64(con.flying)
	charged := con.service(con.charged / float64(con.flying))
	return max(age/max(charged, 1e-6), 1)
}

func retryAfter(seconds, draw float64) time.Duration {
	d := time.Duration(seconds * float64(time.Second))
	d = min(max(d, minRetry), maxRetry)
	return d + time.Duration(draw*retrySpread*float64(d))
}
