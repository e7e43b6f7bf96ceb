package cascade

// tailShare is the fraction of answers in the latency tail. The users measure the
// latency that one answer in twenty exceeds (p95).
const tailShare = 0.05

// expectation is what is expected of one stage: its pass rate when it is the first
// one and after an earlier stage failed, its cost, its latest latencies and its mean
// latency, in seconds.
type expectation struct {
	passFirst, passAfter float64
	cost                 float64
	latencies            []float64
	meanLatency          float64
}

// pricing holds the current prices of quality and latency for a workspace.
type pricing struct {
	// answerValue is the value of a good answer, secondPrice the price of a second of
	// latency.
	answerValue, secondPrice float64
	// tailLatency is the latency, in seconds, above which an answer is in the tail.
	tailLatency float64
}

// latencyPrice returns the price of a stage's latency for a request that has already
// taken elapsed seconds.
//
// Each second costs its price once. A second beyond tailLatency costs 1/tailShare
// times its price in addition, as if all callers had waited for it. With a plain mean,
// running both stages would look as good as running the costly one alone, since few
// requests escalate; but those few have the latencies that callers notice.
func (pr pricing) latencyPrice(exp *expectation, elapsed float64) float64 {
	excess := 0.0
	for _, latency := range exp.latencies {
		excess += max(elapsed+latency-pr.tailLatency, 0) - max(elapsed-pr.tailLatency, 0)
	}
	return pr.secondPrice * (exp.meanLatency + excess/float64(len(exp.latencies))/tailShare)
}

// gain returns the expected gain of running stage i: its pass rate times the value of
// a good answer, minus its cost and the price of its latency, plus, if it fails, the
// gain of the best stage after it.
func (pr pricing) gain(ods []expectation, i int, po Position, elapsed float64) float64 {
	exp := &ods[i]
	pass := exp.passFirst
	if po == AfterFailure {
		pass = exp.passAfter
	}
	_, nextGain := pr.next(ods, i, elapsed+exp.meanLatency)
	return pr.answerValue*pass - exp.cost - pr.latencyPrice(exp, elapsed) + (1-pass)*nextGain
}

// noStage is returned instead of a stage if no further one is worth running.
const noStage = -1

// next returns the best stage to run after stage i failed, and its gain, or noStage if
// none has a positive gain. It may skip stages.
//
// The work doubles with each stage. Cascades have two or three, and with eight a
// decision still takes microseconds.
func (pr pricing) next(ods []expectation, i int, elapsed float64) (int, float64) {
	best, bestGain := noStage, 0.0
	for j := i + 1; j < len(ods); j++ {
		if gain := pr.gain(ods, j, AfterFailure, elapsed); gain > bestGain {
			best, bestGain = j, gain
		}
	}
	return best, bestGain
}

// start returns the best first stage, even if its gain is negative, since one must be
// run.
func (pr pricing) start(ods []expectation) int {
	best, bestGain := 0, pr.gain(ods, 0, First, 0)
	for i := 1; i < len(ods); i++ {
		if gain := pr.gain(ods, i, First, 0); gain > bestGain {
			best, bestGain = i, gain
		}
	}
	return best
}

// final reports whether no stage would be run after stage i, even with the lowest
// rating of its answer.
func (pr pricing) final(ods []expectation, i int, elapsed float64) bool {
	next, _ := pr.next(ods, i, elapsed+ods[i].meanLatency)
	return next == noStage
}
