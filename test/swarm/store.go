package swarm

import (
	"context"
	"sync"
	"time"

	"skylarkstand/core"
)

const (
	// nearDelay and farDelay are the times of a call of the store, by the caller's region.
	nearDelay = 4 * time.Millisecond
	farDelay  = 64 * time.Millisecond
	// pageSize is the number of keys in a page of a listing.
	pageSize = 500
)

// store is a model of the platform's store.
type store struct {
	mu       sync.Mutex
	items    map[string]core.Item
	log      []core.Change
	rev      core.Revision
	changed  chan struct{}
	calls    int
	rejected map[string]bool
}

func newStore() *store { return &store{items: map[string]core.Item{}, changed: make(chan struct{})} }

func (st *store) put(key string, value []byte) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.write([]core.Item{{Key: key, Value: value}}, nil)
}

// write applies one transaction. The caller holds the lock.
func (st *store) write(puts []core.Item, remove []string) {
	st.rev++
	for _, it := range puts {
		it.Revision = st.rev
		st.items[it.Key] = it
		st.log = append(st.log, core.Change{Item: it})
	}
	for _, key := range remove {
		if _, ok := st.items[key]; ok {
			delete(st.items, key)
			st.log = append(st.log, core.Change{Item: core.Item{Key: key, Revision: st.rev}, Removed: true})
		}
	}
	close(st.changed)
	st.changed = make(chan struct{})
}

func (st *store) setRejected(addrs map[string]bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.rejected = addrs
}

func (st *store) takeCalls() int {
	st.mu.Lock()
	defer st.mu.Unlock()
	n := st.calls
	st.calls = 0
	return n
}

// storeClient calls the store from one entry. It implements core.ChangeFeed and membership.Store.
type storeClient struct {
	st   *store
	addr string
}

// begin counts a call and waits for its delay.
func (sc storeClient) begin(ctx context.Context) error {
	delay := nearDelay
	if isFar(sc.addr) {
		delay = farDelay
	}
	sc.st.mu.Lock()
	sc.st.calls++
	rejected := sc.st.rejected[sc.addr]
	sc.st.mu.Unlock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(delay):
	}
	if rejected {
		return core.ErrUnavailable
	}
	return nil
}

func (sc storeClient) Snapshot(ctx context.Context) ([]core.Item, core.Revision, error) {
	if err := sc.begin(ctx); err != nil {
		return nil, 0, err
	}
	sc.st.mu.Lock()
	defer sc.st.mu.Unlock()
	sc.st.calls += len(sc.st.items) / pageSize
	out := make([]core.Item, 0, len(sc.st.items))
	for _, it := range sc.st.items {
		out = append(out, it)
	}
	return out, sc.st.rev, nil
}

func (sc storeClient) Changes(ctx context.Context, after core.Revision, wait time.Duration) ([]core.Change, core.Revision, error) {
	if err := sc.begin(ctx); err != nil {
		return nil, 0, err
	}
	ti := time.NewTimer(wait)
	defer ti.Stop()
	for {
		sc.st.mu.Lock()
		var out []core.Change
		for i := len(sc.st.log) - 1; i >= 0 && sc.st.log[i].Revision > after; i-- {
			out = append([]core.Change{sc.st.log[i]}, out...)
		}
		rev, changed := sc.st.rev, sc.st.changed
		sc.st.mu.Unlock()
		if len(out) > 0 {
			return out, rev, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-ti.C:
			return nil, rev, nil
		case <-changed:
		}
	}
}

func (sc storeClient) WriteAll(ctx context.Context, puts []core.Item, remove []string) error {
	if err := sc.begin(ctx); err != nil {
		return err
	}
	sc.st.mu.Lock()
	defer sc.st.mu.Unlock()
	sc.st.write(puts, remove)
	return nil
}
