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
	slots  chan struct{}
	queue  int

	leaving atomic.Bool
	running atomic.Int64
	queued  atomic.Int64
}

// Option changes an Executor at construction.
type Option func(*Executor)

// Slots sets how many attempts the upstream runs at once, and Queue how many
// may wait for a slot.
func Slots(n int) Option { return func(ex *Executor) { ex.slots = make(chan struct{}, n) } }

// Queue bounds the waiting attempts. The load it is made for is a burst of
// entries that all saw the same old report; beyond it the agent refuses at
// once, so that the entry can still try elsewhere in time.
func Queue(n int) Option { return func(ex *Executor) { ex.queue = n } }

const (
	defaultSlots = 16
	defaultQueue = 32
	// adoptLimit bounds the wait for the configuration that an entry decided
	// by; it comes over the same link within milliseconds.
	adoptLimit = 2 * time.Second
	// retryFull is told with a refusal for want of room.
	retryFull = time.Second
)

// New returns an executor for the upstream beside the agent.
func New(deps core.Deps, ho core.Host, inf *declaration.InForce, ru core.Runner, tbl *claim.Table, opts ...Option) *Executor {
	ex := &Executor{deps: deps, host: ho, inf: inf, runner: ru, claims: tbl, queue: defaultQueue}
	Slots(defaultSlots)(ex)
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
func (ex *Executor) Load() core.Load {
	return core.Load{Running: int(ex.running.Load()), Queued: int(ex.queued.Load()), Slots: cap(ex.slots)}
}

// Run takes an attempt to the upstream.
func (ex *Executor) Run(ctx context.Context, at *core.Attempt) (core.Answer, error) {
	ex.awaitGeneration(ctx, at.Generation)
	if fl := ex.check(at); fl != nil {
		return nil, fl
	}
	if ex.atMostOnce(at) {
		return ex.runClaimed(ctx, at)
	}
	if err := ex.enter(ctx); err != nil {
		return nil, err
	}
	// The configuration may have changed while the attempt waited.
	if fl := ex.check(at); fl != nil {
		ex.exit()
		return nil, fl
	}
	ans, err := ex.runner.Run(ctx, at)
	if err != nil {
		ex.exit()
		return nil, err
	}
	return &held{Answer: ans, exit: ex.exit}, nil
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

// enter takes a slot, waiting in the bounded queue.
func (ex *Executor) enter(ctx context.Context) error {
	select {
	case ex.slots <- struct{}{}:
		ex.running.Add(1)
		return nil
	default:
	}
	if ex.queued.Add(1) > int64(ex.queue) {
		ex.queued.Add(-1)
		return core.Refuse(core.CodeOverloaded, retryFull, "the queue of upstream %s is full", ex.host.ID)
	}
	defer ex.queued.Add(-1)
	select {
	case ex.slots <- struct{}{}:
		ex.running.Add(1)
		return nil
	case <-ctx.Done():
		return core.Refuse(core.CodeCallerGone, 0, "the caller gave up while the request waited")
	}
}

func (ex *Executor) exit() {
	ex.running.Add(-1)
	<-ex.slots
}
