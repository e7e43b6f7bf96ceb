package balance

import (
	"time"

	"skylarkstand/core"
)

// reading follows how long engines take to read prompts, from the times to the
// headers of their answers.
//
// The time to a header is the reading of the prompt, what was read before it and
// the way there. Of these the first is wanted, and the other two are never
// negative: so a low quantile is followed, of attempts before which nothing was
// known to wait. A mean takes the waits of a busy pool for slow reading.
type reading struct {
	// way is the time to a header that no token of the prompt is to blame for.
	way quantile
	// models are the times for a thousand tokens.
	models map[core.ModelID]*quantile
}

const (
	// readAssumed is the time for a thousand tokens before any model was seen,
	// about that of the largest model of a slow deployment.
	readAssumed = 80 * time.Millisecond
	// readPart is the quantile that is followed for reading: low, since unknown
	// waits only add, but above the answers to prompts that were kept without this
	// entry's knowledge.
	readPart = 0.4
	// wayPart is that for the way there: prompts that were kept whole.
	wayPart = 0.1
	// tellingRead is the tokens of a prompt that tells the most about reading: to
	// a shorter one the way there adds more.
	tellingRead = 2000
)

func newReading() reading { return reading{models: map[core.ModelID]*quantile{}} }

// thousand returns the time in which a model reads a thousand tokens. One that
// was not seen yet is taken to be as slow as the slowest: too fast a guess piles
// long prompts on one engine, too slow a one only spreads them.
func (re *reading) thousand(mo core.ModelID) time.Duration {
	if qu := re.models[mo]; qu != nil {
		return qu.get()
	}
	slowest := time.Duration(0)
	for _, qu := range re.models {
		slowest = max(slowest, qu.get())
	}
	if slowest == 0 {
		return readAssumed
	}
	return slowest
}

// learn notes the time to the header of an answer whose prompt had so many
// tokens to be read, at an engine where nothing else was known to wait. At least
// half of it is taken for reading: what the way takes is not known at first.
func (re *reading) learn(mo core.ModelID, fresh core.Tokens, took time.Duration) {
	re.way.learn(took, wayPart, 1)
	if fresh <= 0 {
		return
	}
	qu := re.models[mo]
	if qu == nil {
		qu = new(quantile)
		re.models[mo] = qu
	}
	own := max(took-re.way.get(), took/2)
	qu.learn(time.Duration(1000*float64(own)/float64(fresh)), readPart, min(float64(fresh)/tellingRead, 1))
}

// quantile follows a quantile of times, each of which moves it by a part of
// itself: it follows faster and slower engines alike, and one odd time is no
// matter.
type quantile struct {
	value float64 // nanoseconds
	seen  float64
}

const (
	// quantileStep is the part by which a time moves what is followed once many
	// were seen: it doubles over some twenty that are above.
	quantileStep = 0.08
	// quantileLeast is the least that is followed; nothing moves away from zero.
	quantileLeast = float64(10 * time.Microsecond)
)

func (qu *quantile) get() time.Duration { return time.Duration(qu.value) }

// learn moves the value towards a quantile, from 0 to 1, of the times that it is
// given. The first one is taken as it is, and the next few move it far.
func (qu *quantile) learn(took time.Duration, part, weight float64) {
	if qu.seen == 0 {
		qu.value = max(float64(took), quantileLeast)
	}
	qu.seen += weight
	step := weight * max(quantileStep, 1/(1+qu.seen))
	if float64(took) < qu.value {
		qu.value *= 1 - step*(1-part)
	} else {
		qu.value *= 1 + step*part
	}
	qu.value = max(qu.value, quantileLeast)
}
