package execute

import (
	"sync"
	"time"
)

// upstreamDraining is whether the upstream has reported that it is draining. It ends when a health
// probe finds the upstream down, or with a response that does not report it any more.
type upstreamDraining struct {
	mu sync.Mutex
	// reportedAt is when the upstream last reported it; zero if it is not draining.
	reportedAt time.Time
	// trialAt is when one request may test whether it is still draining: the upstream may have
	// restarted between two health probes.
	trialAt time.Time
}

// drainingTrialInterval is the time between two trials.
const drainingTrialInterval = 30 * time.Second

// observe records a response, and reports whether the upstream has begun to drain.
func (ud *upstreamDraining) observe(now, sent time.Time, draining bool) bool {
	ud.mu.Lock()
	defer ud.mu.Unlock()
	began := draining && ud.reportedAt.IsZero()
	switch {
	case draining:
		ud.reportedAt, ud.trialAt = now, now.Add(drainingTrialInterval)
	case sent.After(ud.reportedAt):
		ud.reportedAt = time.Time{}
	}
	return began
}

// ended records that the upstream was found down.
func (ud *upstreamDraining) ended() {
	ud.mu.Lock()
	defer ud.mu.Unlock()
	ud.reportedAt = time.Time{}
}

// active reports whether the upstream gets no request now.
func (ud *upstreamDraining) active(now time.Time) bool {
	ud.mu.Lock()
	defer ud.mu.Unlock()
	return !ud.reportedAt.IsZero() && now.Before(ud.trialAt)
}

// admit reports whether a request may be sent now, as the trial if one is due.
func (ud *upstreamDraining) admit(now time.Time) bool {
	ud.mu.Lock()
	defer ud.mu.Unlock()
	if ud.reportedAt.IsZero() {
		return true
	}
	if now.Before(ud.trialAt) {
		return false
	}
	ud.trialAt = now.Add(drainingTrialInterval)
	return true
}
