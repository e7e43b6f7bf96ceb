package forward

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/balance"
	"skylarkstand/core/canary"
	"skylarkstand/core/fleet"
	"skylarkstand/core/mechanism"
	"skylarkstand/core/retry"
	"skylarkstand/core/route"
	"skylarkstand/core/shed"
	"skylarkstand/core/tier"
	"skylarkstand/core/warmup"
)

// Parts are what a forwarder decides by.
type Parts struct {
	InForce *route.InForce
	Fleet   *fleet.Fleet
	Canary  *canary.Guard
	// Warmup limits what cold upstreams get.
	Warmup *warmup.Tracker
	// Age tells how long ago the entry's news were known to be the newest.
	Age func() time.Duration
	// Repeats returns the window of repeats for a service.
	Repeats func() *retry.Window
	// Stopping returns how long the process still serves, once a planned stop
	// has been going on for long enough to be noticed; nil is never.
	Stopping func() (left time.Duration, stopping bool)
	// Off are the mechanisms that are switched off.
	Off mechanism.Off
}

// Forwarder is safe for concurrent use.
type Forwarder struct {
	deps   core.Deps
	access core.Access
	parts  Parts
	draw   func() float64
	// started is when the process began.
	started time.Time

	mu      sync.Mutex
	picker  *balance.Picker
	windows map[core.ServiceID]*retry.Window
	ladders map[lane]*tier.Ladder
	gates   map[lane]*shed.Gate
	meters  meters
	// sent wakes the one who tells the other entries what was sent.
	sent chan struct{}
}

// Option changes a Forwarder at construction.
type Option func(*Forwarder)

// Draw sets the random numbers, from 0 to 1, that choices are drawn by. It is
// called with a lock held.
func Draw(fn func() float64) Option { return func(fw *Forwarder) { fw.draw = fn } }

// New returns a forwarder.
func New(deps core.Deps, access core.Access, pa Parts, opts ...Option) *Forwarder {
	fw := &Forwarder{
		deps: deps, access: access, parts: pa, draw: rand.Float64, started: time.Now(),
		picker: balance.New(deps.Zone, deps.Region, balance.Without(pa.Off)), windows: map[core.ServiceID]*retry.Window{},
		ladders: map[lane]*tier.Ladder{}, gates: map[lane]*shed.Gate{}, sent: make(chan struct{}, 1),
		meters: newMeters(deps.Metrics),
	}
	for _, opt := range opts {
		opt(fw)
	}
	return fw
}

// staleAfter is the age of the news above which a key or route that is not
// known may just not have been heard of. It is well above the pause between two
// confirmations of a quiet store.
const staleAfter = 7 * time.Second

// storeBack is when a process that knows no configuration may have one: only
// the store, or another entry that hears it, can give it, and outages of the
// store last for seconds. A caller that comes back sooner uses up its retries.
const storeBack = 2 * time.Second

// comeBack is when a caller finds an entry that knows more than this one now.
const comeBack = 500 * time.Millisecond

// Forward runs an exchange and returns its answer once its first piece is
// there. Errors are *core.Failure.
func (fw *Forwarder) Forward(ctx context.Context, ex *core.Exchange) (*Answer, error) {
	jb, fl := fw.admit(ctx, ex)
	if fl != nil {
		fw.refused(ex, fl)
		return nil, fl
	}
	ans, fl := jb.run(ctx)
	if fl != nil {
		jb.cancel()
		jb.log(fl)
		return nil, fl
	}
	return ans, nil
}

// admit finds the route, the workspace and the service of an exchange.
func (fw *Forwarder) admit(ctx context.Context, ex *core.Exchange) (*job, *core.Failure) {
	tb := fw.table(ctx)
	if tb == nil {
		return nil, core.Refuse(core.CodeNoConfig, storeBack, "no configuration is known yet")
	}
	rt := tb.Find(ex.Host, ex.Path)
	if rt == nil {
		return nil, fw.unknown(core.CodeUnknownRoute, "no route leads there")
	}
	jb := &job{fw: fw, ex: ex, tb: tb, rt: rt, priority: rt.Priority}
	if !rt.Public && tb.Keyed() {
		ws := tb.Workspace(ex.Key)
		if ws == nil {
			return nil, fw.unknown(core.CodeUnauthorized, "the key belongs to no workspace")
		}
		jb.ws, jb.workspace = ws, ws.ID
		if ws.Ranked {
			jb.priority = ws.Priority
		}
	}
	if fl := fw.stopping(rt); fl != nil {
		return nil, fl
	}
	jb.service = rt.Choose(fw.place(ex))
	if fl := jb.unserved(time.Now()); fl != nil {
		return nil, fl
	}
	if fl := fw.saturated(jb); fl != nil {
		return nil, fl
	}
	if !rt.Repeat.Repeatable() {
		// A doubtful answer could not be asked for again.
		jb.stage = max(len(rt.Cascade)-1, 0)
	}
	return jb, nil
}

// Restart is the time from the end of a process to the readiness of the one
// that takes its place.
const Restart = time.Second

// stopping refuses what might not end before a process that stops. Callers come
// here at that time only when there is no other entry to go to, as when all are
// stopped one after the other. What certainly ends in time is served; the rest
// is told when somebody will be back, which a closed listener could not say.
func (fw *Forwarder) stopping(rt *route.Route) *core.Failure {
	if fw.parts.Stopping == nil {
		return nil
	}
	left, stopping := fw.parts.Stopping()
	if !stopping || !rt.Stream && rt.Timeout > 0 && rt.Timeout < left {
		return nil
	}
	return core.Refuse(core.CodeLeaving, max(left, 0)+Restart, "the process is stopping")
}

// saturated refuses what engines would begin too late. Plain services turn away
// themselves what they have no room for.
func (fw *Forwarder) saturated(jb *job) *core.Failure {
	sv := jb.tb.Service(jb.service)
	if sv == nil || jb.ex.Prompt == 0 {
		return nil
	}
	now := time.Now()
	fw.mu.Lock()
	hosts := jb.upstreams(now)
	wait := fw.picker.Wait(now, hosts)
	back, ok := fw.gate(jb.lane()).Offer(now, shed.Request{
		Wait: wait, Aim: sv.Aim(), Workspace: jb.workspace, Urgent: jb.priority <= sv.First(), Draw: fw.draw(),
	})
	fw.mu.Unlock()
	if ok {
		return nil
	}
	return core.Refuse(core.CodeOverloaded, back, "the %d upstreams are busy for %s at least", len(hosts), wait.Round(time.Millisecond))
}

// gate returns what lets the requests of a lane in. The caller holds the lock.
func (fw *Forwarder) gate(la lane) *shed.Gate {
	return orNew(fw.gates, la, func() *shed.Gate { return shed.New(shed.Without(fw.parts.Off)) })
}

// unknown refuses what the configuration in force does not have. While newer
// ones may be on their way here, that is no final word: a caller with a new key
// would be told for good that it has none.
func (fw *Forwarder) unknown(code core.Code, text string) *core.Failure {
	if age := fw.parts.Age(); age > staleAfter {
		return core.Refuse(core.CodeStaleConfig, comeBack, "%s, by a configuration that was confirmed %s ago", text, age.Round(time.Millisecond))
	}
	return core.Refuse(code, 0, "%s", text)
}

// place draws a number from 0 to 1, the same for all requests of a session, so
// that a route that is split between services keeps sessions together.
func (fw *Forwarder) place(ex *core.Exchange) float64 {
	if ex.Session != "" {
		return canary.Place(ex.Session)
	}
	return rand.Float64()
}

func (fw *Forwarder) version() route.Version {
	if tb := fw.parts.InForce.Current(); tb != nil {
		return tb.Version
	}
	return 0
}

// window returns the repeats of a service. The caller holds the lock.
func (fw *Forwarder) window(sv core.ServiceID) *retry.Window {
	return orNew(fw.windows, sv, fw.parts.Repeats)
}

// ladder returns the choice of models of a lane. The caller holds the lock.
func (fw *Forwarder) ladder(la lane) *tier.Ladder {
	return orNew(fw.ladders, la, func() *tier.Ladder { return tier.New(tier.Without(fw.parts.Off)) })
}

// orNew returns what is kept under a key, made when it is first asked for.
func orNew[K comparable, V any](kept map[K]*V, key K, fresh func() *V) *V {
	if kept[key] == nil {
		kept[key] = fresh()
	}
	return kept[key]
}

// Gone drops what is known of an upstream that left.
func (fw *Forwarder) Gone(id core.UpstreamID) {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	fw.picker.Forget(id)
}

// Holds implements recall's Learner.
func (fw *Forwarder) Holds(ho core.Host, held []core.Held) {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	fw.picker.Holds(time.Now(), ho, held)
}

// RepeatsLeft returns the repeats that this entry may still make, by service.
func (fw *Forwarder) RepeatsLeft() map[core.ServiceID]float64 {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	out := make(map[core.ServiceID]float64, len(fw.windows))
	for sv, wi := range fw.windows {
		out[sv] = wi.Left(time.Now(), retry.Retry)
	}
	return out
}

// Avoided counts the upstreams of a service that this entry keeps work from.
func (fw *Forwarder) Avoided(sv core.ServiceID) int {
	now := time.Now()
	hosts := fw.parts.Fleet.Serving(sv, now, core.Regions{})
	fw.mu.Lock()
	defer fw.mu.Unlock()
	return fw.picker.Avoided(now, hosts)
}
