// Package register keeps an entry in the store's list of entries for as long as
// it lives, by a lease. The list tells entries whom to ask when the store turns
// one of them away, and whose turn it is to write what one of them has to.
// Nothing that must be right depends on it.
//
// # Usage
//
//	reg := register.New(deps, store, key, value)
//	supervisor.Add(reg)
package register

import (
	"context"
	"errors"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/event"
	"skylarkstand/core/meter"
)

const (
	// ttl is how long an entry that is gone stays listed. A shorter one would
	// cost more renewals, and a gone entry costs others a question in vain.
	ttl = 12 * time.Second
	// renewEvery leaves two renewals to be lost.
	renewEvery = 4 * time.Second
	// again is the pause after a failed call.
	again = time.Second
)

// Registrar is the duty. It implements suture's Service.
type Registrar struct {
	deps  core.Deps
	st    core.Store
	key   string
	value []byte
	lease core.LeaseID
}

// New returns the duty that keeps a key with a value.
func New(deps core.Deps, st core.Store, key string, value []byte) *Registrar {
	return &Registrar{deps: deps, st: st, key: key, value: value}
}

// Serve implements suture's Service.
func (re *Registrar) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := renewEvery
		if err := re.step(ctx); err != nil {
			pause = again
			if ctx.Err() == nil {
				event.Log(re.deps.Log, event.StoreWriteLate, "key", re.key, "error", err)
				meter.RegisterFailed.Inc(re.deps.Metrics)
			}
		}
		ti := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-ti.C:
		}
		ti.Stop()
	}
	return ctx.Err()
}

// step renews the lease, or takes a new one and writes the key under it.
func (re *Registrar) step(ctx context.Context) error {
	if re.lease != "" {
		err := re.st.Renew(ctx, re.lease)
		if !errors.Is(err, core.ErrNotFound) {
			return err
		}
		re.lease = ""
	}
	lease, err := re.st.Grant(ctx, ttl)
	if err != nil {
		return err
	}
	// The key may still be there under an older lease, or from a write whose
	// answer was lost; it then goes with that lease and comes back a round later.
	if _, err := re.st.Create(ctx, re.key, re.value, lease); err != nil {
		return err
	}
	re.lease = lease
	event.Log(re.deps.Log, event.Registered, "key", re.key)
	return nil
}
