package cascade

import (
	"math"
	"time"
)

const (
	// halfLife is the time in which the weight of observations halves. A version's
	// quality changes with the requests and with faults in operation, so that
	// observations of an hour ago are of little use.
	halfLife = 30 * time.Minute
	// maxWeight bounds the total weight of the observations. Under heavy load many
	// fall within a half-life, and would outweigh a change for minutes.
	maxWeight = 400
	// priorFadeWeight is the weight of observations at which the prior no longer
	// counts. A prior that always counted would bias every estimate a little, and the
	// mix would miss its target by that much.
	priorFadeWeight = 100
)

// estimate is a mean with exponentially decaying weights.
type estimate struct {
	sum, weight float64
	at          time.Time
}

func (es *estimate) decay(now time.Time) {
	if elapsed := now.Sub(es.at); !es.at.IsZero() && elapsed > 0 {
		keep := math.Exp2(-float64(elapsed) / float64(halfLife))
		es.sum *= keep
		es.weight *= keep
	}
	if now.After(es.at) {
		es.at = now
	}
}

func (es *estimate) add(now time.Time, val float64) {
	es.decay(now)
	es.sum += val
	es.weight++
	if es.weight > maxWeight {
		es.sum *= maxWeight / es.weight
		es.weight = maxWeight
	}
}

// value returns the mean. The prior counts as priorWeight observations at first, and
// linearly less until the observations reach priorFadeWeight.
func (es *estimate) value(prior, priorWeight float64) float64 {
	priorWeight *= max(1-es.weight/priorFadeWeight, 0)
	if es.weight+priorWeight == 0 {
		return prior
	}
	return (es.sum + prior*priorWeight) / (es.weight + priorWeight)
}

// recentValues is a ring buffer of the last observations, for their distribution.
type recentValues struct {
	vals [maxRecent]float64
	n    int
}

// maxRecent is enough to represent the slowest tenth, and cheap to sum up.
const maxRecent = 64

func (rv *recentValues) add(val float64) {
	rv.vals[rv.n%maxRecent] = val
	rv.n++
}

func (rv *recentValues) values() []float64 { return rv.vals[:min(rv.n, maxRecent)] }
