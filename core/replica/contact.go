package replica

import (
	"time"

	"skylarkstand/core/event"
	"skylarkstand/core/meter"
)

// watchTime returns how long a watch that begins now waits for changes.
func (fo *Follower) watchTime(now time.Time) time.Duration {
	// A watch that returned a change late confirms little: the next one is shorter, so that the replica does not
	// count as stale while the store answers.
	wait := max(watchWait-fo.re.Age(now), probeWait)
	fo.mu.Lock()
	defer fo.mu.Unlock()
	switch {
	case !fo.downSince.IsZero():
		return probeWait
	case fo.watching && !fo.doubtUntil.IsZero():
		return min(wait, max(fo.doubtUntil.Sub(now)+clockTolerance, probeWait))
	}
	return wait
}

// confirmedAt returns a time at which the store certainly had no further changes, given the answer to a watch. The
// store holds a watch without changes for its whole wait, so that an answer without changes is at least as recent
// as the end of the wait. One that came earlier may have been made at any time since the request.
func confirmedAt(requestedAt time.Time, wait time.Duration, changes int) time.Time {
	if changes > 0 || time.Since(requestedAt) < wait-clockTolerance {
		return requestedAt
	}
	return requestedAt.Add(max(wait-clockTolerance, 0))
}

func (fo *Follower) recordFailure(err error) {
	fo.mu.Lock()
	fo.watching = false
	first := fo.downSince.IsZero()
	if first {
		fo.downSince = time.Now()
	}
	fo.mu.Unlock()
	if first {
		event.Log(fo.deps.Log, event.StoreDown, "error", err, "revision", fo.re.Revision())
	}
	meter.StoreWatchFailed.Inc(fo.deps.Metrics)
	wake(fo.downSignal)
}

// storeDown reports whether the store currently does not answer.
func (fo *Follower) storeDown() bool {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return !fo.downSince.IsZero()
}

// recordSuccess records an answer of the store that confirms the replica as of a time. It reports whether a key that is
// missing at that time is known to be gone.
func (fo *Follower) recordSuccess(confirmedAt time.Time) bool {
	now := time.Now()
	fo.mu.Lock()
	downSince := fo.downSince
	fo.downSince, fo.answeredAt = time.Time{}, now
	if !fo.watching {
		// The store may have returned at any time up to now.
		fo.watching, fo.doubtUntil = true, now.Add(settlePeriod)
	}
	certain := !confirmedAt.Before(fo.doubtUntil)
	if certain {
		fo.doubtUntil = time.Time{}
	}
	fo.mu.Unlock()
	if !downSince.IsZero() {
		event.Log(fo.deps.Log, event.StoreBack, "away", time.Since(downSince), "revision", fo.re.Revision())
	}
	return certain
}

// Doubtful reports whether keys may be missing from the replica, or may be removed from it next, because their leases
// expired during an outage of the store.
func (fo *Follower) Doubtful() bool {
	fo.mu.Lock()
	doubtful := !fo.downSince.IsZero() || fo.watching && !fo.doubtUntil.IsZero()
	fo.mu.Unlock()
	return doubtful || !fo.re.IsSettled()
}
