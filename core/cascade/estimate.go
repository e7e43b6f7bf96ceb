package cascade

import (
	"math"
	"time"
)

const (
	// halfLife is how fast old observations lose their weight. A version's
	// quality changes with what callers ask and with faults in service; what
	// was seen an hour ago says little about now.
	halfLife = 30 * time.Minute
	// window bounds the weight of all observations. Under heavy load many come
	// within a half-life, and a change would be outvoted by them for minutes.
	window = 400
	// trusted is the weight of observations from which on a prior counts for
	// nothing. A prior that never goes leaves a small error in every estimate,
	// and over a long mix the target would be missed by as much.
	trusted = 100
)

// estimate is a mean whose observations fade.
type estimate struct {
	sum, weight float64
	at          time.Time
}

func (es *estimate) fade(now time.Time) {
	if passed := now.Sub(es.at); !es.at.IsZero() && passed > 0 {
		keep := math.Exp2(-float64(passed) / float64(halfLife))
		es.sum *= keep
		es.weight *= keep
	}
	if now.After(es.at) {
		es.at = now
	}
}

func (es *estimate) add(now time.Time, val float64) {
	es.fade(now)
	es.sum += val
	es.weight++
	if es.weight > window {
		es.sum *= window / es.weight
		es.weight = window
	}
}

// value returns the mean, in which a prior counts as so many observations
// until there are enough of them.
func (es *estimate) value(prior, strength float64) float64 {
	strength *= max(1-es.weight/trusted, 0)
	if es.weight+strength == 0 {
		return prior
	}
	return (es.sum + prior*strength) / (es.weight + strength)
}

// recent holds the last observations, whose spread matters.
type recent struct {
	vals [recentLen]float64
	n    int
}

// recentLen is enough to see a tail of a tenth and cheap to add up.
const recentLen = 64

func (rc *recent) add(val float64) {
	rc.vals[rc.n%recentLen] = val
	rc.n++
}

func (rc *recent) all() []float64 { return rc.vals[:min(rc.n, recentLen)] }
