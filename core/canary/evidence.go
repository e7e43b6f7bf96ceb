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
	// Failed: an error, a cut, a wrong answer or none in time.
	Failed bool
	// First is the time to the answer's header and Piece the mean time between
	// its pieces; 0 is unknown.
	First, Piece time.Duration
}

// evidence compares the new version's outcomes with the old one's. For each
// pool, and over all, it adds up how much likelier the outcomes are if the new
// version fails a third more of its attempts than the old one does now; the sum
// never falls below nought, so that a version that turns bad late is found as
// soon as one that always was (a CUSUM test, Page 1954). What troubles both
// versions, such as answers lost on the way, lifts the old one's rate and so
// counts for little.
type evidence struct {
	pools map[string]*compared
	all   compared
}

type compared struct {
	// rate follows the old version's failures, first and piece its times.
	rate         float64
	first, piece mean
	sum          float64
	bad, seen    int
}

type mean struct {
	val   float64
	count int
}

const (
	// rateAssumed is the failures before any were seen, rateWeight weighs the
	// newest one: the last twenty or so count.
	rateAssumed = 0.03
	rateWeight  = 0.05
	rateLeast   = 0.02
	rateMost    = 0.6
	// effect is the added failures that are looked for.
	effect = 0.35
	// verdict is the sum at which the version is bad: e to the sixth, or a
	// chance of one in 400 for a streak that began anywhere. A wrong verdict
	// costs a roll-out that is ordered again; a late one costs callers.
	verdict = 6.0
	// leastBad keeps two chance failures in a row from settling it.
	leastBad = 3
	// slowBy and slowSlack say when an answer is slow against the old
	// version's mean. A bad version is several times slower; long prompts that
	// are slow by themselves are so at both.
	slowBy    = 3.5
	slowSlack = 150 * time.Millisecond
	paceSlack = 20 * time.Millisecond
	// timesNeeded is the old version's answers that make its mean reliable.
	timesNeeded = 5
	timeWeight  = 1.0 / 16
)

func newEvidence() evidence {
	return evidence{pools: map[string]*compared{}, all: compared{rate: rateAssumed}}
}

// restart forgets what was held against a version, and keeps what is usual.
func (ev *evidence) restart() {
	ev.all.restart()
	for _, co := range ev.pools {
		co.restart()
	}
}

func (co *compared) restart() { co.sum, co.bad, co.seen = 0, 0, 0 }

func (ev *evidence) pool(name string) *compared {
	co := ev.pools[name]
	if co == nil {
		co = &compared{rate: rateAssumed}
		ev.pools[name] = co
	}
	return co
}

// observe takes in an outcome and returns why the new version is bad, or
// nothing.
func (ev *evidence) observe(ou Outcome, target bool) string {
	po := ev.pool(ou.Pool)
	bad := ou.Failed || po.slow(ou)
	if !target {
		po.usual(ou, bad)
		ev.all.usual(Outcome{}, bad)
		return ""
	}
	for _, co := range []*compared{po, &ev.all} {
		if co.judge(bad) {
			return fmt.Sprintf("%d of %d answers failed or were slow, against a usual %.0f in 100", co.bad, co.seen, 100*co.rate)
		}
	}
	return ""
}

// slow reports an answer that took several times what is usual.
func (co *compared) slow(ou Outcome) bool {
	return co.first.exceeded(ou.First, slowSlack) || co.piece.exceeded(ou.Piece, paceSlack)
}

func (me *mean) exceeded(val, slack time.Duration) bool {
	return val > 0 && me.count >= timesNeeded && val.Seconds() > slowBy*me.val+slack.Seconds()
}

func (me *mean) follow(val time.Duration) {
	if val <= 0 {
		return
	}
	me.count++
	me.val += max(timeWeight, 1/float64(me.count)) * (val.Seconds() - me.val)
}

// usual learns from the old version.
func (co *compared) usual(ou Outcome, bad bool) {
	val := 0.0
	if bad {
		val = 1
	}
	co.rate += rateWeight * (val - co.rate)
	co.first.follow(ou.First)
	co.piece.follow(ou.Piece)
}

// judge takes in an outcome of the new version and reports the verdict.
func (co *compared) judge(bad bool) bool {
	usual := min(max(co.rate, rateLeast), rateMost)
	worse := min(usual+effect, 0.95)
	co.seen++
	if bad {
		co.bad++
		co.sum += math.Log(worse / usual)
	} else {
		co.sum = max(co.sum+math.Log((1-worse)/(1-usual)), 0)
	}
	return co.sum >= verdict && co.bad >= leastBad
}

// Ended notes the end of an attempt that was sent, with its outcome.
func (gu *Guard) Ended(ou Outcome) {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	ro := gu.rollout(ou.Service)
	target := ro.order.Revision != 0 && ou.Version == ro.order.Target
	key := versionKey{ou.Service, ou.Version}
	if gu.flying[key]--; gu.flying[key] <= 0 {
		delete(gu.flying, key)
	}
	if ou.Neutral {
		return
	}
	if why := ro.evidence.observe(ou, target); why != "" && ro.bad == "" && !ro.final() {
		ro.bad = why
	}
}

// final reports whether the current order has come to its end.
func (ro *rollout) final() bool { return ro.state() == Completed || ro.state() == RolledBack }
