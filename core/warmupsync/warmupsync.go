// Package warmupsync asks upstreams how long they stay cold when an entry starts.
//
// An entry finds upstreams in its first copy of the store that may have become cold a moment ago,
// such as those of an availability zone whose evacuation has just ended, and limits all of them
// until each would be warm in any case. After a loss of all entries, the limits of all of them
// together are below the usual traffic, and callers that return at once are turned away while the
// upstreams are idle. Each upstream of the local region is therefore asked by a bounded number of
// entries, which then know as much as those that have run for long.
//
// # Usage
//
//	sy := warmupsync.New(deps, inf, fleet, tracker, prober)
//	sup.Add(sy) // ends when all upstreams have answered, or would be warm
package warmupsync

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
	"skylarkstand/core/warmup"
)

// Syncer is the service that asks the upstreams. It implements suture.Service.
type Syncer struct {
	off    mechanism.Disabled
	deps   core.Deps
	inf    *route.InForce
	fl     *fleet.Fleet
	tr     *warmup.Tracker
	prober core.WarmupProber
	// self is the name of this entry among the names that entries returns.
	self    string
	entries func() []string
}

// Option configures a Syncer.
type Option func(*Syncer)

// Without disables mechanisms.
func Without(off mechanism.Disabled) Option { return func(sy *Syncer) { sy.off = off } }

// Entries sets the function that returns the names of the region's entries, of which a bounded number
// asks each upstream; self is this entry's name. Without it, this entry asks all upstreams.
func Entries(self string, fn func() []string) Option {
	return func(sy *Syncer) { sy.self, sy.entries = self, fn }
}

// New returns a Syncer that asks the upstreams by prober.
func New(deps core.Deps, inf *route.InForce, fl *fleet.Fleet, tr *warmup.Tracker, prober core.WarmupProber, opts ...Option) *Syncer {
	sy := &Syncer{deps: deps, inf: inf, fl: fl, tr: tr, prober: prober, entries: func() []string { return nil }}
	for _, opt := range opts {
		opt(sy)
	}
	return sy
}

const (
	// maxConcurrent bounds the upstreams that are asked at the same time.
	maxConcurrent = 32
	// probesPerUpstream is the number of entries that ask an upstream when all of them start. The others
	// keep to their limit there.
	probesPerUpstream = 32
	// probeTimeout bounds one question, and maxProbes the questions to one upstream: a busy one answers
	// late or refuses.
	probeTimeout = 400 * time.Millisecond
	maxProbes    = 3
)

// Serve implements suture.Service.
func (sy *Syncer) Serve(ctx context.Context) error {
	if sy.off.Has(mechanism.WarmupSync) {
		return suture.ErrDoNotRestart
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-sy.inf.Loaded():
	}
	sy.probeAll(ctx)
	return suture.ErrDoNotRestart
}

func (sy *Syncer) probeAll(ctx context.Context) {
	var wg sync.WaitGroup
	sem := make(chan struct{}, maxConcurrent)
	defer wg.Wait()
	entries := sy.entries()
	if !slices.Contains(entries, sy.self) {
		entries = append(entries, sy.self)
	}
	tb := sy.inf.Current()
	for _, id := range tb.EngineServices() {
		sv := tb.Service(id)
		for _, ho := range sy.fl.Serving(id, core.OnlyRegions(sy.deps.Region)) {
			if !sy.tr.Uncertain(time.Now(), ho.ID, sv.Warmup) || rendezvous.Rank(string(ho.ID), entries, sy.self) >= probesPerUpstream {
				continue
			}
			select {
			case sem <- struct{}{}:
			case <-ctx.Done():
				return
			}
			wg.Go(func() {
				defer func() { <-sem }()
				sy.probe(ctx, ho, sv)
			})
		}
	}
}

// probe asks one upstream until it has answered.
func (sy *Syncer) probe(ctx context.Context, ho core.Host, sv *route.Service) {
	var err error
	for range maxProbes {
		askedAt := time.Now()
		if !sy.tr.Uncertain(askedAt, ho.ID, sv.Warmup) {
			return
		}
		var left time.Duration
		probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		left, err = sy.prober.WarmupLeft(probeCtx, ho, sv.HealthPath)
		cancel()
		if err == nil {
			sy.tr.Confirm(askedAt, time.Now(), ho.ID, left)
			if left > 0 {
				event.Log(sy.deps.Log, event.WarmupAsked, "upstream", ho.ID, "cold-for", left)
			}
			return
		}
	}
	event.Log(sy.deps.Log, event.WarmupUnknown, "upstream", ho.ID, "error", err)
}
