package canary

import (
	"time"

	"skylarkstand/core"
	"skylarkstand/core/sample"
)

type sessionKey struct {
	service core.ServiceID
	session core.SessionID
}

// pin is the version that last served a session.
type pin struct {
	version core.VersionID
	// usedAt is when one of its requests was last sent or ended, and inFlight how many have not
	// ended. A stream may last longer than the session gap.
	usedAt   time.Time
	inFlight int
}

// active reports whether the session is in progress.
func (pi pin) active(now time.Time, gap time.Duration) bool {
	return pi.inFlight > 0 || now.Sub(pi.usedAt) <= gap
}

// mayBeActiveElsewhere reports whether a session unknown to this entry may be active on the old
// version at another entry.
//
// A session's requests arrive at any entry, and right after the order no entry has received the
// others' sessions yet. So no session is assigned to the new version until the sessions from before
// the order have been reported.
func (gu *Guard) mayBeActiveElsewhere(now time.Time, ro *rollout, se core.SessionID) bool {
	if now.Sub(ro.startedAt) < min(settleTime, time.Duration(maxSettleFraction*float64(ro.order.Duration))) {
		return true
	}
	at, reported := ro.remoteOldSessions[se]
	return reported && now.Sub(at) <= gu.gap
}

// localOldSessions returns the sessions within the first step's share that continue on the old
// version at this entry. They are few: a thirtieth of the active sessions.
func (gu *Guard) localOldSessions(now time.Time, ro *rollout) []core.SessionID {
	var out []core.SessionID
	if ro.currentStep() > 0 {
		return nil
	}
	for key, pi := range gu.sessions {
		if key.service == ro.order.Service && pi.version != ro.order.Target &&
			ro.sessionFraction(key.session) < gu.schedule.shares[0] && pi.active(now, gu.gap) {
			out = append(out, key.session)
		}
	}
	return out
}

// sessionFraction maps a session to a number from 0 to 1 that decides in which step it moves to the new version. It
// is the same at all entries.
func (ro *rollout) sessionFraction(se core.SessionID) float64 {
	return sample.Fraction(sample.RollOut, string(ro.order.Service), string(ro.order.Target), string(se))
}

// AttemptSent records that a request of a session is sent to an upstream.
func (gu *Guard) AttemptSent(now time.Time, se core.SessionID, ho core.Host) {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	if se != "" {
		gu.sweep(now)
		key := sessionKey{ho.Service, se}
		pi := gu.sessions[key]
		if pi.version != ho.Version {
			pi = pin{version: ho.Version}
		}
		pi.usedAt = now
		pi.inFlight++
		gu.sessions[key] = pi
	}
	if ro := gu.rollouts[ho.Service]; ro != nil && ro.order.Revision != 0 && ho.Version == ro.order.Target {
		ro.own.sent++
		if ro.currentStep() < lastStep {
			ro.trial.addSent(now)
		}
	}
}

// AttemptEnded records the end of an attempt that was recorded by AttemptSent.
func (gu *Guard) AttemptEnded(now time.Time, se core.SessionID, ho core.Host) {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	if ro := gu.rollouts[ho.Service]; ro != nil && ro.order.Revision != 0 && ho.Version == ro.order.Target {
		ro.trial.ended++
	}
	if pi, ok := gu.sessions[sessionKey{ho.Service, se}]; ok && pi.version == ho.Version {
		pi.usedAt = now
		pi.inFlight = max(pi.inFlight-1, 0)
		gu.sessions[sessionKey{ho.Service, se}] = pi
	}
}

// maxSessions bounds the memory for sessions. At ten new sessions a second and a gap of a few
// seconds the count stays far below it.
const maxSessions = 1 << 16

// sweep removes the inactive sessions, once per session gap and whenever maxSessions is reached. If
// too many are active, it drops all of them.
func (gu *Guard) sweep(now time.Time) {
	if now.Sub(gu.lastSweep) < gu.gap && len(gu.sessions) < maxSessions {
		return
	}
	gu.lastSweep = now
	for key, pi := range gu.sessions {
		if !pi.active(now, gu.gap) {
			delete(gu.sessions, key)
		}
	}
	if len(gu.sessions) >= maxSessions {
		clear(gu.sessions)
	}
}
