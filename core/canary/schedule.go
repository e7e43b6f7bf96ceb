package canary

import "time"

// lastStep is the step that moves everything.
const lastStep = 2

// schedule is when the steps of a roll-out begin, and the share of the sessions that the new version
// receives in each.
type schedule struct {
	// shares are fractions of all sessions.
	shares [lastStep + 1]float64
	// second is when the second step begins, as a fraction of the duration.
	second float64
	// last is the longest time from the last step to the order's end, as a fraction of the duration.
	last float64
}

const (
	// plannedFraction is the fraction of the allowed exposure that a roll-out uses. The rest covers
	// what entries that restart have forgotten.
	plannedFraction = 0.9
	// firstStepFraction is the share of the first step, as a fraction of the allowed exposure. At
	// an exposure of 0.15 and forty requests a second, one request a second goes to the new
	// version; all entries together detect a version that fails half of them within ten seconds.
	firstStepFraction = 0.28
	// secondStepFraction is the share of the second step, as a fraction of the allowed exposure, and
	// secondFrom when it begins. Active sessions stay on their version in the first step, so that hardly
	// any request reaches the new one where most belong to long sessions; from here on they move. Until half
	// of the duration, every session must keep its version. The step also detects a version that is bad on
	// a route that the first one rarely reached.
	secondStepFraction = 0.67
	secondFrom         = 0.54
	// lastStepTime and lastStepFraction are the time from the last step to the order's end, the larger
	// of both, unless the allowed exposure makes it shorter.
	lastStepTime     = 1250 * time.Millisecond
	lastStepFraction = 0.05
	// minLastFraction bounds the last step from below, as a fraction of the duration.
	minLastFraction = 0.03
	// beginFraction is the part of the last step's time that is left when it begins: entries learn of it within
	// a tenth of a second, and the requests until the order's end are few that the evidence is not based on.
	beginFraction = 0.8
	// completeFraction is the part of the last step's time that is left when the roll-out completes: what
	// entries need that write in place of others, and what the store may take. Before, requests in flight
	// at the old version end; streams that last longer are resumed on the new version.
	completeFraction = 0.5
	// lateFraction is the part that is left when the completion is prepared for a smaller burst than before.
	lateFraction = 0.4
	// latestFraction is the part that is left at most when the completion was put off; see mayComplete.
	// A version that is still on hold then is rolled back.
	latestFraction = 0.3
	// minInLastStep is how long the last step lasts at least, as a fraction of its time.
	minInLastStep = 0.1
)

// newSchedule returns the schedule for an allowed exposure, which is the fraction of all requests
// during the order that a bad version may receive.
//
// Some faults of a version appear only under full load, after all tests. The exposure that the first
// two steps leave unused therefore limits the time of the last step, which moves everything. A good
// version serves all requests only shortly before the order's duration ends, which does no harm.
func newSchedule(exposure float64) schedule {
	// The new version receives nothing during the settling time (see settleTime).
	first := firstStepFraction * exposure / (1 - maxSettleFraction)
	second := secondStepFraction * exposure
	unused := plannedFraction*exposure - first*secondFrom - second*(1-secondFrom)
	// A longer last step shortens the second one.
	last := max(unused/(1-second), minLastFraction)
	return schedule{shares: [lastStep + 1]float64{first, second, 1}, second: secondFrom, last: last}
}

// lastTime returns the time from the last step to the end of an order of the given duration.
func (sc schedule) lastTime(duration time.Duration) time.Duration {
	return min(max(lastStepTime, fractionOf(duration, lastStepFraction)), fractionOf(duration, sc.last))
}

// begin returns when a step may begin, as the time since the order.
func (sc schedule) begin(step int, duration time.Duration) time.Duration {
	switch step {
	case 0:
		return 0
	case lastStep:
		return duration - fractionOf(sc.lastTime(duration), beginFraction)
	default:
		return fractionOf(duration, sc.second)
	}
}

// complete returns when a roll-out may complete, late when it may although a smaller burst is provided
// for, and latest when it does so at the latest, as the time since the order.
func (sc schedule) complete(duration time.Duration) time.Duration {
	return duration - fractionOf(sc.lastTime(duration), completeFraction)
}

func (sc schedule) late(duration time.Duration) time.Duration {
	return duration - fractionOf(sc.lastTime(duration), lateFraction)
}

func (sc schedule) latest(duration time.Duration) time.Duration {
	return duration - fractionOf(sc.lastTime(duration), latestFraction)
}

func fractionOf(du time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(du) * fraction)
}
