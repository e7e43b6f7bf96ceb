package execute

import (
	"sync"
	"time"
)

// upstreamDraining is whether the upstream has said that it is about to leave. It ends when the
// upstream is found down, since it then has left, or when an answer does not say it any more.
type upstreamDraining struct {
	mu sync.Mutex
	// saidAt is when the upstream last said it; zero if it does not drain.
	saidAt time.Time
	// trialAt is when one request may find out whether it still drains: the upstream may have
	// started again between two probes.
	trialAt time.Time
}

// drainingTrialInterval is the time between two trials.
const drainingTrialInterval = 30 * time.Second

// observe records an answer to a request, and reports whether it is the first that says that the
// upstream drains.
func (ud *upstreamDraining) observe(now, sent time.Time, draining bool) bool {
	ud.mu.Lock()
	defer ud.mu.Unlock()
	news := draining && ud.saidAt.IsZero()
	switch {
	case draining:
		ud.saidAt, ud.trialAt = now, now.Add(drainingTrialInterval)
	case sent.After(ud.saidAt):
		ud.saidAt = time.Time{}
	}
	return news
}

// ended records that the upstream was found down.
func (ud *upstreamDraining) ended() {
	ud.mu.Lock()
	defer ud.mu.Unlock()
	ud.saidAt = time.Time{}
}

// active reports whether the upstream gets no request now.
func (ud *upstreamDraining) active(now time.Time) bool {
	ud.mu.Lock()
	defer ud.mu.Unlock()
	return !ud.saidAt.IsZero() && now.Before(ud.trialAt)
}

// admit reports whether a request may be sent now, as the trial if one is due.
func (ud *upstreamDraining) admit(now time.Time) bool {
	ud.mu.Lock()
	defer ud.mu.Unlock()
	if ud.saidAt.IsZero() {
		return true
	}
	if now.Before(ud.trialAt) {
		return false
	}
	ud.trialAt = now.Add(drainingTrialInterval)
	return true
}
