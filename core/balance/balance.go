package balance

import (
	"slices"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/loadlimit"
	"skylarkstand/core/mechanism"
)

// Request holds the properties of a request that a selection depends on.
type Request struct {
	Service core.ServiceID
	// Model, Parts and Prompt are set for engines. Parts are the parts of the prompt, in order; the
	// sum of their tokens may be below Prompt.
	Model  core.ModelID
	Parts  []core.Part
	Prompt core.Tokens
	// Engine is set for upstreams that batch requests and have a prefix cache.
	Engine bool
	// Route is the route's id: the latencies of each route are learned separately.
	Route string
	// Tried are the upstreams that are excluded.
	Tried []core.UpstreamID
	// Slack is the time left in which a response must begin to meet its target; 0 is no bound.
	Slack time.Duration
	// RemoteOnly is set when the request may not be served in this entry's region, so that nothing
	// about its prompt is announced here.
	RemoteOnly bool
	// AtMostOnce is set for work that may run at most once: it can't be retried, so that a failing
	// upstream costs the complete response.
	AtMostOnce bool
	// Unproven is set for a version under roll-out: its times say nothing of other upstreams.
	Unproven bool
	// LoadLimit is the load at which the upstreams of the version begin to fail.
	LoadLimit loadlimit.Share
}

// Picker selects upstreams. It isn't safe for concurrent use.
type Picker struct {
	zone      core.Zone
	region    core.Region
	states    map[core.UpstreamID]*upstreamState
	latencies map[latencyKey]*latency
	// prefill estimates the prefill rate of the engines.
	prefill prefillEstimator
	// byHash holds the states by the hash of the upstream's id. newParts are the parts sent to
	// engines that were not announced yet.
	byHash   map[uint64]*upstreamState
	newParts []CachedPart
	// newCalls are the calls that were not announced yet, newPrefills the prompts whose prefill
	// ended since the last announcement.
	newCalls, newPrefills []UpstreamLoad
	// newFacts are the upstreams with a fact that was not announced yet.
	newFacts map[*upstreamState]bool
	// siblings are the loads that the other entries of the region announced, by the hash of the
	// entry's id.
	siblings map[uint64]siblingLoad
	// remote is the load of other regions, by the hash of the region's name.
	remote map[uint64]remoteLoad
	// newRemoteCalls are the calls to other regions that were not announced yet, by region.
	newRemoteCalls map[uint64][]UpstreamLoad
	totals         loadTotals
	off            mechanism.Disabled
	// localWait is the mean prefill queue, as time, of the engines in the local region.
	localWait time.Duration
	// meanPrefill is a moving average of the prefill time of prompts, in nanoseconds.
	meanPrefill float64
}

func (pk *Picker) meanPrefillTime() time.Duration { return time.Duration(pk.meanPrefill) }

// New returns a picker for an entry in the given availability zone and region.
func New(zo core.Zone, re core.Region, opts ...Option) *Picker {
	pk := &Picker{
		zone: zo, region: re, states: map[core.UpstreamID]*upstreamState{},
		latencies: map[latencyKey]*latency{}, prefill: newPrefillEstimator(),
		siblings: map[uint64]siblingLoad{}, remote: map[uint64]remoteLoad{}, newRemoteCalls: map[uint64][]UpstreamLoad{}, byHash: map[uint64]*upstreamState{}, newFacts: map[*upstreamState]bool{},
	}
	for _, opt := range opts {
		opt(pk)
	}
	return pk
}

// Option changes a Picker at construction.
type Option func(*Picker)

// Without disables mechanisms.
func Without(off mechanism.Disabled) Option { return func(pk *Picker) { pk.off = off } }

// Pick returns the upstream for an attempt, or false when every upstream was tried. Draw returns a
// random number from 0 to 1.
func (pk *Picker) Pick(now time.Time, hosts []core.Host, rq Request, draw func() float64) (core.Host, bool) {
	de := pk.newDecision(now, hosts, rq)
	best, least := -1, time.Duration(0)
	for i := range hosts {
		if slices.Contains(rq.Tried, hosts[i].ID) {
			continue
		}
		cost := pk.cost(now, &hosts[i], rq, de) + time.Duration(draw()*float64(maxJitter))
		if best < 0 || cost < least {
			best, least = i, cost
		}
	}
	if best < 0 {
		return core.Host{}, false
	}
	return hosts[best], true
}

// ExpectedFirstByte returns the least expected time to the first byte of a response from an engine:
// the queued prefill work and the prefill of the uncached part.
func (pk *Picker) ExpectedFirstByte(now time.Time, hosts []core.Host, rq Request) time.Duration {
	return pk.leastPrefill(now, hosts, rq, func(us *upstreamState) time.Duration {
		_, pending := pk.workAt(now, us)
		return pending
	})
}

// ExpectedPrefill returns the least time that the prefill of the uncached part takes at an engine.
func (pk *Picker) ExpectedPrefill(now time.Time, hosts []core.Host, rq Request) time.Duration {
	return pk.leastPrefill(now, hosts, rq, func(*upstreamState) time.Duration { return 0 })
}

// leastPrefill returns the least sum of the prefill of the uncached part at an engine and the wait
// there. Engines of another region count only where the list has none of the local region.
func (pk *Picker) leastPrefill(now time.Time, hosts []core.Host, rq Request, wait func(us *upstreamState) time.Duration) time.Duration {
	prefill, preferred, hasLocal := pk.prefill.perThousand(rq.Model), pk.preferredUpstream(now, hosts, rq), pk.anyLocal(hosts)
	least := time.Duration(-1)
	for i := range hosts {
		us := pk.stateOf(&hosts[i])
		if now.Before(us.downUntil) || hasLocal && us.remote {
			continue
		}
		uncached := rq.Prompt - us.cachedTokens(now, rq)
		if hosts[i].ID == preferred {
			uncached = min(uncached, rq.Prompt-core.Tokens(preferredCachedShare*float64(sharedTokens(rq.Parts))))
		}
		if cost := scale(wait(us)+prefillTime(prefill, uncached), pk.slowdownOf(us)); least < 0 || cost < least {
			least = cost
		}
	}
	return max(least, 0)
}

// MinWait returns the least time that a prompt would wait at an engine before its prefill: at one
// of the local region, or of another where the local region has none.
func (pk *Picker) MinWait(now time.Time, hosts []core.Host) time.Duration {
	least, hasLocal := time.Duration(-1), false
	for i := range hosts {
		us := pk.stateOf(&hosts[i])
		if now.Before(us.downUntil) || hasLocal && us.remote {
			continue
		}
		_, pending := pk.workAt(now, us)
		pending = scale(pending, pk.slowdownOf(us))
		if least < 0 || pending < least || !hasLocal && !us.remote {
			least = pending
		}
		hasLocal = hasLocal || !us.remote
	}
	return max(least, 0)
}

// anyLocal reports whether any upstream of a list is in the local region.
func (pk *Picker) anyLocal(hosts []core.Host) bool {
	return slices.ContainsFunc(hosts, func(ho core.Host) bool { return ho.Region == pk.region })
}

// MeanHeaderTime returns the mean time from sending a request to the response header, or 0 while
// there are too few samples to rely on.
func (pk *Picker) MeanHeaderTime(rq Request) time.Duration {
	la := pk.latency(rq)
	if la.count < minSamples {
		return 0
	}
	return la.meanOr(0)
}

// CountAvoided counts the upstreams of a list that are avoided.
func (pk *Picker) CountAvoided(now time.Time, hosts []core.Host) int {
	sum := 0
	for i := range hosts {
		if us := pk.states[hosts[i].ID]; us != nil && us.isAvoided(now) {
			sum++
		}
	}
	return sum
}
