package balance

import (
	"skylarkstand/core"
	"skylarkstand/core/mechanism"
)

// slowdown estimates how long work takes at one upstream, as a multiple of the usual time.
//
// It answers a pool whose upstreams differ in speed and share their hosts with others. A single
// report changes many times a second; the mean of an upstream's reports differs by a factor of three
// between upstreams and lasts. Each entry hears from an upstream only now and then, so that entries
// announce their estimates, and move towards each other's.
type slowdown struct {
	// mean is 0 until something is known.
	mean  float64
	count int
}

const (
	// slowdownWeight is the weight of a report, and announcedWeight that of a sibling's estimate.
	slowdownWeight  = 0.08
	announcedWeight = 0.04
	// minSlowdown and maxSlowdown bound a report.
	minSlowdown = 0.25
	maxSlowdown = 8.0
)

// factor returns the factor on the usual time.
func (sd *slowdown) factor() float64 {
	if sd.mean == 0 {
		return 1
	}
	return sd.mean
}

// observe records what an upstream reported. The first reports count like one of an upstream of the
// usual speed.
func (sd *slowdown) observe(reported float64) {
	if reported <= 0 {
		return
	}
	sd.count++
	sd.add(reported, max(slowdownWeight, 1/float64(sd.count+1)))
}

// receive records a sibling's estimate.
func (sd *slowdown) receive(announced float64) {
	if announced > 0 {
		sd.add(announced, max(announcedWeight, 1/float64(sd.count+4)))
	}
}

func (sd *slowdown) add(val, weight float64) {
	sd.mean = sd.factor() + weight*(min(max(val, minSlowdown), maxSlowdown)-sd.factor())
}

// slowdownOf returns the factor on the usual time at an upstream.
func (pk *Picker) slowdownOf(us *upstreamState) float64 {
	if pk.off.Has(mechanism.Slowdowns) {
		return 1
	}
	return us.slowdown.factor()
}

// reportedSlowdown returns the factor on the usual time that a response reports.
func (pk *Picker) reportedSlowdown(lo *core.Load) float64 {
	if lo == nil || lo.Slowdown <= 0 || pk.off.Has(mechanism.Slowdowns) {
		return 1
	}
	return min(max(lo.Slowdown, minSlowdown), maxSlowdown)
}
