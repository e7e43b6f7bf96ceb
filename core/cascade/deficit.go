package cascade

import (
	"math"
	"time"
)

const (
	// deficitScale is the deficit, in good answers, at which the value of a good
	// answer equals the price of the costliest stage. With a smaller one, the value
	// follows the target more closely, but the random variation of single ratings
	// moves it by more than a tenth; with a larger one, it takes thousands of
	// requests to settle.
	deficitScale = 30
	// initialDeficit is well above the deficit at which the costliest stage pays
	// off, so that the first requests err on the side of quality.
	initialDeficit = 2.5 * deficitScale
	// maxDeficit bounds the value of a good answer. With a target that no stage can
	// meet, the deficit would grow without bound, and after the target is lowered,
	// the cascade would keep running its costliest stage for hours.
	maxDeficit = 20 * deficitScale
	// initialTailLatency is the tail latency assumed before the first answer, and
	// tailLatencyStep the step size by which one answer moves its logarithm.
	initialTailLatency = 2 * time.Second
	tailLatencyStep    = 0.01
)

// deficit is how many good answers a workspace's mix of stages in one cascade lacks
// to meet its quality target, plus initialDeficit. It settles at the value at which
// the mix meets the target.
//
// It is the Lagrange multiplier of the quality target in the minimisation of cost. It
// rises with each answer while the mix is below its target, and falls while it is
// above.
type deficit struct {
	answers float64
	// costliestPrice is the mean price of the costliest stage over all classes.
	costliestPrice estimate
	// tailLatency is the latency, in seconds, that a fraction tailShare of the
	// answers exceeds.
	tailLatency float64
}

func newDeficit() *deficit {
	return &deficit{answers: initialDeficit, tailLatency: initialTailLatency.Seconds()}
}

func (de *deficit) add(shortfall float64, took time.Duration) {
	de.answers = min(max(de.answers+shortfall, 0), maxDeficit)
	over := -tailShare
	if took.Seconds() > de.tailLatency {
		over++
	}
	de.tailLatency *= math.Exp(tailLatencyStep * over)
}

// correct adjusts the deficit for an answer that was added with its expected quality
// and rated afterwards. Only a fraction, share, of such answers is rated, so each
// rating is weighted by 1/share. Without this, the mix would permanently miss its
// target by the error of the expectation.
func (de *deficit) correct(expected, rating, share float64) {
	de.answers = min(max(de.answers+(expected-rating)/share, 0), maxDeficit)
}

// answerValue returns the value of a good answer. Price is the price of the costliest
// stage for the current request. The value is scaled by the mean of that price over
// all classes, since it must be the same for all classes; otherwise more would be
// spent on the classes where quality costs most.
func (de *deficit) answerValue(now time.Time, price float64) float64 {
	if now.After(de.costliestPrice.at) || de.costliestPrice.weight == 0 {
		de.costliestPrice.add(now, price)
	}
	return de.answers / deficitScale * de.costliestPrice.value(price, 1)
}
