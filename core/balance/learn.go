package balance

import (
	"time"

	"skylarkstand/core"
)

// trusted is how many answers make a learned time reliable.
const trusted = 8

// poolKey separates answers that take unlike times.
type poolKey struct {
	service core.ServiceID
	model   core.ModelID
	route   string
}

// pool follows the usual time to an answer's header.
type pool struct {
	mean  float64 // seconds
	count int
}

// poolWeight weighs the newest answer; poolOddest bounds it, in means.
const (
	poolWeight = 1.0 / 24
	poolOddest = 4
)

func (pk *Picker) pool(rq Request) *pool {
	key := poolKey{rq.Service, rq.Model, rq.Pool}
	pl := pk.pools[key]
	if pl == nil {
		pl = new(pool)
		pk.pools[key] = pl
	}
	return pl
}

func (pl *pool) learn(took time.Duration) {
	pl.count++
	val := took.Seconds()
	if pl.count > 1 {
		val = min(val, poolOddest*pl.mean)
	}
	pl.mean += max(poolWeight, 1/float64(pl.count)) * (val - pl.mean)
}

// usual returns the mean, or what is assumed before any answer.
func (pl *pool) usual(assumed time.Duration) time.Duration {
	if pl.count == 0 {
		return assumed
	}
	return time.Duration(pl.mean * float64(time.Second))
}

// rate follows the time in which an engine reads a thousand tokens of a prompt
// with one model.
type rate struct{ thousand float64 }

const (
	// readAssumed is the time for a thousand tokens before any was seen: 38
	// tokens a millisecond as the largest models take.
	readAssumed = 80 * time.Millisecond
	readWeight  = 1.0 / 32
	// readLeast and readMost bound what is learned: an answer that waited for
	// something else than reading must not make every prompt look dear.
	readLeast = 4 * time.Millisecond
	readMost  = 250 * time.Millisecond
	// overhead is the part of the time to the first token that no token of the
	// prompt is to blame for.
	overhead = 60 * time.Millisecond
)

func (pk *Picker) read(mo core.ModelID) *rate {
	ra := pk.reads[mo]
	if ra == nil {
		ra = &rate{thousand: float64(readAssumed)}
		pk.reads[mo] = ra
	}
	return ra
}

func (ra *rate) get() time.Duration { return time.Duration(ra.thousand) }

// learn corrects the rate by an answer that took so long, of which cost was
// expected for its own prompt and pending for all that were waiting there.
func (ra *rate) learn(took, cost, pending time.Duration) {
	expected := max(cost, pending)
	if cost < 5*time.Millisecond {
		return // Nearly all of it was kept; it says nothing about reading.
	}
	ratio := float64(max(took-overhead, 0)) / float64(expected)
	ratio = min(max(ratio, 0.25), 4)
	ra.thousand += readWeight * (ra.thousand*ratio - ra.thousand)
	ra.thousand = min(max(ra.thousand, float64(readLeast)), float64(readMost))
}
