// Package execute is the agent's path of one attempt: the last check, the
// local bound, the claim for what may run at most once, and the upstream.
//
// # Usage
//
//	ex := execute.New(deps, host, inForce, runner, claims, execute.Slots(8))
//	ans, err := ex.Run(ctx, attempt)
//
// Errors are [core.Failure]s; one that says it was not run was refused before
// any byte went to the upstream.
package execute

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/claim"
	"skylarkstand/core/declaration"
	"skylarkstand/core/guard"
)

// Executor is safe for concurrent use.
type Executor struct {
	deps   core.Deps
	host   core.Host
	inf    *declaration.InForce
	runner core.Runner
	claims *claim.Table
	bound  bound

	gate    gate
	leaving atomic.Bool
}

// Option changes an Executor at construction.
type Option func(*Executor)

// Slots sets how many attempts the upstream runs at once.
func Slots(n int) Option { return func(ex *Executor) { ex.bound.bo.slots = max(n, 1) } }

// Queue sets how many attempts may wait for a slot. Beyond it the agent
// refuses at once, so that the entry can still try elsewhere in time.
func Queue(n int) Option { return func(ex *Executor) { ex.bound.bo.limit = n } }

const (
	defaultSlots = 16
	defaultQueue = 32
	// adoptLimit bounds the wait for the configuration that an entry decided
	// by; it comes over the same link within milliseconds.
	adoptLimit = 2 * time.Second
)

// New returns an executor for the upstream beside the agent.
func New(deps core.Deps, ho core.Host, inf *declaration.InForce, ru core.Runner, tbl *claim.Table, opts ...Option) *Executor {
	ex := &Executor{deps: deps, host: ho, inf: inf, runner: ru, claims: tbl}
	ex.bound.bo = NewBound(defaultSlots, defaultQueue)
	for _, opt := range opts {
		opt(ex)
	}
	return ex
}

// Leave makes the executor refuse all new work from now on.
func (ex *Executor) Leave() { ex.leaving.Store(true) }

// Leaving reports whether Leave was called.
func (ex *Executor) Leaving() bool { return ex.leaving.Load() }

// Load returns what the upstream is doing now.
func (ex *Executor) Load() core.Load { return ex.bound.load() }

// Probe reports whether the upstream accepts connections, if its runner can
// tell.
func (ex *Executor) Probe() error {
	if pr, ok := ex.runner.(interface{ Probe() error }); ok {
		return pr.Probe()
	}
	return nil
}

// ErrNoOrders tells that the upstream takes no orders.
var ErrNoOrders = errors.New("execute: this upstream takes no orders")

// Order passes an order on to the upstream, if its runner takes any.
func (ex *Executor) Order(ctx context.Context, fence uint64, body []byte) error {
	if or, ok := ex.runner.(interface {
		Order(ctx context.Context, fence uint64, body []byte) error
	}); ok {
		return or.Order(ctx, fence, body)
	}
	return ErrNoOrders
}

// Run takes an attempt to the upstream.
func (ex *Executor) Run(ctx context.Context, at *core.Attempt) (core.Answer, error) {
	ex.awaitGeneration(ctx, at.Generation)
	if fl := ex.check(at); fl != nil {
		return nil, fl
	}
	if fl := ex.gate.enter(ctx, ex.host, at.Solo); fl != nil {
		return nil, fl
	}
	exit := sync.OnceFunc(func() { ex.gate.exit(at.Solo) })
	ans, err := ex.runGated(ctx, at)
	if err != nil {
		exit()
		return nil, err
	}
	return &held{Answer: ans, exit: exit}, nil
}

// runGated runs an attempt that has passed the gate.
func (ex *Executor) runGated(ctx context.Context, at *core.Attempt) (core.Answer, error) {
	if ex.atMostOnce(at) {
		return ex.runClaimed(ctx, at)
	}
	exit, err := ex.bound.enter(ctx, at)
	if err != nil {
		return nil, err
	}
	// The configuration may have changed while the attempt waited.
	if fl := ex.check(at); fl != nil {
		exit()
		return nil, fl
	}
	ans, err := ex.runner.Run(ctx, at)
	if err != nil {
		exit()
		return nil, err
	}
	return &held{Answer: ans, exit: exit}, nil
}

func (ex *Executor) check(at *core.Attempt) *core.Failure {
	return guard.Check(ex.inf.Current(), ex.host, ex.leaving.Load(), at)
}

// awaitGeneration waits until the agent's configuration is as new as the
// entry's, or a bound has passed; the check that follows refuses then.
func (ex *Executor) awaitGeneration(ctx context.Context, gen core.Generation) {
	if ex.inf.Number() >= gen {
		return
	}
	limit := time.NewTimer(adoptLimit)
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
