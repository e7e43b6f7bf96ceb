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
	la := pk.latencies[key]
	if la == nil {
		la = new(latency)
		pk.latencies[key] = la
	}
	return la
}

func (la *latency) observe(took time.Duration) {
	la.count++
	val := took.Seconds()
	if la.count > 1 {
		val = min(val, maxOutlier*la.mean)
	}
	la.mean += max(latencyWeight, 1/float64(la.count)) * (val - la.mean)
}

// meanOr returns the mean, or a default before the first response.
func (la *latency) meanOr(fallback time.Duration) time.Duration {
	if la.count == 0 {
		return fallback
	}
	return time.Duration(la.mean * float64(time.Second))
}
