package canary

import (
	"sync"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/mechanism"
)

// Guard decides on the roll-outs of all services. It is safe for concurrent
// use.
type Guard struct {
	off   mechanism.Off
	gap   time.Duration
	steps [3]step

	mu       sync.Mutex
	rollouts map[core.ServiceID]*rollout
	sessions map[sessionKey]pin
	swept    time.Time
	// flying counts this entry's attempts now.
	flying map[versionKey]int
	// stable is the version in use of a service, beside one under roll-out.
	stable map[core.ServiceID]core.VersionID
	// withdrawn are the versions that were rolled back and not ordered again.
	withdrawn map[versionKey]bool
}

type versionKey struct {
	service core.ServiceID
	version core.VersionID
}

// Option changes a Guard at construction.
type Option func(*Guard)

// SessionGap sets how long after its last request a session counts as under
// way.
func SessionGap(du time.Duration) Option { return func(gu *Guard) { gu.gap = du } }

// Without switches mechanisms off.
func Without(off mechanism.Off) Option { return func(gu *Guard) { gu.off = off } }

// Exposure sets the part of a service's requests, in the time of a roll-out,
// that a bad version may get.
func Exposure(share float64) Option { return func(gu *Guard) { gu.steps = plan(share) } }

const (
	// defaultGap and defaultExposure are the users' own figures for both
	// deployments.
	defaultGap      = 5 * time.Second
	defaultExposure = 0.15
	// capFactor and capSlack bound what an entry sends to the new version in
	// the first step, by its own requests and the step's share.
	capFactor = 1.3
	capSlack  = 2
	// settle is the time after an order in which no session joins the version, and
	// settleMost its bound as a part of the order's time: three rounds of asking the
	// others. The first step loses that time, which plan makes up for.
	settle     = 3 * poolEvery
	settleMost = 0.125
)

// New returns a guard.
func New(opts ...Option) *Guard {
	gu := &Guard{
		gap: defaultGap, steps: plan(defaultExposure), rollouts: map[core.ServiceID]*rollout{}, sessions: map[sessionKey]pin{}, flying: map[versionKey]int{},
		stable: map[core.ServiceID]core.VersionID{}, withdrawn: map[versionKey]bool{},
	}
	for _, opt := range opts {
		opt(gu)
	}
	return gu
}

// rollout is one order with what this entry knows of it.
type rollout struct {
	order   Order
	status  Status
	step    Step
	began   time.Time
	stepped time.Time
	// all and sent count this entry's requests for the service, and those to
	// the new version, since the order.
	all, sent int
	evidence  evidence
	// settled are the sessions of the first step that go on with the old version
	// at other entries, and when that was told last.
	settled map[core.SessionID]time.Time
	// doubt is the evidence of all entries together, as last heard.
	doubt float64
	// bad is why this entry holds the version for bad; empty is not. Told is set
	// once that was handed out by Held.
	bad  string
	told bool
}

func (gu *Guard) rollout(sv core.ServiceID) *rollout {
	ro := gu.rollouts[sv]
	if ro == nil {
		ro = &rollout{evidence: newEvidence(), settled: map[core.SessionID]time.Time{}}
		gu.rollouts[sv] = ro
	}
	return ro
}

// Order takes in an order. One that is known, or older, changes nothing.
func (gu *Guard) Order(now time.Time, or Order) {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	ro := gu.rollout(or.Service)
	if or.Revision <= ro.order.Revision {
		return
	}
	if ro.order.Revision != 0 && ro.rejected() {
		gu.withdrawn[versionKey{or.Service, ro.order.Target}] = true
	}
	delete(gu.withdrawn, versionKey{or.Service, or.Target})
	ro.order, ro.began, ro.stepped = or, now, now
	ro.all, ro.sent, ro.bad, ro.told, ro.doubt = 0, 0, "", false, 0
	ro.evidence.restart()
	clear(ro.settled)
}

// Status takes in a status from the store.
func (gu *Guard) Status(st Status) {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	ro := gu.rollout(st.Service)
	if st.Revision <= ro.status.Revision {
		return
	}
	ro.status = st
	gu.ended(ro, st)
}

// Step takes in a step from the store.
func (gu *Guard) Step(now time.Time, st Step) {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	ro := gu.rollout(st.Service)
	if st.Revision > ro.step.Revision {
		ro.step, ro.stepped = st, now
	}
}

// state returns the status of the current order; the empty one before any.
func (ro *rollout) state() State {
	if ro.order.Revision == 0 || ro.status.Revision < ro.order.Revision || ro.status.Target != ro.order.Target {
		return ""
	}
	return ro.status.State
}

// rejected reports whether the version gets no work. A verdict of this entry
// counts until the store tells of the roll-out's end, which holds for all: where
// another entry wrote first that it is completed, the old version's upstreams stop,
// and this entry's callers would find none.
func (ro *rollout) rejected() bool {
	return ro.state() == RolledBack || ro.bad != "" && ro.state() != Completed
}

// lastStep moves everything.
const lastStep = 2

// at returns the step of the current order.
func (ro *rollout) at() int {
	if ro.step.Order != ro.order.Revision {
		return 0
	}
	return min(max(ro.step.Step, 0), lastStep)
}

// Candidates are the upstreams of a service that a version is chosen from.
type Candidates struct {
	// Ready are all that are ready. They tell which version is in use.
	Ready []core.Host
	// Eligible are those of them that may get the request.
	Eligible []core.Host
}

// Unrestricted returns the candidates of a request that may go to any upstream.
func Unrestricted(hosts []core.Host) Candidates { return Candidates{Ready: hosts, Eligible: hosts} }

// Choose narrows the eligible upstreams of a service to those whose version a
// request may run on. Draw, from 0 to 1, places requests without a session. Fresh says
// that the entry's news are recent; without, no new session is given to a
// version under roll-out, since the word that it is bad may not have arrived.
func (gu *Guard) Choose(now time.Time, sv core.ServiceID, se core.SessionID, draw float64, ca Candidates, fresh bool) []core.Host {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	ro := gu.rollouts[sv]
	if ro == nil || ro.order.Revision == 0 {
		return gu.known(sv, ca)
	}
	target := ro.order.Target
	ro.all++
	ups := only(ca.Eligible, target)
	if ro.state() == Completed {
		// The version in use stays the target, also while its upstreams are away.
		return prefer(ups, gu.allowed(sv, ca.Eligible))
	}
	old := gu.known(sv, Candidates{except(ca.Ready, target), except(ca.Eligible, target)})
	if ro.rejected() {
		return old
	}
	if len(ups) == 0 {
		return old
	}
	if !gu.joins(now, ro, sv, se, draw, fresh) {
		return old
	}
	return ups
}

// joins reports whether a request goes to the version under roll-out.
func (gu *Guard) joins(now time.Time, ro *rollout, sv core.ServiceID, se core.SessionID, draw float64, fresh bool) bool {
	at := ro.at()
	if se != "" {
		draw = Place(se)
		pi, known := gu.sessions[sessionKey{sv, se}]
		known = known && pi.underWay(now, gu.gap)
		if known && pi.version == ro.order.Target {
			return true
		}
		if at == 0 && (known || gu.elsewhere(now, ro, se)) {
			return false
		}
	}
	share := gu.steps[at].share
	if draw >= share || !fresh {
		return false
	}
	return at > 0 || float64(ro.sent) < capFactor*share*float64(ro.all)+capSlack
}

// Held is a version that an entry has come to hold for bad.
type Held struct {
	Service core.ServiceID
	Version core.VersionID
	Why     string
}

// Held returns the versions that this entry holds for bad since the last call.
func (gu *Guard) Held() []Held {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	var out []Held
	for sv, ro := range gu.rollouts {
		if ro.bad != "" && !ro.told {
			ro.told = true
			out = append(out, Held{sv, ro.order.Target, ro.bad})
		}
	}
	return out
}

// Shares returns the part of the new sessions that a version under roll-out may
// get, by service; 1 once it is completed, 0 when it is bad.
func (gu *Guard) Shares() map[core.ServiceID]float64 {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	out := map[core.ServiceID]float64{}
	for sv, ro := range gu.rollouts {
		switch {
		case ro.order.Revision == 0:
		case ro.state() == Completed:
			out[sv] = 1
		case ro.rejected():
			out[sv] = 0
		default:
			out[sv] = gu.steps[ro.at()].share
		}
	}
	return out
}

// old counts this entry's attempts at versions that a roll-out replaces.
func (gu *Guard) old(ro *rollout) int {
	sum := 0
	for key, n := range gu.flying {
		if key.service == ro.order.Service && key.version != ro.order.Target {
			sum += n
		}
	}
	return sum
}
