// Package execute runs an attempt at the agent: the final check, the local queue, the claim of an
// at-most-once operation, and the call of the upstream.
//
// # Usage
//
//	ex := execute.New(deps, host, inForce, runner, claims, execute.Slots(8))
//	ans, err := ex.Run(ctx, attempt)
//
// Errors are [core.Failure]s. An attempt that failed with [core.NotRun] was refused before any
// byte was sent to the upstream.
package execute

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/claim"
	"skylarkstand/core/cooldown"
	"skylarkstand/core/declaration"
	"skylarkstand/core/guard"
	"skylarkstand/core/ratelimit"
)

// Executor runs attempts on the agent's upstream. It is safe for concurrent use.
type Executor struct {
	deps   core.Deps
	host   core.Host
	inf    *declaration.InForce
	runner core.Runner
	claims *claim.Table
	queue  sharedSlotQueue
	// limits and cooldowns restrict the requests that the upstream accepts.
	limits    *ratelimit.Tracker
	cooldowns *cooldown.Tracker

	gate     exclusiveGate
	draining atomic.Bool
	// upstreamDraining is set by the upstream's answers, draining by this process.
	upstreamDraining upstreamDraining
}

// Option configures an Executor at construction.
type Option func(*Executor)

// Slots sets how many attempts run on the upstream at the same time.
func Slots(n int) Option { return func(ex *Executor) { ex.queue.sq.slots = max(n, 1) } }

// Queue sets how many attempts may wait for a slot. The agent refuses further attempts at once, so
// that the entry still has time to try another upstream.
func Queue(n int) Option { return func(ex *Executor) { ex.queue.sq.limit = n } }

const (
	defaultSlots = 16
	defaultQueue = 32
	// adoptTimeout limits the wait for the configuration that the entry used. It arrives over the
	// same link within milliseconds.
	adoptTimeout = 2 * time.Second
)

// New returns an Executor for the agent's upstream.
func New(deps core.Deps, ho core.Host, inf *declaration.InForce, ru core.Runner, tbl *claim.Table, opts ...Option) *Executor {
	ex := &Executor{deps: deps, host: ho, inf: inf, runner: ru, claims: tbl}
	ex.queue.sq = NewSlotQueue(defaultSlots, defaultQueue)
	ex.limits = ratelimit.New(deps.Self, func() []core.ProcessID { return []core.ProcessID{deps.Self} })
	ex.cooldowns = cooldown.New()
	if so, ok := ru.(core.SignalSource); ok {
		so.OnSignals(ex.observe)
	}
	for _, opt := range opts {
		opt(ex)
	}
	return ex
}

// StartDraining makes the executor refuse all new work.
func (ex *Executor) StartDraining() { ex.draining.Store(true) }

// Draining reports whether new work is refused, because StartDraining was called or the upstream is
// draining.
func (ex *Executor) Draining() bool {
	return ex.draining.Load() || ex.upstreamDraining.active(time.Now())
}

// Load returns the current load of the upstream.
func (ex *Executor) Load() core.Load { return ex.queue.load() }

// Probe returns an error if the upstream does not accept connections. It returns nil if the runner
// has no probe.
func (ex *Executor) Probe() error {
	pr, ok := ex.runner.(interface{ Probe() error })
	if !ok {
		return nil
	}
	err := pr.Probe()
	if err != nil {
		// What the upstream has reported ends with its process.
		ex.upstreamDraining.ended()
		ex.limits.Forget(ex.host.ID)
		ex.cooldowns.Forget(ex.host.ID)
	}
	return err
}

// ErrNoOrders is returned if the upstream accepts no orders.
var ErrNoOrders = errors.New("execute: this upstream takes no orders")

// Order sends an order to the upstream, if its runner accepts orders.
func (ex *Executor) Order(ctx context.Context, fence uint64, body []byte) error {
	if or, ok := ex.runner.(interface {
		Order(ctx context.Context, fence uint64, body []byte) error
	}); ok {
		return or.Order(ctx, fence, body)
	}
	return ErrNoOrders
}

// Run runs an attempt on the upstream.
func (ex *Executor) Run(ctx context.Context, at *core.Attempt) (core.Answer, error) {
	ex.awaitGeneration(ctx, at.Generation)
	if fl := ex.check(at); fl != nil {
		return nil, fl
	}
	if fl := ex.gate.enter(ctx, ex.host, at.Exclusive); fl != nil {
		return nil, fl
	}
	exit := sync.OnceFunc(func() { ex.gate.exit(at.Exclusive) })
	ans, err := ex.runGated(ctx, at)
	if err != nil {
		exit()
		return nil, err
	}
	return &slotAnswer{Answer: ans, release: exit}, nil
}

// runGated runs an attempt that has entered the exclusive gate.
func (ex *Executor) runGated(ctx context.Context, at *core.Attempt) (core.Answer, error) {
	if ex.atMostOnce(at) {
		return ex.runClaimed(ctx, at)
	}
	release, err := ex.queue.acquire(ctx, at)
	if err != nil {
		return nil, err
	}
	// The configuration may have changed while the attempt waited.
	if fl := ex.check(at); fl != nil {
		release()
		return nil, fl
	}
	ans, err := ex.call(ctx, at)
	if err != nil {
		release()
		return nil, err
	}
	return &slotAnswer{Answer: ans, release: release}, nil
}

func (ex *Executor) check(at *core.Attempt) *core.Failure {
	return guard.Check(ex.inf.Current(), ex.host, ex.Draining(), at)
}

// awaitGeneration waits until the agent's configuration is at least as new as the entry's, up to
// adoptTimeout. After a timeout, the check that follows refuses the attempt.
func (ex *Executor) awaitGeneration(ctx context.Context, gen core.Generation) {
	if ex.inf.Number() >= gen {
		return
	}
	limit := time.NewTimer(adoptTimeout)
	defer limit.Stop()
	for {
		changed := ex.inf.Changed()
		if ex.inf.Number() >= gen {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		case <-limit.C:
			return
		}
	}
}
