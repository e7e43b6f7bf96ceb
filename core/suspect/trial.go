package suspect

import (
	"slices"
	"time"
)

// A trait that was in flight at two crashes, one after the other, is tried by one request at a time, at
// one upstream over all entries, until enough is known: each further request with a poisonous trait would
// end one more upstream.

const (
	// suspicionTTL is how long after its last crash a trait is tried by one request at a time.
	suspicionTTL = 10 * time.Second
	// minSuspectCrashes is how many crashes, one after the other, make a trait suspected.
	minSuspectCrashes = 2
	// trialTime is how long a trial may take before the next one begins.
	trialTime = 3 * time.Second
	// severalDelay is by how much the trial of a request waits for each further suspected trait: a crash
	// under several of them does not tell which one is the cause.
	severalDelay = 500 * time.Millisecond
	// trialSpread and probationSpread are the times over which requests are admitted once a trial may begin,
	// and after a quarantine. Other entries learn of the first of them meanwhile.
	trialSpread     = time.Second
	probationSpread = 10 * time.Second
)

// Admission is whether a request may be sent to an upstream.
type Admission int

// The admissions.
const (
	// Admitted: nothing is known against the request, or it is the trial of its suspected traits.
	Admitted Admission = iota
	// Deferred: a trait is suspected, and its cause is found out by other requests at the moment.
	Deferred
	// Refused: the request is quarantined.
	Refused
	// Confined: the attempt needs a permit, from [Recorder.Acquire].
	Confined
)

// trial is a trial in progress, at this or another entry.
type trial struct {
	request uint16
	until   time.Time
}

// Admit decides whether a request may be sent to an upstream now. A refused request stays quarantined until
// the returned time.
func (de *Detector) Admit(tr Traits, request uint16, now time.Time) (Admission, time.Time) {
	de.mu.Lock()
	defer de.mu.Unlock()
	re := de.reg.find(tr, now)
	if re.State == Quarantined {
		return Refused, re.Until
	}
	if de.isConfined(tr.Whole(), now) {
		return Confined, time.Time{}
	}
	return de.admitTrial(tr, request, re, now)
}

// maxUnconfirmed is the number of crashes from which a confined request is not sent without a permit, even if
// the store cannot grant one.
const maxUnconfirmed = minCrashes + 2

// AdmitWithoutStore decides on a confined request while no permit can be claimed: it is tried by one request
// at a time, as far as the entries know of one another. The permit of an admitted one is not in the store. A
// request under which many upstreams have crashed waits for the store.
func (de *Detector) AdmitWithoutStore(tr Traits, request uint16, now time.Time) (*Permit, Admission) {
	de.mu.Lock()
	defer de.mu.Unlock()
	if len(de.suspects[tr.Whole()]) >= maxUnconfirmed {
		return nil, Refused
	}
	ad, _ := de.admitTrial(tr, request, de.reg.find(tr, now), now)
	if ad != Admitted {
		return nil, ad
	}
	return &Permit{until: now.Add(permitTime), cancel: func() { de.cancelTrial(tr) }}, Admitted
}

// cancelTrial ends the trial of a request that was not sent, as far as the siblings have not been told of it.
func (de *Detector) cancelTrial(tr Traits) {
	de.mu.Lock()
	defer de.mu.Unlock()
	for _, fp := range tr {
		delete(de.trials, fp)
	}
	de.newTrials = slices.DeleteFunc(de.newTrials, func(fp Fingerprint) bool { return slices.Contains(tr, fp) })
}

// admitTrial admits a request unless a trait of it is suspected and tried by others. re is the record under
// which it is on probation, if any. The lock is held.
func (de *Detector) admitTrial(tr Traits, request uint16, re Record, now time.Time) (Admission, time.Time) {
	if re.State == Suspected && now.Before(re.Until.Add(spread(probationSpread, request))) {
		return Deferred, time.Time{}
	}
	suspects := de.suspected(tr, re, now)
	if len(suspects) == 0 {
		return Admitted, time.Time{}
	}
	wait := spread(trialSpread, request) + time.Duration(len(suspects)-1)*severalDelay
	for _, fp := range suspects {
		tl := de.trials[fp]
		own := tl.request == request && now.Before(tl.until)
		if !own && now.Before(later(tl.until, de.lastKnown(fp).Add(settleTime+inferenceInterval)).Add(wait)) {
			return Deferred, time.Time{}
		}
	}
	for _, fp := range suspects {
		de.beginTrial(fp, trial{request, now.Add(trialTime)}, now)
		de.newTrials = lastOf(append(de.newTrials, fp), maxUnannounced)
	}
	return Admitted, time.Time{}
}

// spread returns a request's part of a time over which requests are spread.
func spread(over time.Duration, request uint16) time.Duration {
	return over * time.Duration(request) / (1 << 16)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// QuarantinedUntil returns the end of a request's quarantine, and false if it is in none.
func (de *Detector) QuarantinedUntil(tr Traits, now time.Time) (time.Time, bool) {
	re := de.reg.find(tr, now)
	return re.Until, re.State == Quarantined
}

// suspected returns the traits of a request that are to be tried by one request at a time. on is the record
// of a quarantine that has ended, if any.
func (de *Detector) suspected(tr Traits, on Record, now time.Time) []Fingerprint {
	var out []Fingerprint
	for _, fp := range tr {
		if on.State == Suspected && on.Fingerprint == fp || de.isSuspected(fp, now) {
			out = append(out, fp)
		}
	}
	return out
}

func (de *Detector) isSuspected(fp Fingerprint, now time.Time) bool {
	known := de.suspects[fp]
	if len(known) < minSuspectCrashes || now.Sub(known[len(known)-1].Ended) > suspicionTTL || de.completed.has(fp, now) {
		return false
	}
	return de.successive(fp) >= minSuspectCrashes
}

// successive counts the known crashes of a trait, one after the other.
func (de *Detector) successive(fp Fingerprint) int {
	known := de.suspects[fp]
	crashes := make([]Crash, len(known))
	for i, oc := range known {
		crashes[i] = oc.Crash
	}
	return countSuccessive(crashes)
}

// lastKnown returns when this entry learned of the last crash of a trait.
func (de *Detector) lastKnown(fp Fingerprint) time.Time {
	if known := de.suspects[fp]; len(known) > 0 {
		return known[len(known)-1].knownSince
	}
	return time.Time{}
}

// beginTrial records a trial, and forgets those that have ended.
func (de *Detector) beginTrial(fp Fingerprint, tl trial, now time.Time) {
	for other, old := range de.trials {
		if now.After(old.until) {
			delete(de.trials, other)
		}
	}
	if len(de.trials) < maxSuspects {
		de.trials[fp] = tl
	}
}
