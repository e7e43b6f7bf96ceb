// Package fakestore is an in-memory implementation of the platform's key-value service
// that injects the faults that the protocols over it must tolerate: replies lost after
// the write took effect, writes that take effect long after their reply was lost or not
// at all, refusals, outages, delays, rate limits, and callers paused at any call.
//
// A seeded generator draws the fault of each call in the order of the calls, so that a
// run is reproducible. The store uses the clock of package time: inside testing/synctest
// it is virtual, and waiting costs nothing.
//
// # Usage
//
//	st := fakestore.New(fakestore.Seed(7), fakestore.WithFaults(fakestore.Faults{LoseReply: 0.2}))
//	st.SetFaults(fakestore.Faults{Down: true})
//	st.ApplyLateWrites()                                   // apply the late writes now
//	st.SetHook(func(op fakestore.Op) { <-resume })         // pause a caller
package fakestore

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"skylarkstand/core"
)

// Faults are the faults to inject until the next SetFaults. Shares are from 0 to 1.
type Faults struct {
	// Down refuses every call.
	Down bool
	// Refuse is the share of calls that are refused without effect.
	Refuse float64
	// LoseReply is the share of writes that take effect but whose reply is lost,
	// LoseWrite the share of writes that never take effect; both return the same error.
	LoseReply, LoseWrite float64
	// DelayWrite is the share of writes whose reply is lost and that take effect WriteDelay later,
	// if their precondition holds then. If WriteDelay is 0, ApplyLateWrites applies them.
	DelayWrite float64
	WriteDelay time.Duration
	// Latency is the duration of each call.
	Latency time.Duration
	// WritesPerSecond is the number of writes per second above which writes are refused;
	// 0 means no limit.
	WritesPerSecond int
}

// Op describes one call. The function that SetHook sets receives it.
type Op struct {
	Name string
	Key  string
}

// Counts are the numbers of calls. Reads and Writes include refused calls.
type Counts struct{ Reads, Writes, Refused int }

// Store implements [core.Store].
type Store struct {
	mu             sync.Mutex
	rnd            *rand.Rand
	faults         Faults
	hook           func(Op)
	items          map[string]core.Item
	leases         map[core.LeaseID]*lease
	rev            core.Revision
	lateWrites     []func()
	changed        chan struct{}
	counts         Counts
	currentSecond  int64
	writesInSecond int
}

type lease struct {
	ttl     time.Duration
	expires time.Time
	keys    []string
}

// Option configures a Store in New.
type Option func(*Store)

// Seed sets the seed of the generator that draws the faults.
func Seed(seed uint64) Option {
	return func(st *Store) { st.rnd = rand.New(rand.NewPCG(seed, seed)) }
}

// WithFaults sets the initial faults.
func WithFaults(fa Faults) Option { return func(st *Store) { st.faults = fa } }

// New returns an empty store without faults.
func New(opts ...Option) *Store {
	st := &Store{items: map[string]core.Item{}, leases: map[core.LeaseID]*lease{}, changed: make(chan struct{}), hook: func(Op) {}}
	Seed(1)(st)
	for _, opt := range opts {
		opt(st)
	}
	return st
}

// SetFaults replaces the faults.
func (st *Store) SetFaults(fa Faults) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.faults = fa
}

// SetHook sets a function that runs in the caller's goroutine before each call; a
// function that blocks pauses the caller there.
func (st *Store) SetHook(fn func(Op)) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.hook = fn
}

// Counts returns the numbers of calls so far.
func (st *Store) Counts() Counts {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.counts
}

// ApplyLateWrites applies the late writes whose preconditions still hold, and returns how many
// late writes there were.
func (st *Store) ApplyLateWrites() int {
	st.mu.Lock()
	defer st.mu.Unlock()
	held := st.lateWrites
	st.lateWrites = nil
	for _, fn := range held {
		fn()
	}
	return len(held)
}

// begin counts a call, and delays or refuses it according to the faults.
func (st *Store) begin(ctx context.Context, op Op, write bool) error {
	st.mu.Lock()
	fa, hook := st.faults, st.hook
	refuse := fa.Down || fa.Refuse > 0 && st.rnd.Float64() < fa.Refuse
	if write {
		st.counts.Writes++
		refuse = st.exceedsWriteRate(fa) || refuse
	} else {
		st.counts.Reads++
	}
	if refuse {
		st.counts.Refused++
	}
	st.mu.Unlock()
	hook(op)
	if fa.Latency > 0 {
		select {
		case <-time.After(fa.Latency):
		case <-ctx.Done():
			return core.ErrUnavailable
		}
	}
	if refuse || ctx.Err() != nil {
		return core.ErrUnavailable
	}
	return nil
}

func (st *Store) exceedsWriteRate(fa Faults) bool {
	now := time.Now().Unix()
	if now != st.currentSecond {
		st.currentSecond, st.writesInSecond = now, 0
	}
	st.writesInSecond++
	return fa.WritesPerSecond > 0 && st.writesInSecond > fa.WritesPerSecond
}

// write executes a write with the fault that is drawn for it.
func (st *Store) write(ctx context.Context, op Op, effect func() (core.Revision, error)) (core.Revision, error) {
	if err := st.begin(ctx, op, true); err != nil {
		return 0, err
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	fa, draw := st.faults, st.rnd.Float64()
	switch {
	case draw < fa.LoseReply:
		_, _ = effect()
		return 0, core.ErrUncertain
	case draw < fa.LoseReply+fa.LoseWrite:
		return 0, core.ErrUncertain
	case draw < fa.LoseReply+fa.LoseWrite+fa.DelayWrite:
		st.applyLate(fa.WriteDelay, func() { _, _ = effect() })
		return 0, core.ErrUncertain
	}
	return effect()
}

func (st *Store) applyLate(delay time.Duration, fn func()) {
	if delay == 0 {
		st.lateWrites = append(st.lateWrites, fn)
		return
	}
	time.AfterFunc(delay, func() {
		st.mu.Lock()
		defer st.mu.Unlock()
		fn()
	})
}

// put stores a value under the next revision. The caller must hold st.mu.
func (st *Store) put(key string, val []byte) core.Revision {
	st.rev++
	st.items[key] = core.Item{Key: key, Value: slices.Clone(val), Revision: st.rev}
	st.notify()
	return st.rev
}

func (st *Store) notify() {
	close(st.changed)
	st.changed = make(chan struct{})
}

// Get implements [core.Store].
func (st *Store) Get(ctx context.Context, key string) (core.Item, error) {
	if err := st.begin(ctx, Op{"get", key}, false); err != nil {
		return core.Item{}, err
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.expireLeases()
	it, ok := st.items[key]
	if !ok {
		return core.Item{}, core.ErrNotFound
	}
	return it, nil
}

// List implements [core.Store].
func (st *Store) List(ctx context.Context, prefix string) ([]core.Item, error) {
	if err := st.begin(ctx, Op{"list", prefix}, false); err != nil {
		return nil, err
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.expireLeases()
	var its []core.Item
	for key, it := range st.items {
		if strings.HasPrefix(key, prefix) {
			its = append(its, it)
		}
	}
	slices.SortFunc(its, func(aa, bb core.Item) int { return strings.Compare(aa.Key, bb.Key) })
	return its, nil
}

// Create implements [core.Store].
func (st *Store) Create(ctx context.Context, key string, val []byte, le core.LeaseID) (core.Revision, error) {
	return st.write(ctx, Op{"create", key}, func() (core.Revision, error) {
		st.expireLeases()
		if _, ok := st.items[key]; ok {
			return 0, core.ErrConflict
		}
		if le != "" {
			ls := st.leases[le]
			if ls == nil {
				return 0, core.ErrConflict
			}
			ls.keys = append(ls.keys, key)
		}
		return st.put(key, val), nil
	})
}

// Swap implements [core.Store].
func (st *Store) Swap(ctx context.Context, key string, prev core.Revision, val []byte) (core.Revision, error) {
	return st.write(ctx, Op{"swap", key}, func() (core.Revision, error) {
		st.expireLeases()
		if it, ok := st.items[key]; !ok || it.Revision != prev {
			return 0, core.ErrConflict
		}
		return st.put(key, val), nil
	})
}

// Delete implements [core.Store].
func (st *Store) Delete(ctx context.Context, key string, prev core.Revision) error {
	_, err := st.write(ctx, Op{"delete", key}, func() (core.Revision, error) {
		it, ok := st.items[key]
		switch {
		case !ok:
			return 0, core.ErrNotFound
		case it.Revision != prev:
			return 0, core.ErrConflict
		}
		delete(st.items, key)
		st.notify()
		return 0, nil
	})
	return err
}

// Watch implements [core.Store].
func (st *Store) Watch(ctx context.Context, key string, after core.Revision) (core.Item, error) {
	if err := st.begin(ctx, Op{"watch", key}, false); err != nil {
		return core.Item{}, err
	}
	for {
		st.mu.Lock()
		it, ok := st.items[key]
		changed, down := st.changed, st.faults.Down
		st.mu.Unlock()
		switch {
		case down:
			return core.Item{}, core.ErrUnavailable
		case ok && it.Revision > after:
			return it, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return core.Item{}, ctx.Err()
		}
	}
}

// Grant implements [core.Store].
func (st *Store) Grant(ctx context.Context, ttl time.Duration) (core.LeaseID, error) {
	var id core.LeaseID
	_, err := st.write(ctx, Op{"grant", ""}, func() (core.Revision, error) {
		st.rev++
		id = core.LeaseID(strconv.FormatUint(uint64(st.rev), 10))
		st.leases[id] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
		return 0, nil
	})
	return id, err
}

// Renew implements [core.Store].
func (st *Store) Renew(ctx context.Context, id core.LeaseID) error {
	_, err := st.write(ctx, Op{"renew", string(id)}, func() (core.Revision, error) {
		st.expireLeases()
		ls := st.leases[id]
		if ls == nil {
			return 0, core.ErrNotFound
		}
		ls.expires = time.Now().Add(ls.ttl)
		return 0, nil
	})
	return err
}

// expireLeases removes expired leases and their keys. The caller must hold st.mu.
func (st *Store) expireLeases() {
	now := time.Now()
	for id, ls := range st.leases {
		if now.Before(ls.expires) {
			continue
		}
		for _, key := range ls.keys {
			delete(st.items, key)
		}
		delete(st.leases, id)
		st.notify()
	}
}
