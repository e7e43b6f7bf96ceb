package cascade

import (
	"math"
	"time"
)

const (
	// inertia is the debt, in answers, at which a good answer is worth the
	// costliest stage's price. A smaller one follows the target more closely
	// but lets the chance of single ratings move the worth by more than a
	// tenth; a larger one takes thousands of requests to settle.
	inertia = 30
	// firstDebt is where a mix begins: well above the worth at which the
	// costliest stage pays, so that the first requests err on the good side.
	firstDebt = 2.5 * inertia
	// maxDebt bounds what a good answer may come to be worth. A target that no
	// stage can meet would let the debt grow without end, and after the target
	// was lowered the cascade would stay at its costliest for hours.
	maxDebt = 20 * inertia
	// firstLate is taken for the latency of the late answers until there are
	// some, and lateStep is how far one answer moves it.
	firstLate = 2 * time.Second
	lateStep  = 0.01
)

// debt is by how many good answers the mix of a workspace at one cascade is
// below its target, above a base at which it is in balance.
//
// It is the multiplier of the quality target in the problem of least cost: a
// mix short of its target raises it with each answer, a mix above lowers it.
type debt struct {
	answers float64
	// scale is the price of the costliest stage over all classes.
	scale estimate
	// late is the latency, in seconds, that tailShare of the answers exceed.
	late float64
}

func newDebt() *debt { return &debt{answers: firstDebt, late: firstLate.Seconds()} }

func (de *debt) add(short float64, took time.Duration) {
	de.answers = min(max(de.answers+short, 0), maxDebt)
	over := -tailShare
	if took.Seconds() > de.late {
		over++
	}
	de.late *= math.Exp(lateStep * over)
}

// correct takes in that an answer whose expected quality was added was rated
// after all. Only a share of such answers is rated, so that each rating stands
// for the others too: a wrong expectation would else miss the target for good,
// by as much as it is wrong.
func (de *debt) correct(expected, rating, share float64) {
	de.answers = min(max(de.answers+(expected-rating)/share, 0), maxDebt)
}

// worth returns the worth of a good answer. The price is the costliest
// stage's for the request at hand; its mean over the classes sets the scale,
// since what a good answer is worth must be one figure for all classes, or
// quality would be bought where it is dear.
func (de *debt) worth(now time.Time, price float64) float64 {
	if now.After(de.scale.at) || de.scale.weight == 0 {
		de.scale.add(now, price)
	}
	return de.answers / inertia * de.scale.value(price, 1)
}
