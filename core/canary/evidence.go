package canary

import (
	"fmt"
	"math"
	"time"

	"skylarkstand/core"
)

// Outcome is how an attempt at one of two versions ended.
type Outcome struct {
	Service core.ServiceID
	Version core.VersionID
	// Pool separates attempts whose times are unlike: route and model.
	Pool string
	// Neutral outcomes say nothing about the version: the caller left, or the
	// upstream refused for want of room.
	Neutral bool
	// Going says that the answer goes on: only its pace is known.
	Going bool
	// Failed: an error, a cut, a wrong answer or none in time.
	Failed bool
	// First is the time to the answer's header and Piece the mean time between
	// its pieces; 0 is unknown. Whole says that the answer came in one piece.
	First, Piece time.Duration
	Whole        bool
}

// evidence compares the new version's outcomes with the old one's, for each pool
// and over all: how many failed, and how many were slow.
type evidence struct {
	pools map[string]*compared
	all   compared
}

// compared is two tests, and what is usual of times.
type compared struct {
	fails, slows test
	first, piece median
}

// test adds up how much likelier the outcomes are if the new version does worse
// by effect than the old one does now; the sum never falls below nought, so that
// a version that turns bad late is found as soon as one that always was (a CUSUM
// test, Page 1954). What troubles both versions, such as answers lost on the
// way, lifts the old one's rate and so counts for little.
type test struct {
	rate float64
	sum  float64
	// drift is the sum with a lower end below nought, for the entries to add up:
	// of sums that never fall below it, many entries' chance outcomes alone would
	// make a verdict.
	drift     float64
	bad, seen int
}

// median follows the middle of times by small steps (Robbins and Monro 1951).
type median struct {
	val   float64 // seconds
	count int
}

const (
	// failsAssumed and slowsAssumed are the rates before any were seen.
	failsAssumed = 0.03
	slowsAssumed = 0.3
	// rateWeight weighs the newest outcome: the last twenty or so count.
	rateWeight = 0.05
	rateLeast  = 0.02
	rateMost   = 0.6
	// idleSlows bounds the slow answers that are usual of a version in its first
	// step: its upstreams have next to no work then, while the old version's
	// are loaded, so that what is slow there is slow by itself.
	idleSlows = 0.2
	// effect is the added share that is looked for.
	effect = 0.35
	// verdict is the sum at which the version is bad: e to the sixth, or a
	// chance of one in 400 for a streak that began anywhere. A wrong verdict
	// costs a roll-out that is ordered again; a late one costs callers.
	verdict = 6.0
	// leastDrift bounds what good answers of before can outweigh, to three or
	// four of them: a version may turn bad late.
	leastDrift = -1.5
	// leastBad keeps two chance failures in a row from settling it.
	leastBad = 3
	// slowPace is the multiple of the old version's median pause between pieces
	// that is slow, and slowFirst that of the time to an answer in one piece.
	// The pace of an engine hardly depends on the prompt, which its time to the
	// first piece does; that is left out.
	slowPace  = 1.4
	slowFirst = 2.5
	// movedPace takes the place of slowPace once everything has moved. Engines of
	// the new version then read all prompts anew for a second, and the old one's
	// pace is that of engines that shared the load and kept them. By 1.4 of it 2 of
	// 30 good versions were held for bad within a second of the last step, by 6 none
	// of the same 30; by 2.5 it was 3 of 42, by 1.4 4 of those. A version that is
	// slow is found in the steps before, or is so by eight times.
	movedPace = 6.0
	// overdueBy and overdueSlack say from when an attempt that has not begun
	// counts as failed.
	overdueBy    = 8
	overdueSlack = time.Second
	// timesNeeded is the old version's answers that make its median reliable.
	timesNeeded = 8
	// medianStep is the part by which a median follows each value.
	medianStep = 0.08
)

func newCompared() compared {
	return compared{fails: test{rate: failsAssumed}, slows: test{rate: slowsAssumed}}
}

func newEvidence() evidence { return evidence{pools: map[string]*compared{}, all: newCompared()} }

// restart forgets what was held against a version, and keeps what is usual.
func (ev *evidence) restart() {
	ev.all.restart()
	for _, co := range ev.pools {
		co.restart()
	}
}

func (co *compared) restart() {
	for _, te := range []*test{&co.fails, &co.slows} {
		te.sum, te.drift, te.bad, te.seen = 0, 0, 0, 0
	}
}

func (ev *evidence) pool(name string) *compared {
	co := ev.pools[name]
	if co == nil {
		fresh := newCompared()
		co = &fresh
		ev.pools[name] = co
	}
	return co
}

// usual learns from the old version.
func (ev *evidence) usual(ou Outcome) {
	po := ev.pool(ou.Pool)
	slow, timed := po.slow(ou, slowPace)
	for _, co := range []*compared{po, &ev.all} {
		if !ou.Going {
			co.fails.follow(ou.Failed)
		}
		if timed {
			co.slows.follow(slow)
		}
	}
	if !ou.Failed {
		po.first.follow(ou.First)
		po.piece.follow(ou.Piece)
	}
}

// judge takes in an outcome of the new version in a step and returns why that is
// bad, or nothing. In the first step its upstreams have little to do.
func (ev *evidence) judge(ou Outcome, at int) string {
	po := ev.pool(ou.Pool)
	pace := slowPace
	if at == lastStep {
		pace = movedPace
	}
	slow, timed := po.slow(ou, pace)
	for _, co := range []*compared{po, &ev.all} {
		if !ou.Going && co.fails.judge(ou.Failed, rateMost) {
			return co.fails.why("failed")
		}
		most := rateMost
		if at == 0 {
			most = idleSlows
		}
		if timed && !ou.Failed && co.slows.judge(slow, most) {
			return co.slows.why("were slow")
		}
	}
	return ""
}

// slow reports whether an answer was slow, and whether that can be told. Pace is
// the multiple of the usual pause between pieces that is slow.
func (co *compared) slow(ou Outcome, pace float64) (slow, timed bool) {
	switch {
	case ou.Piece > 0:
		return co.piece.exceeded(ou.Piece, pace), co.piece.known()
	case ou.Whole && ou.First > 0:
		return co.first.exceeded(ou.First, slowFirst), co.first.known()
	}
	return false, false
}

func (me *median) known() bool { return me.count >= timesNeeded }

func (me *median) exceeded(val time.Duration, by float64) bool {
	return me.known() && val.Seconds() > by*me.val
}

func (me *median) follow(val time.Duration) {
	switch {
	case val <= 0:
		return
	case me.count == 0:
		me.val = val.Seconds()
	case val.Seconds() > me.val:
		me.val *= 1 + medianStep
	default:
		me.val /= 1 + medianStep
	}
	me.count++
}

func (te *test) follow(bad bool) {
	val := 0.0
	if bad {
		val = 1
	}
	te.rate += rateWeight * (val - te.rate)
}

// judge takes in an outcome of the new version and reports the verdict.
func (te *test) judge(bad bool, most float64) bool {
	usual := min(max(te.rate, rateLeast), most)
	worse := min(usual+effect, 0.95)
	te.seen++
	weight := math.Log((1 - worse) / (1 - usual))
	if bad {
		te.bad++
		weight = math.Log(worse / usual)
	}
	te.sum = max(te.sum+weight, 0)
	te.drift = max(te.drift+weight, leastDrift)
	return te.sum >= verdict && te.bad >= leastBad
}

func (te *test) why(what string) string {
	return fmt.Sprintf("%d of %d answers %s, against a usual %.0f in 100", te.bad, te.seen, what, 100*te.rate)
}

// Observe takes in what an attempt shows of its version: its pace while it still
// goes on, and at the end whether it failed.
func (gu *Guard) Observe(ou Outcome) {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	if ou.Neutral {
		return
	}
	ro := gu.rollout(ou.Service)
	if ro.order.Revision == 0 || ou.Version != ro.order.Target {
		ro.evidence.usual(ou)
		return
	}
	if why := ro.evidence.judge(ou, ro.at()); why != "" && ro.bad == "" && !ro.final() {
		ro.bad = why
	}
}

// Overdue is how long an attempt may take to its header before it counts as
// failed, or 0 when that is not known or does not matter: only a version under
// roll-out is judged.
func (gu *Guard) Overdue(sv core.ServiceID, ve core.VersionID, pool string) time.Duration {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	ro := gu.rollouts[sv]
	if ro == nil || ro.order.Revision == 0 || ve != ro.order.Target || ro.final() {
		return 0
	}
	first := ro.evidence.pool(pool).first
	if !first.known() {
		return 0
	}
	return time.Duration(overdueBy*first.val*float64(time.Second)) + overdueSlack
}

// final reports whether the current order has come to its end.
func (ro *rollout) final() bool { return ro.state() == Completed || ro.state() == RolledBack }
