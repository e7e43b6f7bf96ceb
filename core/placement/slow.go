package placement

import (
	"time"

	"skylarkstand/core"
)

// pool is what is known of a pool.
type pool struct {
	usual   mean // seconds to the first piece
	pace    mean // seconds a piece, once an answer has begun
	picks   int
	size    int // candidates at the last decision
	marked  int // upstreams that are marked slow
	probed  int
	probeAt time.Time
}

// peer is what was seen of one upstream.
type peer struct {
	// ratio is its pace as a multiple of the pool's, so that streamed and
	// whole answers count together.
	ratio   float64
	marked  bool
	waiting int
	// since is when a first piece last came, or when the oldest attempt began
	// to wait for one.
	since time.Time
}

const (
	// slowAt is the multiple of the usual pace above which an upstream is
	// avoided, and soundAt the one below which it is used again. The pace of
	// an engine changes with the size of its batch, by less than twofold as a
	// rule; the gap keeps an upstream from changing sides with each answer.
	slowAt  = 3.0
	soundAt = 1.5
	// oddest bounds what one answer can say, so that a single one that was
	// held up does not mark an upstream; two in a row do.
	oddest = 8.0
	// steady bounds what one answer can say of the pool's pace. In a pool of
	// four, a slow upstream would otherwise lift the mean to a third of its
	// own pace before it is marked, and so never be.
	steady = 2.0
	// smoothUp and smoothDown weigh the newest answer. A marked upstream gets
	// few attempts, so that each has to count more.
	smoothUp   = 0.25
	smoothDown = 0.5
	smoothPool = 1.0 / 32
	// slowPart bounds the upstreams of a pool that are avoided as slow.
	slowPart = 5
	// silentAt is the multiple of the usual time to the first piece that an
	// upstream may leave all its attempts without one. It holds attempts back
	// from a slow or hanging one before its first answer has ended.
	silentAt = 6
	// A slow upstream gets one attempt in probePart, or one in probePause when
	// there are few, to see whether it has recovered. A probe may cost its
	// caller the slow time, so probes stay well below one in a hundred.
	probePart  = 400
	probePause = 30 * time.Second
	// PacePieces is how many pieces after the first the pace of an answer is
	// taken over: few, so that a slow upstream is known before its answers
	// end, and enough that a single late packet is no matter.
	PacePieces = 8
	// PaceTokens is the shortest answer in one piece that the pace is taken
	// from. The time before its first token counts in it as well, so a short
	// one would make its upstream look slow.
	PaceTokens = 64
)

func (pk *Picker) pool(po Pool) *pool {
	pl := pk.pools[po]
	if pl == nil {
		pl = new(pool)
		pk.pools[po] = pl
	}
	return pl
}

func (pk *Picker) peer(id core.UpstreamID) *peer {
	pe := pk.peers[id]
	if pe == nil {
		pk.forget()
		pe = &peer{ratio: 1}
		pk.peers[id] = pe
	}
	return pe
}

// maxPeers bounds what is remembered. Hosts are replaced at any time, and each
// comes back under a new id; without a bound the table would grow for as long
// as the process lives.
const maxPeers = 4096

// forget makes room by dropping upstreams of which nothing is awaited and
// nothing bad is known. What it knew of one in use is soon learned again.
func (pk *Picker) forget() {
	if len(pk.peers) < maxPeers {
		return
	}
	for id, pe := range pk.peers {
		if pe.waiting == 0 && !pe.marked {
			delete(pk.peers, id)
		}
	}
}

// Sent notes that an attempt was handed to an upstream.
func (pk *Picker) Sent(now time.Time, id core.UpstreamID) {
	pe := pk.peer(id)
	if pe.waiting == 0 {
		pe.since = now
	}
	pe.waiting++
}

// Heard notes the first piece of an answer to an attempt that was sent.
func (pk *Picker) Heard(now time.Time, po Pool, id core.UpstreamID, sent time.Time) {
	pl, pe := pk.pool(po), pk.peer(id)
	pe.waiting = max(pe.waiting-1, 0)
	pe.since = now
	pl.usual.follow(now.Sub(sent).Seconds(), oddest)
}

// mean follows a value; 0 is unknown.
type mean struct {
	val   float64
	count int
}

// follow takes the newest value in. The first ones count alike: were the very
// first to count for long, a pool that met its slow upstream first would take
// that for the usual. A value counts for at most so many times the usual.
func (me *mean) follow(val, most float64) {
	if me.count == 0 {
		me.val = val
	}
	me.count++
	me.val += max(smoothPool, 1/float64(me.count)) * (min(val, most*me.val) - me.val)
}

// Paced notes how long pieces of an answer took, once it had begun. The time
// to the first piece would tell more about an upstream's queue than about its
// speed: in a full pool every upstream would be slow.
func (pk *Picker) Paced(po Pool, id core.UpstreamID, took time.Duration, pieces int) {
	pl, pe := pk.pool(po), pk.peer(id)
	pace := max(took.Seconds(), 1e-6) / float64(max(pieces, 1))
	ratio := 1.0
	if pl.pace.count > 0 {
		ratio = min(pace/pl.pace.val, oddest)
	}
	weight := smoothUp
	if pe.marked && ratio < pe.ratio {
		weight = smoothDown
	}
	pe.ratio += weight * (ratio - pe.ratio)
	// A slow upstream does not change what is usual; otherwise a pool with one
	// would soon find it usual.
	if !pe.marked {
		pl.pace.follow(pace, steady)
	}
	pl.mark(pe)
}

func (pl *pool) mark(pe *peer) {
	switch {
	case pe.ratio > slowAt && !pe.marked:
		pe.marked = true
		pl.marked++
	case pe.ratio < soundAt && pe.marked:
		pe.marked = false
		pl.marked--
	}
}

// Failed notes that an attempt that was sent brought no answer. It says
// nothing about speed: refusals come fast.
func (pk *Picker) Failed(now time.Time, id core.UpstreamID) {
	pe := pk.peer(id)
	pe.waiting = max(pe.waiting-1, 0)
	pe.since = now
}

// slow reports whether an upstream is to be avoided.
//
// One slow upstream looks idle to its load report as soon as it is avoided,
// and before that holds each attempt many times as long as the others do. Its
// callers notice, the report does not; so it is judged by the answers.
//
// When many are slow, it is the load and not the upstreams: avoiding them
// would put all of it on the rest, which would then be slow as well.
func (pe *peer) slow(now time.Time, pl *pool) bool {
	if pl.marked > max(pl.size/slowPart, 1) {
		return false
	}
	if pe.marked {
		return true
	}
	return pe.waiting > 0 && pl.usual.count > 0 && now.Sub(pe.since).Seconds() > silentAt*pl.usual.val
}

// mayProbe takes the pool's turn to probe, if it is due.
func (pe *peer) mayProbe(now time.Time, pl *pool) bool {
	if pe.waiting > 0 || pl.picks-pl.probed < probePart && now.Sub(pl.probeAt) < probePause {
		return false
	}
	pl.probed, pl.probeAt = pl.picks, now
	return true
}
