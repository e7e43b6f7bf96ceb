package suspect

import (
	"time"

	"skylarkstand/core"
)

// A request that was in flight when minSuspectCrashes upstreams ended is confined, whether these ends
// overlapped or not: an outage cannot be told from the request without another run, and there is one at a time.
// Each of its attempts needs a permit that an entry takes in the store; see [Recorder.Acquire]. The first
// answer ends the confinement.

const (
	// permitTime is how long after its grant a permit allows an attempt to be sent.
	permitTime = 3 * time.Second
	// crashedDelay is the time from a first permit without a good end to the second one: the first has run out.
	crashedDelay = 3500 * time.Millisecond
	// exhaustedDelay is the time to the third permit. It doubles with each further one, up to quarantineTTL.
	exhaustedDelay = time.Minute
	// confinedTTL is how long a confinement lasts after its last permit may be replaced.
	confinedTTL = 10 * time.Minute
	// refundDelay is the time from a permit that was returned to the next one: while no upstream is up, each
	// permit is returned.
	refundDelay = 250 * time.Millisecond
	// claimSpread is the time for each entry over which a permit that has become available is claimed.
	claimSpread = 10 * time.Millisecond
	// maxExcused is the number of permits that are returned although their attempts reached an upstream: one that
	// refused it, or outlived it by a connection that its successor may have accepted.
	maxExcused = 1
	// claimBackoff is the time until the next claim after one whose outcome is not known.
	claimBackoff = time.Second
)

// confinement is what an entry knows of a confined request.
type confinement struct {
	// used counts the permits that were granted, less those whose attempt showed that the request crashes
	// nothing. revision is that of the store's key, 0 if it is not known to exist.
	used     int
	revision core.Revision
	// excused counts the returned permits whose attempts had reached an upstream.
	excused int
	// refunded is set if the last change was the return of a permit.
	refunded bool
	// changedAt is when this entry learned of the last change, by its own clock.
	changedAt time.Time
	// claiming is set while this entry claims a permit, and retryAt is when it may do so again after a failure.
	// unavailable is set if the store did not answer.
	claiming, unavailable bool
	retryAt               time.Time
}

// permitDelay returns the time from a permit to the next one, after a number of permits.
func permitDelay(used int) time.Duration {
	switch used {
	case 0:
		return 0
	case 1:
		return crashedDelay
	default:
		return min(exhaustedDelay<<min(used-2, 10), quarantineTTL)
	}
}

// nextPermit returns when the next permit may be claimed by a request of this entry.
func (co *confinement) nextPermit(request uint16, entries int) time.Time {
	wait := permitDelay(co.used)
	if co.refunded {
		wait = refundDelay
	}
	wait += spread(min(time.Duration(entries)*claimSpread, trialSpread), request)
	return later(co.changedAt.Add(wait), co.retryAt)
}

// inUse reports whether an attempt may be under way with the last permit.
func (co *confinement) inUse(now time.Time) bool {
	return co.used > 0 && !co.refunded && now.Sub(co.changedAt) < permitTime
}

func (co *confinement) expired(now time.Time) bool {
	return now.Sub(co.changedAt) > permitDelay(co.used)+confinedTTL
}

// confine confines a request after a crash if enough are known. The lock is held.
func (de *Detector) confine(fp Fingerprint, now time.Time) {
	if fp.IsPart() || de.confined[fp] != nil {
		return
	}
	recent := 0
	for _, oc := range de.suspects[fp] {
		if now.Sub(oc.Ended) <= suspectTTL {
			recent++
		}
	}
	if recent >= minSuspectCrashes {
		de.putConfinement(fp, &confinement{changedAt: now})
	}
}

// putConfinement stores a confinement. At the bound it replaces the one that changed the longest time ago, which
// its key in the store outlasts. The lock is held.
func (de *Detector) putConfinement(fp Fingerprint, co *confinement) {
	if len(de.confined) >= maxSuspects {
		oldest := fp
		for other, known := range de.confined {
			if oldest == fp || known.changedAt.Before(de.confined[oldest].changedAt) {
				oldest = other
			}
		}
		delete(de.confined, oldest)
	}
	de.confined[fp] = co
}

// isConfined reports whether each attempt of a request needs a permit. The lock is held.
func (de *Detector) isConfined(fp Fingerprint, now time.Time) bool {
	co := de.confined[fp]
	if co != nil && co.expired(now) {
		delete(de.confined, fp)
		co = nil
	}
	return co != nil
}

// MaySend reports whether an attempt may be written to its upstream now: since it was admitted, its request may
// have been confined or quarantined, or its permit may have run out.
func (de *Detector) MaySend(tr Traits, pe *Permit, now time.Time) bool {
	de.mu.Lock()
	defer de.mu.Unlock()
	if re := de.reg.find(tr, now); re.State == Quarantined {
		return false
	}
	return !de.isConfined(tr.Whole(), now) || pe.isValid(now)
}

// restoreConfinement records a confinement in the store, unless this entry knows better or newer.
func (de *Detector) restoreConfinement(fp Fingerprint, sr *storedRecord, now time.Time) {
	de.mu.Lock()
	defer de.mu.Unlock()
	if de.completed.has(fp, now) {
		de.newReleased = lastOf(append(de.newReleased, fp), maxUnannounced)
		return
	}
	co := de.confined[fp]
	if co == nil {
		co = &confinement{}
		de.putConfinement(fp, co)
	}
	co.update(sr, now)
}

// update applies a newer state of the key.
func (co *confinement) update(sr *storedRecord, now time.Time) {
	if sr.revision > co.revision {
		co.used, co.excused, co.refunded, co.revision, co.changedAt = sr.Permits, sr.Excused, sr.Refunded, sr.revision, now
	}
}

// endConfinement ends the confinement of a request that is quarantined for certain.
func (de *Detector) endConfinement(fp Fingerprint) {
	de.mu.Lock()
	defer de.mu.Unlock()
	delete(de.confined, fp)
}

// forget deletes what is known against a request whose key is gone from the store: it was found innocent.
func (de *Detector) forget(fp Fingerprint) {
	de.mu.Lock()
	defer de.mu.Unlock()
	if de.confined[fp] != nil {
		delete(de.confined, fp)
		delete(de.suspects, fp)
	}
}

// resetRevision records that the key of a request does not exist.
func (de *Detector) resetRevision(fp Fingerprint) {
	de.mu.Lock()
	defer de.mu.Unlock()
	if co := de.confined[fp]; co != nil {
		co.revision = 0
	}
}

// takeConfined returns the requests that this entry has confined since the last call.
func (de *Detector) takeConfined() []Fingerprint {
	de.mu.Lock()
	defer de.mu.Unlock()
	out := de.newConfined
	de.newConfined = nil
	return out
}

// storeUnavailable reports whether the last claim of a permit failed a moment ago, as the store did not answer.
func (de *Detector) storeUnavailable(fp Fingerprint, now time.Time) bool {
	de.mu.Lock()
	defer de.mu.Unlock()
	co := de.confined[fp]
	return co != nil && co.unavailable && now.Before(co.retryAt)
}

// beginClaim returns the state from which a permit may be claimed. It reports false if none may be claimed
// before the returned time.
func (de *Detector) beginClaim(fp Fingerprint, request uint16, now time.Time) (confinement, time.Time, bool) {
	de.mu.Lock()
	defer de.mu.Unlock()
	co := de.confined[fp]
	if co == nil {
		return confinement{}, now, false
	}
	if co.claiming || co.inUse(now) {
		return confinement{}, now, false // The answer to the attempt with that permit may end the confinement.
	}
	if at := co.nextPermit(request, de.count()); now.Before(at) {
		return confinement{}, at, false
	}
	co.claiming = true
	return *co, now, true
}

// endClaim records the result of a claim or a refund: the new state of the key, or nil after a failure.
func (de *Detector) endClaim(fp Fingerprint, sr *storedRecord, unavailable bool, now time.Time) {
	de.mu.Lock()
	defer de.mu.Unlock()
	co := de.confined[fp]
	if co == nil {
		return
	}
	co.claiming, co.unavailable = false, unavailable
	if sr == nil {
		co.retryAt = now.Add(claimBackoff)
		return
	}
	co.update(sr, now)
}
