// Package placement picks the upstream for an attempt.
//
// It draws two candidates at random and picks the less loaded one (the power of
// two choices, Mitzenmacher 2001), first in the entry's availability zone, then in
// its region. An attempt uses the paid link between regions if admission control
// found the local region full, or if no local upstream is available. Load reports
// lag, so they are discounted by age, and the entry's own attempts are counted
// immediately.
//
// The package is pure: time and randomness come in as arguments.
//
// # Usage
//
//	pk := placement.New(zone, region)
//	ch, ok := pk.Pick(now, placement.Request{Pool: po, Prefix: hash}, cands, rand.IntN)
//	pk.RecordSent(now, ch.ID)
//	pk.RecordFirstChunk(now, po, ch.ID, sent)        // on the first chunk of the response
//	pk.RecordChunks(po, ch.ID, took, chunks)     // after a few more chunks
package placement

import (
	"slices"
	"time"

	"skylarkstand/core"
)

// Pool identifies a set of interchangeable upstreams: those of a model version or
// of a plain service.
type Pool struct {
	Target  core.ModelVersion
	Service core.ServiceID
	// Unstreamed is set for attempts whose response arrives as a single chunk. Their first
	// chunk arrives late, so their times are kept apart from streamed ones.
	Unstreamed bool
}

// Request describes the attempt to place.
type Request struct {
	Pool Pool
	// Prefix is the hash of the prompt's prefix; 0 means none.
	Prefix uint64
	// Body is the size of the request in bytes.
	Body int
	// CrossRegion is set if the local region is full and the attempt was admitted to
	// another one.
	CrossRegion bool
	// Tried holds the upstreams to exclude, as earlier attempts went there.
	Tried []core.UpstreamID
}

// Choice is the picked upstream.
type Choice struct {
	ID core.UpstreamID
	// CrossRegion is set if the attempt uses the link between regions. The caller
	// charges the bytes of its response with ChargeCrossRegion.
	CrossRegion bool
}

// Picker picks upstreams. It is not safe for concurrent use.
type Picker struct {
	zone      core.Zone
	region    core.Region
	link      budget
	pools     map[Pool]*poolStats
	upstreams map[core.UpstreamID]*upstreamStats
}

// Option changes a Picker at construction.
type Option func(*Picker)

// CrossRegionBudget sets the bytes per second that this entry may send and
// receive over the link between regions.
func CrossRegionBudget(rate int64) Option {
	return func(pk *Picker) { pk.link = newBudget(float64(rate)) }
}

// DefaultCrossRegionBudget is the default budget of one entry, in bytes per second. The link
// carries 30 Mbit/s, 3.75 MB per second, each way. Half of it is left to the traffic
// of the store and of the configuration; four entries share the rest.
const DefaultCrossRegionBudget = 450 << 10

// New returns a picker for an entry in an availability zone and region.
func New(zo core.Zone, re core.Region, opts ...Option) *Picker {
	pk := &Picker{zone: zo, region: re, pools: map[Pool]*poolStats{}, upstreams: map[core.UpstreamID]*upstreamStats{}}
	CrossRegionBudget(DefaultCrossRegionBudget)(pk)
	for _, opt := range opts {
		opt(pk)
	}
	return pk
}

const (
	// MaxSubset bounds the number of candidates of a decision.
	MaxSubset = 64
	// zoneMaxLoad is the load above which the local availability zone is no longer
	// preferred. The latency between zones of a region is low, so the preference
	// saves little, while a full zone next to an idle one costs a full wait.
	zoneMaxLoad = 0.75
	// freeSlotLoad is the load up to which an upstream has a slot for the attempt.
	freeSlotLoad = 1.0
	// remoteMaxLoad is the load below which another region accepts requests of the
	// local one. Above it, that region is about to fill up on its own.
	remoteMaxLoad = 0.75
	// maxDraws bounds the pairs drawn while all drawn so far are slow or full. One
	// pair almost always suffices; a few more find the last free slots of a pool
	// that is nearly full.
	maxDraws = 4
)

// candidateSet holds the candidates of one decision, grouped by distance. Its
// arrays avoid allocations.
type candidateSet struct {
	cands       []core.Upstream
	ps          *poolStats
	now         time.Time
	mean        float64
	local       [MaxSubset]uint8
	remote      [MaxSubset]uint8
	zoneCount   int // local[:zoneCount] are in the local availability zone.
	localCount  int
	remoteCount int
}

// Pick returns the upstream for an attempt, or false if there is none. It considers
// at most [MaxSubset] candidates, and modifies only their IDHash fields. Draw returns a
// random number from 0 to n-1.
//
// Each entry sees only its own attempts and old load reports. If all entries took
// the least loaded upstream of the last report, they would all take the same one.
func (pk *Picker) Pick(now time.Time, rq Request, cands []core.Upstream, draw func(n int) int) (Choice, bool) {
	cs := candidateSet{cands: cands[:min(len(cands), MaxSubset)], ps: pk.pool(rq.Pool), now: now}
	pk.classify(&cs, rq.Tried)
	cs.ps.picks++
	cs.ps.size = cs.localCount + cs.remoteCount
	if cs.localCount == 0 {
		return pk.pickCrossRegion(&cs, rq, draw, 0)
	}
	if rq.CrossRegion {
		if ch, ok := pk.pickCrossRegion(&cs, rq, draw, freeSlotLoad); ok {
			return ch, true
		}
	}
	if rq.Prefix != 0 {
		if ix, ok := pk.pickByPrefix(&cs, rq.Prefix); ok {
			return Choice{ID: cands[ix].Host.ID}, true
		}
	}
	best, load := pk.twoChoices(&cs, cs.local[:cs.zoneCount], draw, zoneMaxLoad)
	if load > zoneMaxLoad && cs.zoneCount < cs.localCount {
		other, lo := pk.twoChoices(&cs, cs.local[:cs.localCount], draw, freeSlotLoad)
		if lo < load {
			best = other
		}
	}
	return Choice{ID: cands[best].Host.ID}, true
}

// classify groups the available candidates by distance and computes the region's
// mean load. Available upstreams are those with a working link that are not leaving
// and that were not tried already.
func (pk *Picker) classify(cs *candidateSet, tried []core.UpstreamID) {
	var slots, work int
	for ix := range cs.cands {
		up := &cs.cands[ix]
		if !up.Connected || up.Leaving || len(tried) > 0 && slices.Contains(tried, up.Host.ID) {
			continue
		}
		if up.Host.Region != pk.region {
			cs.remote[cs.remoteCount] = uint8(ix)
			cs.remoteCount++
			continue
		}
		slots += max(up.Load.Slots, 1)
		work += max(up.Load.Running+up.Load.Queued-up.OwnAtReport, 0) + up.OwnAttempts
		cs.local[cs.localCount] = uint8(ix)
		if up.Host.Zone == pk.zone {
			// Moves upstreams of the local availability zone to the front.
			cs.local[cs.localCount], cs.local[cs.zoneCount] = cs.local[cs.zoneCount], uint8(ix)
			cs.zoneCount++
		}
		cs.localCount++
	}
	if slots > 0 {
		cs.mean = float64(work) / float64(slots)
	}
}

// twoChoices draws pairs until it finds an upstream that is not slow and whose load
// is at most maxLoad, and returns the least loaded one seen. A slow upstream that is
// due for a probe is returned at once with load 0. Without candidates it returns -1
// and noCandidateLoad.
func (pk *Picker) twoChoices(cs *candidateSet, among []uint8, draw func(n int) int, maxLoad float64) (best int, load float64) {
	best, load = -1, noCandidateLoad
	for range maxDraws {
		if len(among) == 0 || load <= maxLoad {
			break
		}
		one := draw(len(among))
		two := one
		if len(among) > 1 {
			two = (one + 1 + draw(len(among)-1)) % len(among)
		}
		for _, at := range [2]int{one, two} {
			ix := int(among[at])
			lo, probe := pk.load(cs, ix)
			if probe {
				return ix, 0
			}
			if lo < load {
				best, load = ix, lo
			}
		}
	}
	return best, load
}

// noCandidateLoad is above any load. slowPenalty is added to the load of a slow
// upstream, so that it is picked only if no other is drawn.
const (
	noCandidateLoad = 1e9
	slowPenalty     = 1e6
)

// load returns the fraction of an upstream's slots that is in use once the attempt
// runs there, plus slowPenalty if the upstream is slow; and whether the attempt is
// to probe whether it is still slow.
func (pk *Picker) load(cs *candidateSet, ix int) (lo float64, probe bool) {
	up := &cs.cands[ix]
	lo = utilisation(cs.now, up, cs.mean)
	us := pk.upstreams[up.Host.ID]
	if us == nil || !us.isSlow(cs.now, cs.ps) {
		return lo, false
	}
	if us.tryProbe(cs.now, cs.ps) {
		return lo, true
	}
	return lo + slowPenalty, false
}

// reportHalfAge is the age at which a load report has half its weight. Attempts
// usually take a second or two, so after a second about half of those counted in
// the report have ended.
const reportHalfAge = time.Second

// utilisation returns the number of attempts at an upstream, including the new one,
// divided by its slots. The attempts of other entries are known only from the load
// report; as it ages, a number above the region's mean is moved towards the mean, so
// that an old report of a full upstream does not divert attempts for too long.
func utilisation(now time.Time, up *core.Upstream, mean float64) float64 {
	slots := float64(max(up.Load.Slots, 1))
	others := float64(max(up.Load.Running+up.Load.Queued-up.OwnAtReport, 0))
	if age := now.Sub(up.ReportedAt); age > 0 && !up.ReportedAt.IsZero() {
		weight := float64(reportHalfAge) / float64(reportHalfAge+age)
		expected := max(mean*slots-float64(up.OwnAttempts), 0)
		others = weight*others + (1-weight)*min(others, expected)
	}
	return (others + float64(up.OwnAttempts) + 1) / slots
}
