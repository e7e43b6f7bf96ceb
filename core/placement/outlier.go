package placement

import (
	"time"

	"skylarkstand/core"
)

// poolStats holds the observations of a pool.
type poolStats struct {
	firstChunkSeconds movingMean // time to the first chunk
	secondsPerChunk   movingMean // time per chunk after the first
	picks             int
	size              int // number of available candidates at the last decision
	slowCount         int // number of upstreams marked slow
	lastProbePick     int
	lastProbe         time.Time
}

// upstreamStats holds the observations of one upstream.
type upstreamStats struct {
	// slowdown is the moving average of its time per chunk as a multiple of the pool's
	// mean, so that streamed and unstreamed responses can be averaged together.
	slowdown   float64
	markedSlow bool
	pending    int
	// since is the time of the last first chunk or failure, or the time at which
	// the first of the pending attempts was sent.
	since time.Time
}

const (
	// slowRatio is the slowdown above which an upstream is avoided, recoveredRatio
	// the slowdown below which it is used again. An engine's time per chunk varies with
	// its batch size, normally by less than twofold; the gap provides hysteresis, so
	// that an upstream does not change state with each response.
	slowRatio      = 3.0
	recoveredRatio = 1.5
	// maxAnswerRatio bounds the ratio observed for one response, so that a single
	// delayed response does not mark an upstream as slow; two in a row do.
	maxAnswerRatio = 8.0
	// maxPoolRatio bounds the effect of one response on the pool's time per chunk.
	// In a pool of four, a slow upstream would otherwise raise the mean to a third of
	// its own time per chunk before it is marked, and so never be marked.
	maxPoolRatio = 2.0
	// smoothing is the weight of the newest response in slowdown. If it lowers the
	// ratio of an upstream marked slow, recoverySmoothing is used instead: such an
	// upstream gets few attempts, so each must count more.
	smoothing         = 0.25
	recoverySmoothing = 0.5
	poolSmoothing     = 1.0 / 32
	// maxSlowDivisor: if more than one in this many upstreams of a pool, and more than
	// one, are marked slow, none is avoided.
	maxSlowDivisor = 5
	// silenceFactor is the multiple of the mean time to the first chunk for which an
	// upstream may return no first chunk to any of its attempts. It detects a slow or
	// hanging upstream before its first response has ended.
	silenceFactor = 6
	// A pool sends one attempt in probePicks, or one per probeInterval if there are
	// few, to a slow upstream, to detect its recovery. A probe may be slow for its
	// caller, so the probes stay well below one attempt in a hundred.
	probePicks    = 400
	probeInterval = 30 * time.Second
	// MeasuredChunks is the number of chunks after the first over which the time per
	// chunk of a response is measured: few enough to detect a slow upstream before
	// its responses end, and enough that a single late packet has little effect.
	MeasuredChunks = 8
	// MinMeasuredTokens is the length, in tokens, of the shortest unstreamed response whose time
	// per token is measured. It includes the time to first token, so a short response
	// would make its upstream look slow.
	MinMeasuredTokens = 64
)

func (pk *Picker) pool(po Pool) *poolStats {
	ps := pk.pools[po]
	if ps == nil {
		ps = new(poolStats)
		pk.pools[po] = ps
	}
	return ps
}

func (pk *Picker) upstream(id core.UpstreamID) *upstreamStats {
	us := pk.upstreams[id]
	if us == nil {
		pk.evictIdle()
		us = &upstreamStats{slowdown: 1}
		pk.upstreams[id] = us
	}
	return us
}

// maxUpstreams bounds the number of upstreamStats. Replaced hosts get new ids, so
// without a bound the table would grow for the lifetime of the process.
const maxUpstreams = 4096

// evictIdle deletes the upstreams with no pending attempt that are not marked slow,
// once the table is full. Those still in use are soon observed again.
func (pk *Picker) evictIdle() {
	if len(pk.upstreams) < maxUpstreams {
		return
	}
	for id, us := range pk.upstreams {
		if us.pending == 0 && !us.markedSlow {
			delete(pk.upstreams, id)
		}
	}
}

// RecordSent records that an attempt was sent to an upstream.
func (pk *Picker) RecordSent(now time.Time, id core.UpstreamID) {
	us := pk.upstream(id)
	if us.pending == 0 {
		us.since = now
	}
	us.pending++
}

// RecordFirstChunk records the first chunk of the response to an attempt sent at a given time.
func (pk *Picker) RecordFirstChunk(now time.Time, po Pool, id core.UpstreamID, sent time.Time) {
	ps, us := pk.pool(po), pk.upstream(id)
	us.pending = max(us.pending-1, 0)
	us.since = now
	ps.firstChunkSeconds.observe(now.Sub(sent).Seconds(), maxAnswerRatio)
}

// movingMean is a moving average; it is unknown while count is 0.
type movingMean struct {
	val   float64
	count int
}

// observe adds a value, bounded to maxRatio times the mean. The first values have
// equal weights: if the very first one dominated, a pool that uses its slow upstream
// first would take that for normal.
func (mm *movingMean) observe(val, maxRatio float64) {
	if mm.count == 0 {
		mm.val = val
	}
	mm.count++
	mm.val += max(poolSmoothing, 1/float64(mm.count)) * (min(val, maxRatio*mm.val) - mm.val)
}

// RecordChunks records the time that a number of chunks of a response took after the first.
// The time to the first chunk depends more on an upstream's queue than on its speed:
// in a full pool, every upstream would look slow. An unstreamed response arrives as a single
// chunk: its tokens are counted instead, and the time is that since the attempt was sent.
func (pk *Picker) RecordChunks(po Pool, id core.UpstreamID, took time.Duration, chunks int) {
	ps, us := pk.pool(po), pk.upstream(id)
	perChunk := max(took.Seconds(), 1e-6) / float64(max(chunks, 1))
	ratio := 1.0
	if ps.secondsPerChunk.count > 0 {
		ratio = min(perChunk/ps.secondsPerChunk.val, maxAnswerRatio)
	}
	weight := smoothing
	if us.markedSlow && ratio < us.slowdown {
		weight = recoverySmoothing
	}
	us.slowdown += weight * (ratio - us.slowdown)
	// An upstream marked slow does not affect the pool's mean; otherwise its speed
	// would soon count as normal.
	if !us.markedSlow {
		ps.secondsPerChunk.observe(perChunk, maxPoolRatio)
	}
	ps.updateSlow(us)
}

func (ps *poolStats) updateSlow(us *upstreamStats) {
	switch {
	case us.slowdown > slowRatio && !us.markedSlow:
		us.markedSlow = true
		ps.slowCount++
	case us.slowdown < recoveredRatio && us.markedSlow:
		us.markedSlow = false
		ps.slowCount--
	}
}

// RecordFailure records that an attempt that was sent got no response. It does not affect
// the measured speed, since refusals arrive fast.
func (pk *Picker) RecordFailure(now time.Time, id core.UpstreamID) {
	us := pk.upstream(id)
	us.pending = max(us.pending-1, 0)
	us.since = now
}

// isSlow reports whether an upstream is to be avoided.
//
// A slow upstream takes many times as long for each attempt as the others, but once
// it is avoided, its load report looks idle. Slowness is therefore detected by the
// responses, not by the load reports.
//
// If many upstreams are slow, the cause is the load: avoiding them would move all of
// it to the rest, which would then become slow too.
func (us *upstreamStats) isSlow(now time.Time, ps *poolStats) bool {
	if ps.slowCount > max(ps.size/maxSlowDivisor, 1) {
		return false
	}
	if us.markedSlow {
		return true
	}
	return us.pending > 0 && ps.firstChunkSeconds.count > 0 && now.Sub(us.since).Seconds() > silenceFactor*ps.firstChunkSeconds.val
}

// tryProbe reports whether the attempt is to probe a slow upstream. If so, it
// schedules the pool's next probe.
func (us *upstreamStats) tryProbe(now time.Time, ps *poolStats) bool {
	if us.pending > 0 || ps.picks-ps.lastProbePick < probePicks && now.Sub(ps.lastProbe) < probeInterval {
		return false
	}
	ps.lastProbePick, ps.lastProbe = ps.picks, now
	return true
}
