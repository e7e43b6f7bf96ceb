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
	"skylarkstand/core/topology"
	"skylarkstand/io/peer"
)

// configurationChain is the name of the chain in the store that holds the configuration.
const configurationChain = "configuration"

// configReader delivers new configuration generations to an entry: from the store if the entry is
// one of its zone's preferred readers, otherwise, or while the store is unavailable, over links
// from other entries.
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
	storeRetryDelay = 500 * time.Millisecond
	// watchTimeout bounds one watch, so that an idle watch still confirms that the store answers
	// and that the generation in force is the newest.
	watchTimeout = 5 * time.Second
	// maxReaderSilence is how long an entry relies on readers from which it receives nothing
	// before it reads the store itself. It covers a reader's watch timeout and two notices, so
	// that a normal pause does not make 360 entries read the store at once.
	maxReaderSilence = watchTimeout + 3*peer.NoticeInterval
)

// Update sets the current host list.
func (cr *configReader) Update(hosts []core.Host) {
	cr.hosts.Store(&hosts)
	if cr.self.Addr != "" {
		cr.mesh.Update(hosts)
	}
}

// isReader reports whether this entry reads the store itself.
func (cr *configReader) isReader() bool {
	return topology.WatchesStore(*cr.hosts.Load(), cr.self, cr.inf.Fresh(time.Now(), maxReaderSilence))
}

// Serve implements suture.Service: it accepts links from other entries and reads the store
// while this entry is a reader.
func (cr *configReader) Serve(ctx context.Context) error {
	if cr.self.Addr != "" {
		li, err := net.Listen("tcp", cr.self.Addr)
		if err != nil {
			return err
		}
		go func() { _ = cr.mesh.Serve(ctx, li) }()
	}
	storeDown := false
	for ctx.Err() == nil {
		if cr.isReader() {
			err := cr.follow(ctx)
			if errors.Is(err, chain.ErrStoreUnavailable) && !storeDown {
				event.Log(cr.deps.Log, event.StoreDown, "use", "configuration")
			}
			storeDown = errors.Is(err, chain.ErrStoreUnavailable)
		}
		select {
		case <-time.After(storeRetryDelay):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// follow reads to the end of the chain and then waits for each next entry, as long as this entry
// is a reader.
func (cr *configReader) follow(ctx context.Context) error {
	last, err := cr.chain.Last(ctx)
	if err != nil {
		return err
	}
	cr.adopt(last)
	for cr.isReader() {
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

// next waits up to watchTimeout for an entry and returns an Entry with number 0 if none was added.
func (cr *configReader) next(ctx context.Context, n uint64) (chain.Entry, error) {
	wctx, cancel := context.WithTimeout(ctx, watchTimeout)
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
