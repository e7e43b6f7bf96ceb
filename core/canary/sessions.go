package canary

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"skylarkstand/core"
)

type sessionKey struct {
	service core.ServiceID
	session core.SessionID
}

// pin is the version that a session was served by last.
type pin struct {
	version core.VersionID
	// at is when one of its requests was sent or ended last, and flying how many
	// have not ended. A stream may last longer than the gap.
	at     time.Time
	flying int
}

// underWay reports whether the session goes on.
func (pi pin) underWay(now time.Time, gap time.Duration) bool {
	return pi.flying > 0 || now.Sub(pi.at) <= gap
}

// elsewhere reports whether a session that this entry does not know may go on
// with the old version at another one.
//
// A session's requests come to any entry, and at the order nobody has heard of
// the others' sessions yet. So no session joins until those of before the order
// have been told of.
func (gu *Guard) elsewhere(now time.Time, ro *rollout, se core.SessionID) bool {
	if now.Sub(ro.began) < min(settle, time.Duration(settleMost*float64(ro.order.Duration))) {
		return true
	}
	at, told := ro.settled[se]
	return told && now.Sub(at) <= gu.gap
}

// settledHere lists the sessions of the first step that go on with the old
// version at this entry. They are few: a thirtieth of the sessions under way.
func (gu *Guard) settledHere(now time.Time, ro *rollout) []core.SessionID {
	var out []core.SessionID
	if ro.at() > 0 {
		return nil
	}
	for key, pi := range gu.sessions {
		if key.service == ro.order.Service && pi.version != ro.order.Target &&
			Place(key.session) < gu.steps[0].share && pi.underWay(now, gu.gap) {
			out = append(out, key.session)
		}
	}
	return out
}

// Place is a session's place from 0 to 1, the same at all entries.
func Place(se core.SessionID) float64 {
	return float64(xxhash.Sum64String(string(se))>>11) / (1 << 53)
}

// Sent notes that a request of a session goes to an upstream.
func (gu *Guard) Sent(now time.Time, se core.SessionID, ho core.Host) {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	if se != "" {
		gu.sweep(now)
		key := sessionKey{ho.Service, se}
		pi := gu.sessions[key]
		if pi.version != ho.Version {
			pi = pin{version: ho.Version}
		}
		pi.at = now
		pi.flying++
		gu.sessions[key] = pi
	}
	gu.flying[versionKey{ho.Service, ho.Version}]++
	if ro := gu.rollouts[ho.Service]; ro != nil && ro.order.Revision != 0 && ho.Version == ro.order.Target {
		ro.sent++
	}
}

// Ended notes the end of an attempt that was sent.
func (gu *Guard) Ended(now time.Time, se core.SessionID, ho core.Host) {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	key := versionKey{ho.Service, ho.Version}
	if gu.flying[key]--; gu.flying[key] <= 0 {
		delete(gu.flying, key)
	}
	if pi, ok := gu.sessions[sessionKey{ho.Service, se}]; ok && pi.version == ho.Version {
		pi.at = now
		pi.flying = max(pi.flying-1, 0)
		gu.sessions[sessionKey{ho.Service, se}] = pi
	}
}

// maxSessions bounds the memory of sessions; at ten new ones a second and a gap
// of some seconds it is never near.
const maxSessions = 1 << 16

// sweep forgets the sessions that are over, once a gap.
func (gu *Guard) sweep(now time.Time) {
	if now.Sub(gu.swept) < gu.gap && len(gu.sessions) < maxSessions {
		return
	}
	gu.swept = now
	for key, pi := range gu.sessions {
		if !pi.underWay(now, gu.gap) {
			delete(gu.sessions, key)
		}
	}
	if len(gu.sessions) >= maxSessions {
		clear(gu.sessions)
	}
}
