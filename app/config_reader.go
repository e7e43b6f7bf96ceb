package app

import (
	"context"
	"errors"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/chain"
	"skylarkstand/core/declaration"
	"skylarkstand/core/event"
)

// configurationChain is the name of the configuration's chain in the store.
const configurationChain = "configuration"

// configReader follows the configuration chain and adopts its generations.
type configReader struct {
	deps  core.Deps
	inf   *declaration.InForce
	chain *chain.Chain
}

func newConfigReader(deps core.Deps, inf *declaration.InForce, st core.Store) *configReader {
	return &configReader{deps: deps, inf: inf, chain: chain.New(st, configurationChain)}
}

const (
	retryStore = 500 * time.Millisecond
	// watchRound bounds one wait, so that an idle watch still confirms that
	// the store answers and that the generation in force is the newest.
	watchRound = 10 * time.Second
)

// Serve implements suture's service.
func (cr *configReader) Serve(ctx context.Context) error {
	away := false
	for ctx.Err() == nil {
		err := cr.follow(ctx)
		if errors.Is(err, chain.ErrAway) && !away {
			event.Log(cr.deps.Log, event.StoreDown, "use", "configuration")
		}
		away = errors.Is(err, chain.ErrAway)
		select {
		case <-time.After(retryStore):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// follow reads to the chain's end and then waits for the next entry.
func (cr *configReader) follow(ctx context.Context) error {
	last, err := cr.chain.Last(ctx)
	if err != nil {
		return err
	}
	cr.adopt(last)
	for {
		cr.inf.Confirm(time.Now())
		next := max(last.Number, uint64(cr.inf.Number())) + 1
		wctx, cancel := context.WithTimeout(ctx, watchRound)
		en, err := cr.chain.Watch(wctx, next)
		passed := wctx.Err() != nil
		cancel()
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case passed:
			continue
		case err != nil:
			return err
		}
		cr.adopt(en)
		last = en
	}
}

func (cr *configReader) adopt(en chain.Entry) {
	if en.Number == 0 || en.Seal {
		return
	}
	adopted, err := cr.inf.Adopt(en.Payload)
	if err != nil {
		event.Log(cr.deps.Log, event.ConfigBroken, "entry", en.Number, "error", err)
		return
	}
	if adopted {
		event.Log(cr.deps.Log, event.ConfigAdopted, "generation", en.Number, "from", "store")
	}
}
