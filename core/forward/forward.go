package forward

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/balance"
	"skylarkstand/core/canary"
	"skylarkstand/core/cooldown"
	"skylarkstand/core/escalation"
	"skylarkstand/core/fleet"
	"skylarkstand/core/mechanism"
	"skylarkstand/core/ratelimit"
	"skylarkstand/core/retry"
	"skylarkstand/core/route"
	"skylarkstand/core/sample"
	"skylarkstand/core/share"
	"skylarkstand/core/shed"
	"skylarkstand/core/suspect"
	"skylarkstand/core/warmup"
)

// Components are the parts of the entry by which a Forwarder makes its decisions.
type Components struct {
	InForce *route.InForce
	Fleet   *fleet.Fleet
	Canary  *canary.Guard
	// Warmup limits the requests to cold upstreams.
	Warmup *warmup.Tracker
	// RateLimits tracks the rate limits of upstreams.
	RateLimits *ratelimit.Tracker
	// Cooldowns tracks the upstreams that accept no request of this entry before their Retry-After.
	Cooldowns *cooldown.Tracker
	// Suspects finds the requests that crash upstreams.
	Suspects *suspect.Detector
	// ConfigAge returns the time since the entry's configuration was last confirmed to be the
	// newest.
	ConfigAge func() time.Duration
	// NewRetryWindow returns a new retry window for a service.
	NewRetryWindow func() *retry.Window
	// BorrowRetry asks sibling entries for a retry at a service. It may be nil.
	BorrowRetry func(core.ServiceID) bool
	// Shares divides what all entries share. It may be nil.
	Shares *share.Divider
	// Stopping returns how long the process still serves. It reports false until a planned stop
	// has lasted long enough to be noticed outside. Nil means that the process never stops.
	Stopping func() (left time.Duration, stopping bool)
	// Permits grants the permits of confined requests. Nil means that none can be claimed.
	Permits *suspect.Recorder
	// Off holds the mechanisms that are disabled.
	Off mechanism.Disabled
}

// Forwarder routes exchanges to upstreams. It is safe for concurrent use.
type Forwarder struct {
	deps       core.Deps
	client     core.UpstreamClient
	components Components
	draw       func() float64
	// started is when the process began to run.
	started time.Time

	mu           sync.Mutex
	picker       *balance.Picker
	retryWindows map[core.ServiceID]*retry.Window
	// undecided counts the requests at the smallest model of a cascade that may still escalate.
	undecided          map[core.ServiceID]int
	escalationPolicies map[trafficClass]*escalation.Policy
	admissionGates     map[trafficClass]*shed.Gate
	meters             meters
	// newDraining are the draining upstreams that were not announced yet.
	newDraining []balance.Incarnation
	// sentSignal wakes the goroutine that announces sent work to sibling entries.
	sentSignal chan struct{}
	// attemptEnded is closed and replaced at the end of each attempt.
	attemptEnded chan struct{}
	buffers      bufferBudget
	// bodies is what the answers of each route were so far.
	bodies map[string]bodyHistory
}

// Option changes a Forwarder at construction.
type Option func(*Forwarder)

// RandomSource sets the source of random numbers in [0, 1) for choices of upstreams and versions.
// It is called with a lock held.
func RandomSource(fn func() float64) Option { return func(fw *Forwarder) { fw.draw = fn } }

// New returns a Forwarder.
func New(deps core.Deps, client core.UpstreamClient, co Components, opts ...Option) *Forwarder {
	fw := &Forwarder{
		deps: deps, client: client, components: co, draw: rand.Float64, started: time.Now(),
		picker: balance.New(deps.Zone, deps.Region, balance.Without(co.Off)), retryWindows: map[core.ServiceID]*retry.Window{}, undecided: map[core.ServiceID]int{},
		escalationPolicies: map[trafficClass]*escalation.Policy{}, admissionGates: map[trafficClass]*shed.Gate{}, sentSignal: make(chan struct{}, 1), attemptEnded: make(chan struct{}),
		meters: newMeters(deps.Metrics), bodies: map[string]bodyHistory{},
	}
	fw.buffers.left.Store(defaultBuffers)
	for _, opt := range opts {
		opt(fw)
	}
	return fw
}

// staleConfigAge is the age from which a configuration may lack a key or route that the store has
// already. It is well above the interval between two confirmations by a store without changes.
const staleConfigAge = 7 * time.Second

// finalRefusalAge is the age of the configuration up to which a refusal by it is final. An accepted configuration
// is in force within that time, so that a newer one cannot allow what this one refuses.
const finalRefusalAge = 3 * time.Second

// noConfigRetryAfter is the Retry-After of a process without any configuration. Only the store,
// or a sibling entry that receives from it, can supply one, and outages of the store last for
// seconds. A caller that retries sooner uses up its retries.
const noConfigRetryAfter = 2 * time.Second

// shortRetryAfter is the Retry-After for a caller that another entry, with newer state, can
// probably serve right now.
const shortRetryAfter = 500 * time.Millisecond

// Forward runs an exchange and returns its answer once the first chunk of it is available.
// Errors are *core.Failure.
func (fw *Forwarder) Forward(ctx context.Context, ex *core.Exchange) (*Answer, error) {
	jb, fl := fw.admit(ctx, ex)
	if fl != nil {
		fw.logRefused(ex, fl)
		return nil, fl
	}
	ans, fl := jb.run(ctx)
	if fl != nil {
		jb.end()
		jb.log(fl)
		return nil, fl
	}
	return ans, nil
}

// admit resolves the route, the workspace and the service of an exchange.
func (fw *Forwarder) admit(ctx context.Context, ex *core.Exchange) (*job, *core.Failure) {
	tb := fw.awaitTable(ctx)
	if tb == nil {
		return nil, core.Refuse(core.CodeNoConfig, noConfigRetryAfter, "no configuration is known yet")
	}
	rt := tb.Find(ex.Host, ex.Path)
	if rt == nil {
		return nil, fw.notConfiguredFailure(core.CodeUnknownRoute, "no route leads there")
	}
	jb := &job{fw: fw, ex: ex, tb: tb, rt: rt, priority: rt.Priority}
	if !rt.Public && tb.RequiresKey() {
		ws := tb.Workspace(ex.Key)
		if ws == nil {
			return nil, fw.notConfiguredFailure(core.CodeUnauthorized, "the key belongs to no workspace")
		}
		jb.ws, jb.workspace = ws, ws.ID
		if ws.HasPriority {
			jb.priority = ws.Priority
		}
	}
	jb.service = rt.ChooseService(fw.splitPoint(ex))
	jb.traits = suspect.TraitsOfExchange(jb.workspace, jb.service, ex)
	if fl := jb.checkQuarantine(); fl != nil {
		return nil, fl
	}
	if fl := fw.checkStopping(rt); fl != nil {
		return nil, fl
	}
	if fl := jb.checkServable(); fl != nil {
		return nil, fl
	}
	if fl := fw.checkOverload(jb); fl != nil {
		return nil, fl
	}
	if !rt.Retry.Retryable() {
		// Work that may run only once cannot be escalated, so the largest model runs it.
		jb.stage = max(len(rt.Cascade)-1, 0)
	}
	return jb, nil
}

// RestartTime is the time from the end of a process to the readiness of its replacement.
const RestartTime = time.Second

// checkStopping refuses requests that might not finish before this process stops. Callers reach
// a stopping process only when no other entry is available, as when all entries are restarted
// one after the other. Requests that certainly finish in time are served; the others get a
// Retry-After, which a closed listener could not send.
func (fw *Forwarder) checkStopping(rt *route.Route) *core.Failure {
	if fw.components.Stopping == nil {
		return nil
	}
	left, stopping := fw.components.Stopping()
	if !stopping || !rt.Stream && rt.Timeout > 0 && rt.Timeout < left {
		return nil
	}
	return core.Refuse(core.CodeLeaving, max(left, 0)+RestartTime, "the process is stopping")
}

// checkOverload refuses requests that engines would start too late. Plain services reject excess
// requests themselves.
func (fw *Forwarder) checkOverload(jb *job) *core.Failure {
	sv := jb.tb.Service(jb.service)
	if sv == nil || jb.ex.Prompt == 0 {
		return nil
	}
	now := time.Now()
	fw.mu.Lock()
	hosts := jb.upstreams(now)
	wait := fw.picker.MinWait(now, hosts)
	retryAfter, ok := fw.admissionGate(jb.trafficClass()).Admit(now, shed.Request{
		Wait: wait, Target: sv.TargetLatency(), Workspace: jb.workspace, Urgent: jb.priority <= sv.MinPriority(), Draw: fw.draw(),
	})
	fw.mu.Unlock()
	if ok {
		return nil
	}
	return core.Refuse(core.CodeOverloaded, retryAfter, "the %d upstreams are busy for %s at least", len(hosts), wait.Round(time.Millisecond))
}

// admissionGate returns the admission control of a traffic class. The caller holds the lock.
func (fw *Forwarder) admissionGate(tc trafficClass) *shed.Gate {
	return getOrCreate(fw.admissionGates, tc, func() *shed.Gate { return shed.New(shed.Without(fw.components.Off)) })
}

// notConfiguredFailure is the failure for a route or key that the configuration in force does not
// contain. While a newer configuration may still be on its way here, the refusal is not final: a
// caller with a new key would otherwise give up for good.
func (fw *Forwarder) notConfiguredFailure(code core.Code, text string) *core.Failure {
	if age := fw.components.ConfigAge(); age > finalRefusalAge {
		return core.Refuse(core.CodeStaleConfig, shortRetryAfter, "%s, by a configuration that was confirmed %s ago", text, age.Round(time.Millisecond))
	}
	return core.Refuse(code, 0, "%s", text)
}

// splitPoint returns a number from 0 to 1, the same for all requests of a session, so that a
// route that is split between services keeps sessions together.
func (fw *Forwarder) splitPoint(ex *core.Exchange) float64 {
	if ex.Session != "" {
		return sample.Fraction(sample.Split, ex.Session)
	}
	return rand.Float64()
}

func (fw *Forwarder) configVersion() route.Version {
	if tb := fw.components.InForce.Current(); tb != nil {
		return tb.Version
	}
	return 0
}

// retryWindow returns the retry budget of a service. The caller holds the lock.
func (fw *Forwarder) retryWindow(sv core.ServiceID) *retry.Window {
	return getOrCreate(fw.retryWindows, sv, fw.components.NewRetryWindow)
}

// escalationPolicy returns the choice of models for a traffic class. The caller holds the lock.
func (fw *Forwarder) escalationPolicy(tc trafficClass) *escalation.Policy {
	return getOrCreate(fw.escalationPolicies, tc, func() *escalation.Policy { return escalation.New(escalation.Without(fw.components.Off)) })
}

// getOrCreate returns the value under a key, and creates it at its first use.
func getOrCreate[K comparable, V any](values map[K]*V, key K, create func() *V) *V {
	if values[key] == nil {
		values[key] = create()
	}
	return values[key]
}

// Forget deletes the state of an upstream that is gone.
func (fw *Forwarder) Forget(id core.UpstreamID) {
	fw.components.RateLimits.Forget(id)
	fw.components.Cooldowns.Forget(id)
	fw.mu.Lock()
	defer fw.mu.Unlock()
	fw.picker.Forget(id)
}

// RecordCached records the prompts in an upstream's prefix cache. It implements prefixsync's Learner.
func (fw *Forwarder) RecordCached(ho core.Host, held []core.CachedPart) {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	fw.picker.RecordCached(time.Now(), ho, held)
}

// RetriesLeft returns the retries left in this entry's budget, by service.
func (fw *Forwarder) RetriesLeft() map[core.ServiceID]float64 {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	out := make(map[core.ServiceID]float64, len(fw.retryWindows))
	for sv, wi := range fw.retryWindows {
		out[sv] = wi.Left(time.Now(), retry.Retry)
	}
	return out
}

// Avoided counts the upstreams of a service that this entry avoids.
func (fw *Forwarder) Avoided(sv core.ServiceID) int {
	now, hosts := fw.serving(sv)
	fw.mu.Lock()
	defer fw.mu.Unlock()
	return fw.picker.CountAvoided(now, hosts)
}

// RateLimited counts the upstreams of a service that have a rate limit.
func (fw *Forwarder) RateLimited(sv core.ServiceID) int {
	return fw.components.RateLimits.Count(fw.serving(sv))
}

// Cooling counts the upstreams of a service that are in a cooldown.
func (fw *Forwarder) Cooling(sv core.ServiceID) int {
	now, hosts := fw.serving(sv)
	return len(hosts) - len(fw.components.Cooldowns.Available(now, hosts))
}

// serving lists the upstreams of a service in all regions, for metrics.
func (fw *Forwarder) serving(sv core.ServiceID) (time.Time, []core.Host) {
	now := time.Now()
	return now, fw.components.Fleet.Serving(sv, core.Regions{})
}
