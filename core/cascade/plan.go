package cascade

// tailShare is the share of answers that counts as late. The users measure the
// latency that one in twenty exceeds.
const tailShare = 0.05

// odds is what is expected of one stage: how often it passes when it is the
// first and when an earlier stage failed, what it costs, and how long its
// last runs took, in seconds.
type odds struct {
	first, after float64
	cost         float64
	waits        []float64
	mean         float64
}

// pricing is what quality and waiting are worth to the workspace now.
type pricing struct {
	// worth is of a good answer, second of a second of waiting.
	worth, second float64
	// late is the time beyond which an answer is among the late ones.
	late float64
}

// waiting returns the price of a stage's wait for a request that has waited
// for some time already.
//
// A second counts at its price once for each answer, and once more for the
// late ones alone: a second that a late answer waits beyond the others is
// priced as if all callers had waited it. With a plain mean, the way through
// both stages looks as good as the costly one alone, since few requests go on;
// those few are the ones whose callers notice.
func (pr pricing) waiting(od *odds, elapsed float64) float64 {
	over := 0.0
	for _, wait := range od.waits {
		over += max(elapsed+wait-pr.late, 0) - max(elapsed-pr.late, 0)
	}
	return pr.second * (od.mean + over/float64(len(od.waits))/tailShare)
}

// gain returns what running stage i is expected to gain: its chance to pass
// times the worth, less its price, and on its failure the gain of the best
// stage after it.
func (pr pricing) gain(ods []odds, i int, pl Place, elapsed float64) float64 {
	od := &ods[i]
	pass := od.first
	if pl == After {
		pass = od.after
	}
	_, more := pr.next(ods, i, elapsed+od.mean)
	return pr.worth*pass - od.cost - pr.waiting(od, elapsed) + (1-pass)*more
}

// none is in place of a stage when nothing is worth running.
const none = -1

// next returns the best stage to run after stage i failed, and its gain. It
// passes over stages that are not worth it.
//
// The work doubles with each stage; cascades have two or three, and with eight
// a decision still takes microseconds.
func (pr pricing) next(ods []odds, i int, elapsed float64) (int, float64) {
	best, most := none, 0.0
	for j := i + 1; j < len(ods); j++ {
		if gain := pr.gain(ods, j, After, elapsed); gain > most {
			best, most = j, gain
		}
	}
	return best, most
}

// start returns the best stage to begin with. One must be run.
func (pr pricing) start(ods []odds) int {
	best, most := 0, pr.gain(ods, 0, First, 0)
	for i := 1; i < len(ods); i++ {
		if gain := pr.gain(ods, i, First, 0); gain > most {
			best, most = i, gain
		}
	}
	return best
}

// final reports whether nothing would be run after stage i, however badly its
// answer were rated.
func (pr pricing) final(ods []odds, i int, elapsed float64) bool {
	next, _ := pr.next(ods, i, elapsed+ods[i].mean)
	return next == none
}
