// Package prefixsync queries engines for their cached prefixes when an entry starts.
//
// An entry normally derives the engines' cached prefixes from the requests that it and its
// siblings have sent. If all entries are lost at once, this state is lost too. A broken
// stream whose caller retries would then go to an engine without its prefix, which needs up
// to seconds for the prefill, while the engine that has the prefix could continue at once.
// Each engine is therefore queried once, as soon as the entry has its first configuration.
// This shortens the time to the first event of such retries.
//
// Only engines of the local region are queried, since few requests go to other regions, and each of
// them by a bounded number of entries: a query delays the engine's work, and after a loss of all
// entries they start at the same moment. A failed query is logged and not repeated.
//
// # Usage
//
//	sy := prefixsync.New(deps, inf, fleet, caches, learner)
//	sup.Add(sy) // ends when all queries have ended
package prefixsync

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/thejerf/suture/v4"

	"skylarkstand/core"
	"skylarkstand/core/event"
	"skylarkstand/core/fleet"
	"skylarkstand/core/mechanism"
	"skylarkstand/core/rendezvous"
	"skylarkstand/core/route"
)

// Learner records the prefixes cached by engines.
type Learner interface {
	// AdmitQuery reports whether an engine accepts a query now.
	AdmitQuery(ho core.Host) bool
	// ObserveSignals records the signals of an engine's response. sent is when the query was sent.
	ObserveSignals(ho core.Host, sent time.Time, si core.Signals)
	// RecordCached records the prefixes cached by one engine.
	RecordCached(ho core.Host, cached []core.CachedPart)
}

// Syncer is the service that queries the engines. It implements suture.Service.
type Syncer struct {
	off  mechanism.Disabled
	deps core.Deps
	inf  *route.InForce
	fl   *fleet.Fleet
	mem  core.PrefixCaches
	le   Learner
	// self is the name of this entry among the names that entries returns.
	self    string
	entries func() []string
}

// Option configures a Syncer.
type Option func(*Syncer)

// Without disables mechanisms.
func Without(off mechanism.Disabled) Option { return func(sy *Syncer) { sy.off = off } }

// Entries sets the function that returns the names of the region's entries, among which the queries are
// divided; self is this entry's name. Without it, this entry queries all engines.
func Entries(self string, fn func() []string) Option {
	return func(sy *Syncer) { sy.self, sy.entries = self, fn }
}

// New returns a Syncer that reads cached prefixes from mem and passes them to le.
func New(deps core.Deps, inf *route.InForce, fl *fleet.Fleet, mem core.PrefixCaches, le Learner, opts ...Option) *Syncer {
	sy := &Syncer{deps: deps, inf: inf, fl: fl, mem: mem, le: le, entries: func() []string { return nil }}
	for _, opt := range opts {
		opt(sy)
	}
	return sy
}

const (
	// queryTimeout bounds all queries together. Later responses are of no use to the
	// retries of broken streams.
	queryTimeout = 500 * time.Millisecond
	// maxConcurrent bounds the engines queried concurrently, and thereby the connections
	// and the memory: a response takes 60 bytes per prompt part, with some hundred parts.
	// At 5 ms per response, 3,000 engines of a region can be queried within queryTimeout;
	// any others are skipped.
	maxConcurrent = 32
	// queriesPerEngine is the number of entries that query an engine when all of them start.
	queriesPerEngine = 16
)

// Serve implements suture.Service.
func (sy *Syncer) Serve(ctx context.Context) error {
	if sy.off.Has(mechanism.PrefixSync) {
		return suture.ErrDoNotRestart
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-sy.inf.Loaded():
	}
	sy.queryAll(ctx)
	return suture.ErrDoNotRestart
}

func (sy *Syncer) queryAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	var wg sync.WaitGroup
	sem := make(chan struct{}, maxConcurrent)
	entries := sy.entries()
	if !slices.Contains(entries, sy.self) {
		entries = append(entries, sy.self)
	}
	for _, sv := range sy.inf.Current().EngineServices() {
		for _, ho := range sy.fl.Serving(sv, core.Regions{}) {
			if ho.Region != sy.deps.Region || rendezvous.Rank(string(ho.ID), entries, sy.self) >= queriesPerEngine {
				continue
			}
			select {
			case sem <- struct{}{}:
			case <-ctx.Done():
				wg.Wait()
				return
			}
			wg.Go(func() {
				defer func() { <-sem }()
				sy.query(ctx, ho)
			})
		}
	}
	wg.Wait()
}

func (sy *Syncer) query(ctx context.Context, ho core.Host) {
	if !sy.le.AdmitQuery(ho) {
		event.Log(sy.deps.Log, event.MemoryUnknown, "upstream", ho.ID, "error", "the engine accepts no requests now")
		return
	}
	startedAt := time.Now()
	cached, si, err := sy.mem.CachedParts(ctx, ho)
	sy.le.ObserveSignals(ho, startedAt, si)
	if err != nil {
		event.Log(sy.deps.Log, event.MemoryUnknown, "upstream", ho.ID, "error", err)
		return
	}
	sy.le.RecordCached(ho, cached)
	event.Log(sy.deps.Log, event.MemoryRecalled, "upstream", ho.ID, "parts", len(cached), "took", time.Since(startedAt))
}
