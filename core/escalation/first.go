package escalation

import "skylarkstand/core/mechanism"

const (
	// rejectedPrior is the assumed share of the smallest model's answers whose confidence is too low.
	rejectedPrior = 0.5
	// maxFirstPressure is the pressure from which every request starts at the smallest model.
	maxFirstPressure = (lowPressure + highPressure) / 2
	// shareWeight is the weight of the newest request in the shares.
	shareWeight = 1.0 / 20
)

// Budget is what the retry budget of a service allows.
type Budget struct {
	// Escalations is how many escalations are left.
	Escalations float64
	// Undecided is the number of requests at the smallest model that may still need one. Each of them
	// counts whole, so that none finds the budget spent.
	Undecided int
}

// First returns the stage at which a request starts: the smallest model if the budget can pay for
// its escalation, and otherwise the largest one, which needs none.
//
// It answers the first seconds of an entry, or requests that multiply within a window: the budget
// grows with the requests of a window, and about half of them need an escalation. Without a retry,
// their callers would get an answer in which the model itself has no confidence, while the engines
// have free slots. Nothing that is known of a request tells whether it needs the largest model, so
// that the choice doesn't depend on the request.
//
// The largest model gets no larger share of the requests than it would with an ample budget, and
// none start there under pressure: a wrong guess takes ten times the smallest model's time from
// the other callers.
func (po *Policy) First(stages int, bu Budget, fits func(to int) bool) int {
	last := stages - 1
	if last < 1 || po.off.Has(mechanism.FirstModel) || po.pressure >= maxFirstPressure || po.escalated >= po.rejected {
		return 0
	}
	if bu.Escalations >= float64(bu.Undecided+1) || !fits(last) {
		return 0
	}
	po.ObserveUse(true)
	return last
}

// ObserveUse records whether a request that may escalate was answered by a larger model than the
// smallest.
func (po *Policy) ObserveUse(larger bool) { updateShare(&po.escalated, larger) }

func updateShare(share *float64, yes bool) {
	val := 0.0
	if yes {
		val = 1
	}
	*share += shareWeight * (val - *share)
}
