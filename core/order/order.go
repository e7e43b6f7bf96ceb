// Package order prevents outdated orders to engines from being executed. An order loads a model, an
// adapter or a version, or changes the engine's role.
//
// A process that gives orders may be paused between its decision and the sending; if another
// process decides differently in the meantime, the late order would undo the newer one. Some
// engines refuse an order with an old fencing number, others ignore the number. So the fencing
// numbers are counted in the platform's store, under one key per upstream, and the agent, the only
// way to reach its engine, sends only the order with the newest number.
//
// # Usage
//
//	fence, err := order.NewIssuer(store).Next(ctx, "desk-1")   // the process that gives orders
//	err = order.NewGate(store, "desk-1").Pass(ctx, fence, send) // the agent
package order

import (
	"context"
	"errors"
	"strconv"
	"sync"

	"skylarkstand/core"
)

// FencingNumber is the fencing number of an order to one upstream. The highest number wins.
type FencingNumber uint64

// Errors of orders. With either of them, nothing was sent to the engine.
var (
	// ErrSuperseded means that a newer order has been given.
	ErrSuperseded = errors.New("order: a newer order was given")
	// ErrUnavailable means that the store is unavailable, so it is unknown whether the order is the
	// newest. A delay does no harm; an outdated order that is executed would undo a newer one.
	ErrUnavailable = errors.New("order: store away")
)

func key(id core.UpstreamID) string { return "fences/" + string(id) }

// Issuer issues fencing numbers.
type Issuer struct{ store core.Store }

// NewIssuer returns an Issuer that counts in the given store.
func NewIssuer(st core.Store) *Issuer { return &Issuer{store: st} }

// maxConflicts limits the retries after another process has taken the same number.
const maxConflicts = 16

// Next returns a fencing number above all that were issued for an upstream. If the reply to a write
// is lost, its number may be skipped but is never issued twice: no other process can have got it,
// and the next read continues after it.
func (is *Issuer) Next(ctx context.Context, id core.UpstreamID) (FencingNumber, error) {
	for range maxConflicts {
		it, err := is.store.Get(ctx, key(id))
		if errors.Is(err, core.ErrNotFound) {
			if _, err = is.store.Create(ctx, key(id), []byte("1"), ""); err == nil {
				return 1, nil
			}
			continue
		}
		if err != nil {
			return 0, ErrUnavailable
		}
		last, err := strconv.ParseUint(string(it.Value), 10, 64)
		if err != nil {
			return 0, err
		}
		if _, err = is.store.Swap(ctx, key(id), it.Revision, []byte(strconv.FormatUint(last+1, 10))); err == nil {
			return FencingNumber(last + 1), nil
		}
	}
	return 0, ErrUnavailable
}

// Gate is an agent's check of the orders to its engine. It is safe for concurrent use.
type Gate struct {
	store core.Store
	id    core.UpstreamID

	mu         sync.Mutex
	lastPassed FencingNumber
}

// NewGate returns the Gate of an upstream.
func NewGate(st core.Store, id core.UpstreamID) *Gate { return &Gate{store: st, id: id} }

// Pass sends an order if its fencing number is the newest one issued. It sends one order at a time:
// of two orders in flight, the engine could execute the older one last. It reads the store each
// time, because the agent loses its state at a restart and because the newest number may not
// have reached this agent yet.
func (ga *Gate) Pass(ctx context.Context, fe FencingNumber, send func(context.Context) error) error {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if fe < ga.lastPassed {
		return ErrSuperseded
	}
	it, err := ga.store.Get(ctx, key(ga.id))
	if err != nil {
		return ErrUnavailable
	}
	newest, err := strconv.ParseUint(string(it.Value), 10, 64)
	if err != nil {
		return err
	}
	if uint64(fe) != newest {
		return ErrSuperseded
	}
	ga.lastPassed = fe
	return send(ctx)
}
