package placement

import "time"

const (
	// MaxCrossRegionBody bounds the body, in bytes, of an attempt that goes to another
	// region because the local one is full. The benefit is one response whatever
	// the body's size: a floor plan of some megabytes would use as much of the
	// link's budget as thirty short questions.
	MaxCrossRegionBody = 128 << 10
	// responseBytes is the part of the budget reserved for an attempt's response:
	// a few hundred stream events of some hundred and fifty bytes each.
	responseBytes = 48 << 10
	// linkBurstSeconds is the burst size, in seconds of the budget. More than a
	// second of data in the link's queue would delay the store's traffic.
	linkBurstSeconds = 1.0
)

// budget is a token bucket of bytes. Its level may become negative, since the size
// of a response is known only after it was transferred.
type budget struct {
	rate, level float64
	last        time.Time
}

func newBudget(rate float64) budget { return budget{rate: rate, level: rate * linkBurstSeconds} }

func (bu *budget) refill(now time.Time) {
	if !bu.last.IsZero() {
		bu.level = min(bu.level+bu.rate*now.Sub(bu.last).Seconds(), bu.rate*linkBurstSeconds)
	}
	bu.last = now
}

// HasCrossRegionBudget reports whether the link's budget allows one more attempt with a body of
// the given size.
func (pk *Picker) HasCrossRegionBudget(now time.Time, body int) bool {
	pk.link.refill(now)
	return pk.link.rate > 0 && pk.link.level >= min(float64(body+responseBytes), pk.link.rate*linkBurstSeconds)
}

// ChargeCrossRegion charges the budget for bytes sent or received over the link between
// regions.
func (pk *Picker) ChargeCrossRegion(now time.Time, bytes int) {
	pk.link.refill(now)
	pk.link.level -= float64(bytes)
}

// pickCrossRegion picks an upstream of another region whose load is at most maxLoad
// (0 means no bound). It is used when the local region is so full that the request
// would be refused, or has lost all its upstreams, while another region has free
// capacity. The budget bounds the cost, and keeps the traffic of the store and of
// the configuration, which share the link, from queueing behind responses.
func (pk *Picker) pickCrossRegion(cs *candidateSet, rq Request, draw func(n int) int, maxLoad float64) (Choice, bool) {
	if cs.remoteCount == 0 || !pk.HasCrossRegionBudget(cs.now, rq.Body) {
		return Choice{}, false
	}
	ix, load := pk.twoChoices(cs, cs.remote[:cs.remoteCount], draw, max(maxLoad, freeSlotLoad))
	if maxLoad > 0 && load > maxLoad {
		return Choice{}, false
	}
	pk.ChargeCrossRegion(cs.now, rq.Body)
	return Choice{ID: cs.cands[ix].Host.ID, CrossRegion: true}, true
}
