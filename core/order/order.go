// Package order keeps orders to engines — to load a model, an adapter or a
// version, or to change role — from being carried out late.
//
// Whoever gives orders may be paused between deciding and sending; meanwhile
// another one decides otherwise, and the late order would undo the newer one.
// Some engines refuse an order with an old fencing number, others ignore it. So
// the numbers are counted in the platform's store, one row a key for each
// upstream, and the agent, the only way in to its engine, lets only the newest
// number pass.
//
// # Usage
//
//	fence, err := order.NewIssuer(store).Next(ctx, "desk-1")   // whoever gives orders
//	err = order.NewGate(store, "desk-1").Pass(ctx, fence, send) // the agent
package order

import (
	"context"
	"errors"
	"strconv"
	"sync"

	"skylarkstand/core"
)

// Fence numbers the orders to one upstream. The higher number wins.
type Fence uint64

// Errors of orders. After both nothing was sent to the engine.
var (
	// ErrOld: a newer order was given meanwhile.
	ErrOld = errors.New("order: a newer order was given")
	// ErrAway: the store cannot be reached, so it is unknown whether the order
	// is the newest. An order can wait; a late one does harm.
	ErrAway = errors.New("order: store away")
)

func key(id core.UpstreamID) string { return "fences/" + string(id) }

// Issuer counts fencing numbers.
type Issuer struct{ store core.Store }

// NewIssuer returns an issuer over a store.
func NewIssuer(st core.Store) *Issuer { return &Issuer{store: st} }

// races bounds how often a number that another took first is counted again.
const races = 16

// Next returns a number above all that were given for an upstream. A lost
// reply costs a number, which may be skipped, never doubled: nobody else can
// have got it, and the read that follows counts on from it.
func (is *Issuer) Next(ctx context.Context, id core.UpstreamID) (Fence, error) {
	for range races {
		it, err := is.store.Get(ctx, key(id))
		if errors.Is(err, core.ErrNotFound) {
			if _, err = is.store.Create(ctx, key(id), []byte("1"), ""); err == nil {
				return 1, nil
			}
			continue
		}
		if err != nil {
			return 0, ErrAway
		}
		last, err := strconv.ParseUint(string(it.Value), 10, 64)
		if err != nil {
			return 0, err
		}
		if _, err = is.store.Swap(ctx, key(id), it.Revision, []byte(strconv.FormatUint(last+1, 10))); err == nil {
			return Fence(last + 1), nil
		}
	}
	return 0, ErrAway
}

// Gate is an agent's check of the orders to its engine. It is safe for
// concurrent use.
type Gate struct {
	store core.Store
	id    core.UpstreamID

	mu     sync.Mutex
	passed Fence
}

// NewGate returns the gate of an upstream.
func NewGate(st core.Store, id core.UpstreamID) *Gate { return &Gate{store: st, id: id} }

// Pass sends an order if its number is the newest that was given. Orders pass
// one at a time: were two under way at once, the engine could take the older
// one last. The store is read each time, because the agent forgets at a
// restart what it let pass, and the newest number may not have come here yet.
func (ga *Gate) Pass(ctx context.Context, fe Fence, send func(context.Context) error) error {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if fe < ga.passed {
		return ErrOld
	}
	it, err := ga.store.Get(ctx, key(ga.id))
	if err != nil {
		return ErrAway
	}
	newest, err := strconv.ParseUint(string(it.Value), 10, 64)
	if err != nil {
		return err
	}
	if uint64(fe) != newest {
		return ErrOld
	}
	ga.passed = fe
	return send(ctx)
}
