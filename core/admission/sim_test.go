package admission_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/admission"
	"skylarkstand/core/execute"
	"skylarkstand/core/placement"
	"skylarkstand/core/retry"
)

// site is the upstreams, and one entry, in an availability zone.
type site struct {
	zone      core.Zone
	region    core.Region
	upstreams int
}

// tenant is a workspace with its callers.
type tenant struct {
	id       core.WorkspaceID
	share    int
	rate     float64 // requests a second
	prompt   int     // tokens
	output   float64 // tokens, mean of an exponential distribution
	deadline time.Duration
}

// situation is what the pure logic is put through. The zero faults are none.
type situation struct {
	seed     uint64
	sites    []site
	slots    int
	tenants  []tenant
	length   time.Duration
	report   time.Duration // between two load reports
	stale    bool          // answers do not carry a report as well
	slow     float64       // factor of upstream 0, from a third of the length on
	lostHalf bool          // every second upstream dies at half of the length
	cut      bool          // the second half of the sites' upstreams die then
	burst    float64       // factor of the rates in the middle tenth
	failing  float64       // share of attempts that fail while they run
}

// policy is what decides. The zero value is the product's.
type policy struct {
	place   string // "", "round-robin", "least-loaded", "random"
	fifo    bool   // no admission and no refusal: first in, first out
	retries bool   // three tries for all that fails, without a budget
}

const (
	secondsPerPrompt = 0.0002
	secondsPerToken  = 0.01
	nearDelay        = time.Millisecond
	farDelay         = 20 * time.Millisecond
	bytesPerToken    = 150 // of an answer, as events of a stream
	unboundedQueue   = 1 << 30
)

type ending int

const (
	unended ending = iota
	answered
	refused
	expired
)

// request is one caller's request, with what became of it.
type request struct {
	ten       *tenant
	arrived   time.Duration
	output    float64
	first     time.Duration // to the first token
	entryWait time.Duration
	whole     time.Duration
	end       ending
	ended     time.Duration
	dispatch  int // attempts handed to agents
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (ev events) Len() int { return len(ev) }
func (ev events) Less(ix, jx int) bool {
	return ev[ix].at < ev[jx].at || ev[ix].at == ev[jx].at && ev[ix].seq < ev[jx].seq
}
func (ev events) Swap(ix, jx int) { ev[ix], ev[jx] = ev[jx], ev[ix] }
func (ev *events) Push(x any)     { *ev = append(*ev, x.(event)) }
func (ev *events) Pop() any {
	old := *ev
	last := old[len(old)-1]
	*ev = old[:len(old)-1]
	return last
}

// sim is the event loop: virtual time, one seed, the pure logic of entries and
// agents, and queues in place of engines.
type sim struct {
	sit      situation
	pol      policy
	rnd      *rand.Rand
	now      time.Duration
	seq      int
	queue    events
	entries  []*entry
	ups      []*upstream
	requests []*request
	crossed  int // bytes
}

type upstream struct {
	host core.Host
	bo   *execute.Bound
	dead bool
	jobs map[*job]bool
}

type entry struct {
	site    site
	con     *admission.Controller
	far     *admission.Controller // of the other regions' upstreams
	pk      *placement.Picker
	budget  *retry.Budget
	views   []core.Upstream
	turn    int
	waiting map[*request]*admission.Ticket
}

// job is one attempt at an upstream.
type job struct {
	si     *sim
	en     *entry
	up     *upstream
	rq     *request
	pl     *execute.Place
	ti     *admission.Ticket
	con    *admission.Controller
	tries  *retry.Tries
	tried  []core.UpstreamID
	sent   time.Duration
	choice placement.Choice
	over   bool
	heard  bool
}

var pool = placement.Pool{Target: core.ModelVersion{Model: "m", Version: "v"}}

func (si *sim) clock() time.Time { return time.Unix(0, 0).Add(si.now) }

func (si *sim) after(d time.Duration, run func()) {
	si.seq++
	heap.Push(&si.queue, event{si.now + d, si.seq, run})
}

func seconds(val float64) time.Duration { return time.Duration(val * float64(time.Second)) }

// simulate runs a situation under a policy and returns what callers got.
func simulate(sit situation, pol policy) *outcome {
	si := &sim{sit: sit, pol: pol, rnd: rand.New(rand.NewPCG(sit.seed, 7))}
	limit := 32
	if pol.fifo {
		limit = unboundedQueue
	}
	for _, st := range sit.sites {
		for range st.upstreams {
			id := core.UpstreamID(fmt.Sprintf("%s-%d", st.zone, len(si.ups)))
			si.ups = append(si.ups, &upstream{
				host: core.Host{ID: id, Zone: st.zone, Region: st.region},
				bo:   execute.NewBound(sit.slots, limit), jobs: map[*job]bool{},
			})
		}
	}
	for _, st := range sit.sites {
		en := &entry{
			site: st, con: admission.New(admission.Room{}), far: admission.New(admission.Room{}), pk: placement.New(st.zone, st.region), budget: retry.NewBudget(),
			views: make([]core.Upstream, len(si.ups)), waiting: map[*request]*admission.Ticket{},
		}
		si.entries = append(si.entries, en)
		si.report(en)
	}
	for ix := range sit.tenants {
		si.arrive(&sit.tenants[ix], rand.New(rand.NewPCG(sit.seed, uint64(100+ix))))
	}
	si.faults()
	for len(si.queue) > 0 && si.now < 2*sit.length {
		ev := heap.Pop(&si.queue).(event)
		si.now = ev.at
		ev.run()
	}
	return newOutcome(si)
}

// report brings an entry the agents' load, and again after the interval.
func (si *sim) report(en *entry) {
	for ix, up := range si.ups {
		en.see(si.clock(), ix, up)
	}
	if si.now < 2*si.sit.length {
		si.after(si.sit.report, func() { si.report(en) })
	}
}

func (en *entry) see(now time.Time, ix int, up *upstream) {
	vi := &en.views[ix]
	vi.Host, vi.Up, vi.Load = up.host, !up.dead, up.bo.Load()
	vi.Reported, vi.OwnThen = now, vi.Own
}

func (si *sim) faults() {
	if si.sit.lostHalf || si.sit.cut {
		si.after(si.sit.length/2, func() {
			for ix, up := range si.ups {
				if si.sit.lostHalf && ix%2 == 0 || si.sit.cut && up.host.Region != si.sit.sites[0].region {
					si.kill(up)
				}
			}
		})
	}
}

func (si *sim) kill(up *upstream) {
	up.dead = true
	lost := make([]*job, 0, len(up.jobs))
	for jo := range up.jobs {
		lost = append(lost, jo)
	}
	slices.SortFunc(lost, func(aa, bb *job) int { return int(aa.rq.arrived - bb.rq.arrived) })
	for _, jo := range lost {
		jo.fail(core.Lost("upstream lost"))
	}
	for _, en := range si.entries {
		for ix := range en.views {
			if en.views[ix].Host.ID == up.host.ID {
				en.views[ix].Up = false // The link is seen to be lost.
			}
		}
	}
}

// arrive draws the next arrival of a tenant, at an entry in proportion to the
// upstreams beside it. Each tenant has its own random numbers, so that all
// policies get the same work.
func (si *sim) arrive(te *tenant, rnd *rand.Rand) {
	rate := te.rate
	if part := float64(si.now) / float64(si.sit.length); si.sit.burst > 0 && part > 0.45 && part < 0.55 {
		rate *= si.sit.burst
	}
	si.after(seconds(rnd.ExpFloat64()/rate), func() {
		if si.now >= si.sit.length {
			return
		}
		at := rnd.IntN(len(si.ups))
		ix := slices.IndexFunc(si.sit.sites, func(st site) bool { return st.zone == si.ups[at].host.Zone })
		rq := &request{ten: te, arrived: si.now, output: math.Ceil(rnd.ExpFloat64() * te.output)}
		si.requests = append(si.requests, rq)
		si.offer(si.entries[ix], rq)
		si.arrive(te, rnd)
	})
}

func (rq *request) service() time.Duration {
	return seconds(float64(rq.ten.prompt)*secondsPerPrompt + rq.output*secondsPerToken)
}

func (si *sim) end(rq *request, en ending) {
	if rq.end != unended {
		return
	}
	rq.end, rq.ended = en, si.now
}

func (si *sim) offer(en *entry, rq *request) {
	tr := retry.NewTries(en.budget)
	jo := &job{si: si, en: en, rq: rq, tries: &tr}
	si.after(rq.ten.deadline, func() { si.expire(jo) })
	if si.pol.fifo {
		jo.attempt()
		return
	}
	si.pump(en)
	wo := admission.Work{
		Workspace: rq.ten.id, Share: rq.ten.share, Prompt: core.Tokens(rq.ten.prompt),
		Deadline: rq.ten.deadline, Draw: si.rnd.Float64(),
	}
	body := 4 * rq.ten.prompt
	jo.con = en.con
	ti, start, fl := en.con.Offer(si.clock(), wo)
	if fl != nil || !start && en.con.WorthCrossing(ti, body) {
		wo.NoWait = true
		en.far.Resize(admission.Room(en.pk.FarRoom(si.clock(), en.views)))
		if far, ok, _ := en.far.Offer(si.clock(), wo); ok {
			if fl == nil {
				en.con.Cancel(ti)
			}
			ti, start, fl, jo.con = far, true, nil, en.far
		}
	}
	if fl != nil {
		si.end(rq, refused)
		return
	}
	ti.Waiter, jo.ti = jo, ti
	if start {
		jo.attempt()
		return
	}
	en.waiting[rq] = ti
}

// pump starts what may start at an entry.
func (si *sim) pump(en *entry) {
	en.con.Resize(admission.Room(en.pk.Room(en.views, si.sharers(en))))
	for {
		ti, start := en.con.Next(si.clock())
		if ti == nil {
			return
		}
		jo := ti.Waiter.(*job)
		delete(en.waiting, jo.rq)
		if !start {
			en.con.GiveUp(ti)
			si.end(jo.rq, refused)
			continue
		}
		jo.attempt()
	}
}

func (si *sim) sharers(en *entry) int {
	count := 0
	for _, st := range si.sit.sites {
		if st.region == en.site.region {
			count++
		}
	}
	return count
}

// expire is the caller that gives up at its deadline.
func (si *sim) expire(jo *job) {
	if jo.rq.end != unended {
		return
	}
	si.end(jo.rq, expired)
	if ti := jo.en.waiting[jo.rq]; ti != nil {
		delete(jo.en.waiting, jo.rq)
		jo.en.con.Cancel(ti)
		return
	}
	jo.over = true
	if jo.up != nil && !jo.heard {
		jo.en.pk.Failed(si.clock(), jo.up.host.ID)
	}
	jo.free()
	jo.leave(nil)
}
