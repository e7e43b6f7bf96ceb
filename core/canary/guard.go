package canary

import (
	"sync"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/loadlimit"
	"skylarkstand/core/mechanism"
)

// Guard controls the roll-outs of all services. It is safe for concurrent use.
type Guard struct {
	off      mechanism.Disabled
	self     core.ProcessID
	gap      time.Duration
	exposure exposureLimit
	schedule schedule
	// entries counts the entries that share the slack of the exposure limit.
	entries func() int

	mu        sync.Mutex
	rollouts  map[core.ServiceID]*rollout
	sessions  map[sessionKey]pin
	lastSweep time.Time
	// stable is the old version of a service: the one in use beside a version under roll-out.
	stable map[core.ServiceID]core.VersionID
	// completed is the version of the last completed roll-out of a service. Unlike stable it is never a guess.
	completed map[core.ServiceID]core.VersionID
	// withdrawn are the versions that were rolled back and not ordered again since.
	withdrawn map[versionKey]bool
}

type versionKey struct {
	service core.ServiceID
	version core.VersionID
}

// Option configures a Guard.
type Option func(*Guard)

// Self sets the name of this process in its reports.
func Self(id core.ProcessID) Option { return func(gu *Guard) { gu.self = id } }

// SessionGap sets how long after its last request a session counts as active.
func SessionGap(du time.Duration) Option { return func(gu *Guard) { gu.gap = du } }

// Without disables mechanisms.
func Without(off mechanism.Disabled) Option { return func(gu *Guard) { gu.off = off } }

// Exposure sets the fraction of a service's requests that a bad version may receive during a
// roll-out.
func Exposure(share float64) Option {
	return func(gu *Guard) { gu.exposure.share, gu.schedule = share, newSchedule(share) }
}

// ExposureSlack sets how many requests a bad version may receive beyond the share, from all entries
// together.
func ExposureSlack(requests int) Option {
	return func(gu *Guard) { gu.exposure.slack = float64(requests) }
}

// Entries sets how many entries share the service's requests; without it, this entry is the only one.
func Entries(count func() int) Option { return func(gu *Guard) { gu.entries = count } }

const (
	// defaultSessionGap (see [SessionGap]) and defaultExposure (see [Exposure]) are the requirements
	// of the two known deployments.
	defaultSessionGap = 5 * time.Second
	defaultExposure   = 0.15
	// capFactor and capSlack limit what an entry sends to the new version before the last step, relative
	// to its own requests and the planned share.
	capFactor = 1.3
	capSlack  = 2
	// settleTime is the time after an order in which no session is assigned to the new version:
	// three rounds of collecting the siblings' reports. maxSettleFraction limits it as a fraction
	// of the duration. The first step loses this time; newSchedule compensates for it.
	settleTime        = 3 * collectInterval
	maxSettleFraction = 0.125
)

// New returns a guard without roll-outs.
func New(opts ...Option) *Guard {
	gu := &Guard{
		gap: defaultSessionGap, entries: func() int { return 1 },
		rollouts: map[core.ServiceID]*rollout{}, sessions: map[sessionKey]pin{},
		stable: map[core.ServiceID]core.VersionID{}, completed: map[core.ServiceID]core.VersionID{}, withdrawn: map[versionKey]bool{},
	}
	Exposure(defaultExposure)(gu)
	for _, opt := range opts {
		opt(gu)
	}
	return gu
}

// rollout is an order and what this entry has recorded about it.
type rollout struct {
	order     Order
	status    Status
	step      Step
	startedAt time.Time
	steppedAt time.Time
	// inPlace is set if the version was the completed one already when it was ordered.
	inPlace bool
	// joinedLate is set if the siblings have known the order for longer: this entry may have started since, and
	// forgotten what it sent.
	joinedLate bool
	// own counts this entry's requests, and siblings those of the others, as of the last reports.
	own, siblings requestCount
	// reportedAt is when siblings last reported.
	reportedAt time.Time
	// rate is the rate of this entry's requests.
	rate     requestRate
	evidence evidence
	trial    trial
	// siblingTrials is the state of the siblings' trials, as of the last reports.
	siblingTrials trialCount
	// siblingSpeed is the siblings' evidence on the version's speed, as of the last reports.
	siblingSpeed Tallies
	// reports are the latest reports of each process. A round of reports is of a part of the siblings only, and those
	// that have ended since had evidence too.
	reports map[core.ProcessID]Report
	// remoteOldSessions are the sessions within the first step's share that continue on the old
	// version at other entries, and when each was last reported.
	remoteOldSessions map[core.SessionID]time.Time
	// suspicion is the evidence of all entries together, as of the last reports.
	suspicion suspicion
	// load estimates the load at which the upstreams of the version fail; loadChanged is set until
	// NewLoadLimits has returned a change.
	load        loadlimit.Estimator
	loadChanged bool
	// heldSince is when the evidence of all entries last gave no reason to hold the roll-out.
	heldSince time.Time
	// askedForLimit is set once a sibling has reported its limit after the completion.
	askedForLimit bool
	// badReason is why this entry considers the version bad; empty if it does not. reported is set
	// once NewVerdicts has returned it.
	badReason string
	reported  bool
}

func (gu *Guard) rollout(sv core.ServiceID) *rollout {
	ro := gu.rollouts[sv]
	if ro == nil {
		ro = &rollout{evidence: newEvidence(), remoteOldSessions: map[core.SessionID]time.Time{}}
		gu.rollouts[sv] = ro
	}
	return ro
}

// Order applies an order. An order that is already known, or older, changes nothing.
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
	ro.inPlace = gu.completed[or.Service] == or.Target
	delete(gu.withdrawn, versionKey{or.Service, or.Target})
	ro.order, ro.startedAt, ro.steppedAt, ro.heldSince, ro.joinedLate = or, now, now, now, false
	ro.own, ro.siblings = requestCount{}, requestCount{}
	ro.load, ro.loadChanged, ro.askedForLimit = loadlimit.Estimator{}, false, false
	ro.badReason, ro.reported, ro.suspicion = "", false, suspicion{}
	ro.evidence.reset()
	ro.trial, ro.siblingTrials, ro.siblingSpeed = trial{}, trialCount{}, Tallies{}
	ro.reports = nil
	clear(ro.remoteOldSessions)
}

// Status applies a status from the store.
func (gu *Guard) Status(st Status) {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	ro := gu.rollout(st.Service)
	if st.Revision <= ro.status.Revision {
		return
	}
	ro.status = st
	gu.applyFinal(ro, st)
}

// Step applies a step from the store.
func (gu *Guard) Step(now time.Time, st Step) {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	ro := gu.rollout(st.Service)
	if st.Revision <= ro.step.Revision {
		return
	}
	if st.Order != ro.step.Order || st.Step != ro.step.Step {
		ro.steppedAt = now
	}
	ro.step = st
}

// state returns the state of the current order's roll-out, or "" before its first status.
func (ro *rollout) state() State {
	if ro.order.Revision == 0 || ro.status.Revision < ro.order.Revision || ro.status.Target != ro.order.Target {
		return ""
	}
	return ro.status.State
}

// rejected reports whether the version receives no work. A verdict of this entry counts until the
// store reports the end of the roll-out, which is authoritative: if another entry has already
// written that the roll-out is completed, the old version's upstreams stop, and this entry would
// have no upstream left for its callers.
func (ro *rollout) rejected() bool {
	return ro.state() == RolledBack || ro.badReason != "" && ro.state() != Completed
}

// duration is the duration of the current order.
func (ro *rollout) duration() time.Duration { return max(ro.order.Duration, time.Second) }

// currentStep returns the step of the current order.
func (ro *rollout) currentStep() int {
	if ro.step.Order != ro.order.Revision {
		return 0
	}
	return min(max(ro.step.Step, 0), lastStep)
}

// Candidates are the upstreams of a service among which a version is chosen.
type Candidates struct {
	// Ready are all ready upstreams. They determine which version is in use.
	Ready []core.Host
	// Eligible are the ready upstreams that may receive the request.
	Eligible []core.Host
}

// Unrestricted returns the candidates of a request that any upstream may serve.
func Unrestricted(hosts []core.Host) Candidates { return Candidates{Ready: hosts, Eligible: hosts} }

// Choose narrows the eligible upstreams of a service to those of the version that the request may
// run on. Draw, from 0 to 1, selects the version for requests without a session. Fresh reports that
// the entry's view of the store is recent; if it is not, no new session is assigned to a version
// under roll-out, since a verdict against it may not have arrived yet.
func (gu *Guard) Choose(now time.Time, sv core.ServiceID, se core.SessionID, draw float64, ca Candidates, fresh bool) []core.Host {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	ro := gu.rollouts[sv]
	if ro == nil || ro.order.Revision == 0 {
		return gu.stableHosts(sv, ca)
	}
	target := ro.order.Target
	ro.own.all++
	ro.rate.add(now)
	ups := withVersion(ca.Eligible, target)
	if ro.state() == Completed || ro.inPlace && !ro.rejected() {
		// The target stays the version in use even while its upstreams are absent.
		return firstNonEmpty(ups, gu.withoutWithdrawn(sv, ca.Eligible))
	}
	old := gu.stableHosts(sv, Candidates{withoutVersion(ca.Ready, target), withoutVersion(ca.Eligible, target)})
	if ro.rejected() {
		return old
	}
	if len(ups) == 0 {
		return old
	}
	if !gu.routeToTarget(now, ro, sv, se, draw, fresh) {
		return old
	}
	return ups
}

// routeToTarget reports whether a request goes to the version under roll-out.
func (gu *Guard) routeToTarget(now time.Time, ro *rollout, sv core.ServiceID, se core.SessionID, draw float64, fresh bool) bool {
	current := ro.currentStep()
	if se != "" {
		draw = ro.sessionFraction(se)
		pi, active := gu.sessions[sessionKey{sv, se}]
		active = active && pi.active(now, gu.gap)
		if active && pi.version == ro.order.Target {
			return true
		}
		if current == 0 && (active || gu.mayBeActiveElsewhere(now, ro, se)) {
			return false
		}
	}
	share := gu.share(ro)
	if se == "" {
		share += gu.slackShare(now, ro)
	}
	return draw < share && fresh && gu.mayExpose(now, ro)
}

// Verdict is a version that an entry has found bad.
type Verdict struct {
	Service core.ServiceID
	Version core.VersionID
	Reason  string
}

// NewVerdicts returns the versions that this entry has found bad since the last call.
func (gu *Guard) NewVerdicts() []Verdict {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	var out []Verdict
	for sv, ro := range gu.rollouts {
		if ro.badReason != "" && !ro.reported {
			ro.reported = true
			out = append(out, Verdict{sv, ro.order.Target, ro.badReason})
		}
	}
	return out
}

// Shares returns the fraction of new sessions that a version under roll-out may receive, by
// service: 1 once it is completed, 0 when it is bad.
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
			out[sv] = gu.share(ro)
		}
	}
	return out
}
