// Package registration keeps an entry in the store's list of entries while it runs, under a
// lease. From the list, an entry takes the siblings to contact when the store rejects it,
// and entries determine which of them performs the writes that only one should make. The
// list is a hint: no correctness guarantee depends on it.
//
// # Usage
//
//	reg := registration.New(deps, store, key, value)
//	supervisor.Add(reg)
package registration

import (
	"context"
	"errors"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/event"
	"skylarkstand/core/meter"
)

const (
	// leaseTTL is how long an entry that has ended stays listed. A shorter TTL would need
	// more renewals, while a stale entry only costs other entries a failed request.
	leaseTTL = 12 * time.Second
	// renewInterval allows for two lost renewals within leaseTTL.
	renewInterval = 4 * time.Second
	// retryDelay is the pause after a failed call.
	retryDelay = time.Second
)

// Registrar is the service that maintains the registration. It implements suture.Service.
type Registrar struct {
	deps  core.Deps
	st    core.Store
	key   string
	value []byte
	lease core.LeaseID
}

// New returns a Registrar that keeps a key with a value in the store.
func New(deps core.Deps, st core.Store, key string, value []byte) *Registrar {
	return &Registrar{deps: deps, st: st, key: key, value: value}
}

// Serve implements suture.Service.
func (re *Registrar) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := renewInterval
		if err := re.renewOrRegister(ctx); err != nil {
			pause = retryDelay
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

// renewOrRegister renews the lease, or acquires a new one and writes the key under it.
func (re *Registrar) renewOrRegister(ctx context.Context) error {
	if re.lease != "" {
		err := re.st.Renew(ctx, re.lease)
		if !errors.Is(err, core.ErrNotFound) {
			return err
		}
		re.lease = ""
	}
	lease, err := re.st.Grant(ctx, leaseTTL)
	if err != nil {
		return err
	}
	// The key may still exist under an older lease, or from a write whose reply was lost. It
	// then expires with that lease, and a later attempt writes it again.
	if _, err := re.st.Create(ctx, re.key, re.value, lease); err != nil {
		return err
	}
	re.lease = lease
	event.Log(re.deps.Log, event.Registered, "key", re.key)
	return nil
}
