package suspect

import (
	"fmt"
	"time"

	"skylarkstand/core/balance"
)

// Notices are what entries announce to one another about requests.
type Notices struct {
	// Crashes were observed with requests in flight that are not known to be innocent, and Cleared
	// requests were completed. Both are announced to all entries.
	Crashes []Crash
	Cleared []Fingerprint
	// Trials are the suspected traits of requests that were just sent, announced to all entries.
	Trials []Fingerprint
	// Quarantined are all requests in quarantine, for entries that have started since.
	Quarantined []Record
}

// TakeNotices returns what this entry has to announce, and clears what is announced once.
func (de *Detector) TakeNotices(now time.Time) Notices {
	de.mu.Lock()
	defer de.mu.Unlock()
	no := Notices{Crashes: de.newCrashes, Cleared: de.newCleared, Trials: de.newTrials, Quarantined: de.reg.List(now)}
	de.newCrashes, de.newCleared, de.newTrials = nil, nil, nil
	return no
}

// ReceiveNotices processes what another entry has announced, and returns the records that are new.
func (de *Detector) ReceiveNotices(now time.Time, no Notices) []Record {
	de.mu.Lock()
	defer de.mu.Unlock()
	for _, fp := range no.Cleared {
		de.clear(fp, now)
	}
	for _, cr := range no.Crashes {
		de.receiveCrash(cr, now)
	}
	for _, fp := range no.Trials {
		de.beginTrial(fp, trial{until: now.Add(trialTime)}, now)
	}
	var out []Record
	for _, re := range no.Quarantined {
		if re, ok := de.withoutCompleted(re, now); ok && de.reg.Merge(re, now) {
			out = append(out, re)
		}
	}
	return out
}

// withoutCompleted returns another entry's record without the traits that this entry knows to be innocent:
// the other one has missed that news. It reports false if none is left.
func (de *Detector) withoutCompleted(re Record, now time.Time) (Record, bool) {
	ok := true
	for _, fp := range append([]Fingerprint{re.Fingerprint}, re.With[:]...) {
		if fp != 0 && ok && de.completed.has(fp, now) {
			re, ok = re.without(fp)
		}
	}
	return re, ok
}

// maxTellers is how many entries, on average, tell the others that a trait is innocent.
const maxTellers = 8

// receiveCrash records a crash that another entry has observed. This entry may tell the others if it knows
// the trait to be innocent, but only from the second crash on: most traits have no other one.
func (de *Detector) receiveCrash(cr Crash, now time.Time) {
	if !de.add(cr, now) {
		return
	}
	de.renew(cr.Fingerprint, now) // The entry that observed the crash writes it to the store.
	if !de.completed.has(cr.Fingerprint, now) || len(de.suspects[cr.Fingerprint]) < 2 {
		return
	}
	de.clear(cr.Fingerprint, now)
	if de.tells(&cr) {
		de.announceCleared(cr.Fingerprint)
	}
}

// tells reports whether this entry is one of those that answer the news of a crash. A popular part is known
// to be innocent at all of them.
func (de *Detector) tells(cr *Crash) bool {
	entries := uint64(max(de.count(), 1)) //nolint:gosec // Positive.
	draw := balance.Hash(fmt.Sprint(de.self, cr.Fingerprint, cr.Upstream.Upstream))
	return draw%entries < maxTellers
}

// recentSets remembers requests and parts apart: requests are many, and mostly never seen again.
type recentSets struct{ requests, parts recentSet }

func (rs *recentSets) of(fp Fingerprint) *recentSet {
	if fp.IsPart() {
		return &rs.parts
	}
	return &rs.requests
}

func (rs *recentSets) add(fp Fingerprint, now time.Time) { rs.of(fp).add(fp, now) }

func (rs *recentSets) has(fp Fingerprint, now time.Time) bool { return rs.of(fp).has(fp, now) }

// recentSet remembers fingerprints for at least completedTTL and at most twice that time.
type recentSet struct {
	current, previous map[Fingerprint]struct{}
	began             time.Time
}

const (
	// completedTTL is how long a completed request counts as innocent at crashes that follow.
	completedTTL = 10 * time.Second
	// maxCompleted bounds each half of a recentSet, at 20 bytes for each request.
	maxCompleted = 8192
)

func (rs *recentSet) add(fp Fingerprint, now time.Time) {
	rs.rotate(now)
	if len(rs.current) < maxCompleted {
		rs.current[fp] = struct{}{}
	}
}

func (rs *recentSet) has(fp Fingerprint, now time.Time) bool {
	rs.rotate(now)
	_, current := rs.current[fp]
	_, previous := rs.previous[fp]
	return current || previous
}

func (rs *recentSet) rotate(now time.Time) {
	if rs.current != nil && now.Sub(rs.began) < completedTTL {
		return
	}
	rs.previous = rs.current
	if now.Sub(rs.began) >= 2*completedTTL {
		rs.previous = nil
	}
	rs.current, rs.began = map[Fingerprint]struct{}{}, now
}
