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

// site is an availability zone with one entry and some upstreams.
type site struct {
	zone      core.Zone
	region    core.Region
	upstreams int
}

// tenant is a workspace and the load of its callers.
type tenant struct {
	id       core.WorkspaceID
	share    int
	rate     float64 // requests per second
	prompt   int     // tokens
	output   float64 // tokens, mean of an exponential distribution
	deadline time.Duration
}

// scenario is the load and the faults of a simulation. Zero values mean no fault.
type scenario struct {
	seed           uint64
	sites          []site
	slots          int
	tenants        []tenant
	length         time.Duration
	reportInterval time.Duration // time between two load reports
	stale          bool          // responses carry no load report
	slow           float64       // slowdown of upstream 0 after a third of the length
	halfLost       bool          // every second upstream fails at half of the length
	partitioned    bool          // upstreams outside the first site's region fail at half of the length
	burst          float64       // factor of the arrival rates in the middle tenth of the length
	failing        float64       // fraction of attempts that fail while they run
}

// policy selects the logic under test. The zero value is the production logic.
type policy struct {
	balancing string // "", "round-robin", "least-loaded", "random"
	fifo      bool   // no admission control: an unbounded first-in, first-out queue
	retries   bool   // three attempts per failing request, without a retry budget
}

const (
	secondsPerPromptToken = 0.0002
	secondsPerToken       = 0.01
	localDelay            = time.Millisecond
	crossRegionDelay      = 20 * time.Millisecond
	bytesPerToken         = 150 // of a response, as a stream event
	unboundedQueue        = 1 << 30
)

type requestState int

const (
	pending requestState = iota
	answered
	refused
	expired
)

// request is one caller's request and its result.
type request struct {
	tenant     *tenant
	arrived    time.Duration
	output     float64
	first      time.Duration // time to first token
	entryWait  time.Duration
	whole      time.Duration
	state      requestState
	ended      time.Duration
	dispatches int // attempts sent to agents
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

// sim is a discrete-event simulation with virtual time and one seed. It runs the
// production logic of entries and agents, and models engines by delays.
type sim struct {
	sc               scenario
	pol              policy
	rnd              *rand.Rand
	now              time.Duration
	seq              int
	queue            events
	entries          []*entry
	ups              []*upstream
	requests         []*request
	crossRegionBytes int // bytes
}

type upstream struct {
	host core.Host
	bo   *execute.SlotQueue
	down bool
	jobs map[*job]bool
}

type entry struct {
	site      site
	con       *admission.Controller
	remote    *admission.Controller // admits to the upstreams of other regions
	pk        *placement.Picker
	budget    *retry.Budget
	views     []core.Upstream
	nextIndex int
	waiting   map[*request]*admission.Ticket
}

// job is a request in progress, with its current attempt.
type job struct {
	si            *sim
	en            *entry
	up            *upstream
	rq            *request
	pl            *execute.Ticket
	ti            *admission.Ticket
	con           *admission.Controller
	tries         *retry.Attempts
	tried         []core.UpstreamID
	sent          time.Duration
	choice        placement.Choice
	done          bool
	gotFirstToken bool
}

var pool = placement.Pool{Target: core.ModelVersion{Model: "m", Version: "v"}}

func (si *sim) clock() time.Time { return time.Unix(0, 0).Add(si.now) }

func (si *sim) after(d time.Duration, run func()) {
	si.seq++
	heap.Push(&si.queue, event{si.now + d, si.seq, run})
}

func seconds(val float64) time.Duration { return time.Duration(val * float64(time.Second)) }

// simulate runs a scenario under a policy and returns its outcome.
func simulate(sc scenario, pol policy) *outcome {
	si := &sim{sc: sc, pol: pol, rnd: rand.New(rand.NewPCG(sc.seed, 7))}
	limit := 32
	if pol.fifo {
		limit = unboundedQueue
	}
	for _, st := range sc.sites {
		for range st.upstreams {
			id := core.UpstreamID(fmt.Sprintf("%s-%d", st.zone, len(si.ups)))
			si.ups = append(si.ups, &upstream{
				host: core.Host{ID: id, Zone: st.zone, Region: st.region},
				bo:   execute.NewSlotQueue(sc.slots, limit), jobs: map[*job]bool{},
			})
		}
	}
	for _, st := range sc.sites {
		en := &entry{
			site: st, con: admission.New(admission.Capacity{}), remote: admission.New(admission.Capacity{}), pk: placement.New(st.zone, st.region), budget: retry.NewBudget(),
			views: make([]core.Upstream, len(si.ups)), waiting: map[*request]*admission.Ticket{},
		}
		si.entries = append(si.entries, en)
		si.reportLoad(en)
	}
	for ix := range sc.tenants {
		si.arrive(&sc.tenants[ix], rand.New(rand.NewPCG(sc.seed, uint64(100+ix))))
	}
	si.scheduleFaults()
	for len(si.queue) > 0 && si.now < 2*sc.length {
		ev := heap.Pop(&si.queue).(event)
		si.now = ev.at
		ev.run()
	}
	return newOutcome(si)
}

// reportLoad delivers the agents' load reports to an entry, and schedules the next
// reports.
func (si *sim) reportLoad(en *entry) {
	for ix, up := range si.ups {
		en.updateView(si.clock(), ix, up)
	}
	if si.now < 2*si.sc.length {
		si.after(si.sc.reportInterval, func() { si.reportLoad(en) })
	}
}

func (en *entry) updateView(now time.Time, ix int, up *upstream) {
	vi := &en.views[ix]
	vi.Host, vi.Connected, vi.Load = up.host, !up.down, up.bo.Load()
	vi.ReportedAt, vi.OwnAtReport = now, vi.OwnAttempts
}

func (si *sim) scheduleFaults() {
	if si.sc.halfLost || si.sc.partitioned {
		si.after(si.sc.length/2, func() {
			for ix, up := range si.ups {
				if si.sc.halfLost && ix%2 == 0 || si.sc.partitioned && up.host.Region != si.sc.sites[0].region {
					si.kill(up)
				}
			}
		})
	}
}

func (si *sim) kill(up *upstream) {
	up.down = true
	lost := make([]*job, 0, len(up.jobs))
	for jo := range up.jobs {
		lost = append(lost, jo)
	}
	slices.SortFunc(lost, func(aa, bb *job) int { return int(aa.rq.arrived - bb.rq.arrived) })
	for _, jo := range lost {
		jo.fail(core.OutcomeUnknown("upstream lost"))
	}
	for _, en := range si.entries {
		for ix := range en.views {
			if en.views[ix].Host.ID == up.host.ID {
				en.views[ix].Connected = false // The entry detects the lost link.
			}
		}
	}
}

// arrive schedules the next request of a tenant, at an entry chosen in proportion
// to the upstreams in its zone. Each tenant has its own random source, so that all
// policies get the same load.
func (si *sim) arrive(te *tenant, rnd *rand.Rand) {
	rate := te.rate
	if part := float64(si.now) / float64(si.sc.length); si.sc.burst > 0 && part > 0.45 && part < 0.55 {
		rate *= si.sc.burst
	}
	si.after(seconds(rnd.ExpFloat64()/rate), func() {
		if si.now >= si.sc.length {
			return
		}
		at := rnd.IntN(len(si.ups))
		ix := slices.IndexFunc(si.sc.sites, func(st site) bool { return st.zone == si.ups[at].host.Zone })
		rq := &request{tenant: te, arrived: si.now, output: math.Ceil(rnd.ExpFloat64() * te.output)}
		si.requests = append(si.requests, rq)
		si.offer(si.entries[ix], rq)
		si.arrive(te, rnd)
	})
}

func (rq *request) service() time.Duration {
	return seconds(float64(rq.tenant.prompt)*secondsPerPromptToken + rq.output*secondsPerToken)
}

func (si *sim) setState(rq *request, rs requestState) {
	if rq.state != pending {
		return
	}
	rq.state, rq.ended = rs, si.now
}

func (si *sim) offer(en *entry, rq *request) {
	at := retry.NewAttempts(en.budget)
	jo := &job{si: si, en: en, rq: rq, tries: &at}
	si.after(rq.tenant.deadline, func() { si.expire(jo) })
	if si.pol.fifo {
		jo.startAttempt()
		return
	}
	si.startWaiting(en)
	wo := admission.Work{
		Workspace: rq.tenant.id, Share: rq.tenant.share, Prompt: core.Tokens(rq.tenant.prompt),
		Deadline: rq.tenant.deadline, Jitter: si.rnd.Float64(),
	}
	body := 4 * rq.tenant.prompt
	jo.con = en.con
	ti, start, fl := en.con.Offer(si.clock(), wo)
	if fl != nil || !start && en.con.WorthCrossRegion(ti, body) {
		wo.NoWait = true
		en.remote.Resize(admission.Capacity(en.pk.CrossRegionCapacity(si.clock(), en.views)))
		if remote, ok, _ := en.remote.Offer(si.clock(), wo); ok {
			if fl == nil {
				en.con.Cancel(ti)
			}
			ti, start, fl, jo.con = remote, true, nil, en.remote
		}
	}
	if fl != nil {
		si.setState(rq, refused)
		return
	}
	ti.Waiter, jo.ti = jo, ti
	if start {
		jo.startAttempt()
		return
	}
	en.waiting[rq] = ti
}

// startWaiting starts all queued requests that an entry can start now.
func (si *sim) startWaiting(en *entry) {
	en.con.Resize(admission.Capacity(en.pk.Capacity(en.views, si.entriesInRegion(en))))
	for {
		ti, start := en.con.Next(si.clock())
		if ti == nil {
			return
		}
		jo := ti.Waiter.(*job)
		delete(en.waiting, jo.rq)
		if !start {
			en.con.Discard(ti)
			si.setState(jo.rq, refused)
			continue
		}
		jo.startAttempt()
	}
}

func (si *sim) entriesInRegion(en *entry) int {
	count := 0
	for _, st := range si.sc.sites {
		if st.region == en.site.region {
			count++
		}
	}
	return count
}

// expire simulates a caller that disconnects at its deadline.
func (si *sim) expire(jo *job) {
	if jo.rq.state != pending {
		return
	}
	si.setState(jo.rq, expired)
	if ti := jo.en.waiting[jo.rq]; ti != nil {
		delete(jo.en.waiting, jo.rq)
		jo.en.con.Cancel(ti)
		return
	}
	jo.done = true
	if jo.up != nil && !jo.gotFirstToken {
		jo.en.pk.RecordFailure(si.clock(), jo.up.host.ID)
	}
	jo.releaseSlot()
	jo.releaseAdmission(nil)
}
