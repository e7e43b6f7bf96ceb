package app

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"skylarkstand/app/settings"
	"skylarkstand/core"
	"skylarkstand/core/chain"
	"skylarkstand/core/declaration"
	"skylarkstand/core/event"
	"skylarkstand/core/spread"
	"skylarkstand/io/peer"
)

// configurationChain is the name of the configuration's chain in the store.
const configurationChain = "configuration"

// configReader brings new generations into an entry: from the store when the
// entry is one of its zone's preferred readers, over links from other entries
// when it is not, or when the store is away.
type configReader struct {
	deps  core.Deps
	inf   *declaration.InForce
	chain *chain.Chain
	self  core.Host
	mesh  *peer.Mesh
	hosts atomic.Pointer[[]core.Host]
}

func newConfigReader(set settings.Entry, deps core.Deps, inf *declaration.InForce, st core.Store, mesh *peer.Mesh) *configReader {
	cr := &configReader{deps: deps, inf: inf, chain: chain.New(st, configurationChain), self: entryHost(set), mesh: mesh}
	cr.hosts.Store(new([]core.Host))
	return cr
}

const (
	retryStore = 500 * time.Millisecond
	// watchRound bounds one wait, so that an idle watch still confirms that
	// the store answers and that the generation in force is the newest.
	watchRound = 5 * time.Second
	// silence is how long an entry trusts readers that it hears nothing from
	// before it reads the store itself. It covers a reader's watch round and
	// two notices, so that no usual pause sends 360 entries to the store.
	silence = watchRound + 3*peer.NoticeEvery
)

// Update takes a new reading of the host list.
func (cr *configReader) Update(hosts []core.Host) {
	cr.hosts.Store(&hosts)
	if cr.self.Addr != "" {
		cr.mesh.Update(hosts)
	}
}

func (cr *configReader) reads() bool {
	return spread.Reads(*cr.hosts.Load(), cr.self, cr.inf.Fresh(time.Now(), silence))
}

// Serve implements suture's service.
func (cr *configReader) Serve(ctx context.Context) error {
	if cr.self.Addr != "" {
		li, err := net.Listen("tcp", cr.self.Addr)
		if err != nil {
			return err
		}
		go func() { _ = cr.mesh.Serve(ctx, li) }()
	}
	away := false
	for ctx.Err() == nil {
		if cr.reads() {
			err := cr.follow(ctx)
			if errors.Is(err, chain.ErrAway) && !away {
				event.Log(cr.deps.Log, event.StoreDown, "use", "configuration")
			}
			away = errors.Is(err, chain.ErrAway)
		}
		select {
		case <-time.After(retryStore):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// follow reads to the chain's end and then waits for each next entry, for as
// long as this entry is to read.
func (cr *configReader) follow(ctx context.Context) error {
	last, err := cr.chain.Last(ctx)
	if err != nil {
		return err
	}
	cr.adopt(last)
	for cr.reads() {
		if cr.inf.Number() <= core.Generation(last.Number) {
			cr.inf.Confirm(time.Now())
		}
		en, err := cr.next(ctx, last.Number+1)
		if err != nil {
			return err
		}
		if en.Number > 0 {
			cr.adopt(en)
			last = en
		}
	}
	return nil
}

// next waits one round for an entry and returns an Entry of number 0 when none
// came.
func (cr *configReader) next(ctx context.Context, n uint64) (chain.Entry, error) {
	wctx, cancel := context.WithTimeout(ctx, watchRound)
	defer cancel()
	en, err := cr.chain.Watch(wctx, n)
	switch {
	case ctx.Err() != nil:
		return en, ctx.Err()
	case wctx.Err() != nil:
		return chain.Entry{}, nil
	}
	return en, err
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
