package forward

import (
	"time"

	"skylarkstand/core/canary"
)

// lostOutcomeDelay is how long a lost answer is held back from the canary guard. Within this time the
// entries find out that a crashed upstream is gone, by refused connections or by its listing.
const lostOutcomeDelay = time.Second

// reportLost reports a lost answer to the canary guard, unless its upstream turns out to be gone. A
// crash of several upstreams would otherwise roll back a good version.
func (at *attempt) reportLost(ou canary.Outcome) {
	time.AfterFunc(lostOutcomeDelay, func() {
		ou.Neutral = at.upstreamGone(time.Now())
		at.reportOutcome(ou)
	})
}

// upstreamGone reports whether the attempt's upstream has ended or restarted since a moment ago.
func (at *attempt) upstreamGone(now time.Time) bool {
	fw := at.jb.fw
	if !fw.components.Fleet.Contains(&at.to) {
		return true
	}
	fw.mu.Lock()
	defer fw.mu.Unlock()
	return fw.picker.UnreachableWithin(now, &at.to, lostOutcomeDelay)
}
