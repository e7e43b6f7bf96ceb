package placement

import "time"

const (
	// MaxCrossing bounds the body of an attempt that goes to another region
	// because its own is full. The benefit is one answer, whatever it weighs:
	// a floor plan of some megabytes would take the link from thirty short
	// questions.
	MaxCrossing = 128 << 10
	// answerBytes is kept of the budget for an answer: a few hundred pieces of
	// a stream at some hundred and fifty bytes each.
	answerBytes = 48 << 10
	// linkBurst is how many seconds of the budget may be saved up. The link
	// has a queue of its own; more than a second of data in it would hold up
	// the store's traffic.
	linkBurst = 1.0
)

// budget is a token bucket of bytes. It may go below nothing, as an answer's
// size is known only when it has crossed.
type budget struct {
	rate, level float64
	last        time.Time
}

func newBudget(rate float64) budget { return budget{rate: rate, level: rate * linkBurst} }

func (bu *budget) refill(now time.Time) {
	if !bu.last.IsZero() {
		bu.level = min(bu.level+bu.rate*now.Sub(bu.last).Seconds(), bu.rate*linkBurst)
	}
	bu.last = now
}

// MayCross reports whether the link's budget allows one more attempt with a
// body of this many bytes.
func (pk *Picker) MayCross(now time.Time, body int) bool {
	pk.link.refill(now)
	return pk.link.rate > 0 && pk.link.level >= min(float64(body+answerBytes), pk.link.rate*linkBurst)
}

// Crossed charges bytes that went over the link between regions.
func (pk *Picker) Crossed(now time.Time, bytes int) {
	pk.link.refill(now)
	pk.link.level -= float64(bytes)
}

// cross chooses an upstream of another region. The load it is made for is a
// region so full that the request would be refused, or cut off from all its
// upstreams, while another has room. The budget keeps the store's and the configuration's traffic, which
// share the link, from waiting behind answers, and bounds what it costs.
func (pk *Picker) cross(fi *field, rq Request, draw func(n int) int, enough float64) (Choice, bool) {
	if fi.fars == 0 || !pk.MayCross(fi.now, rq.Body) {
		return Choice{}, false
	}
	ix, load := pk.twoChoices(fi, fi.far[:fi.fars], draw, max(enough, slotFree))
	if enough > 0 && load > enough {
		return Choice{}, false
	}
	pk.Crossed(fi.now, rq.Body)
	return Choice{ID: fi.cands[ix].Host.ID, Crossing: true}, true
}
