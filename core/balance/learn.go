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
