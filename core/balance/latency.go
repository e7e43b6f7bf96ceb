package balance

import (
	"time"

	"skylarkstand/core"
)

// minSamples is how many responses make a learned latency reliable.
const minSamples = 8

// latencyKey separates responses whose latencies differ.
type latencyKey struct {
	service core.ServiceID
	model   core.ModelID
	route   string
}

// latency is a moving average of the time to the response header.
type latency struct {
	mean  float64 // seconds
	count int
}

// latencyWeight is the weight of the newest sample; maxOutlier caps a sample, as a multiple of the
// mean.
const (
	latencyWeight = 1.0 / 24
	maxOutlier    = 4
)

func (pk *Picker) latency(rq Request) *latency {
	key := latencyKey{rq.Service, rq.Model, rq.Route}
	pl := pk.latencies[key]
	if pl == nil {
		pl = new(latency)
		pk.latencies[key] = pl
	}
	return pl
}

func (pl *latency) learn(took time.Duration) {
	pl.count++
	val := took.Seconds()
	if pl.count > 1 {
		val = min(val, maxOutlier*pl.mean)
	}
	pl.mean += max(latencyWeight, 1/float64(pl.count)) * (val - pl.mean)
}

// meanOr returns the mean, or a default before the first response.
func (pl *latency) meanOr(fallback time.Duration) time.Duration {
	if pl.count == 0 {
		return fallback
	}
	return time.Duration(pl.mean * float64(time.Second))
}
