package suspect

import "time"

// Notices are what entries announce to one another about requests.
type Notices struct {
	// Crashes were observed with requests in flight that are not known to be innocent, and Cleared
	// requests were completed. Both are announced to all entries.
	Crashes []Crash
	Cleared []Fingerprint
	// Quarantined are all requests in quarantine, for entries that have started since.
	Quarantined []Record
}

// TakeNotices returns what this entry has to announce, and clears what is announced once.
func (de *Detector) TakeNotices(now time.Time) Notices {
	de.mu.Lock()
	defer de.mu.Unlock()
	no := Notices{Crashes: de.newCrashes, Cleared: de.newCleared, Quarantined: de.reg.List(now)}
	de.newCrashes, de.newCleared = nil, nil
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
	var out []Record
	for _, re := range no.Quarantined {
		// The other entry has missed the news if this one has seen the request completed.
		if !de.completed.has(re.Fingerprint, now) && de.reg.Merge(re, now) {
			out = append(out, re)
		}
	}
	return out
}

// receiveCrash records a crash that another entry has observed. This entry tells the others if it knows
// the request to be innocent, but only from the second crash on: most requests have no other one.
func (de *Detector) receiveCrash(cr Crash, now time.Time) {
	if !de.add(cr, now) || !de.completed.has(cr.Fingerprint, now) || len(de.suspects[cr.Fingerprint]) < 2 {
		return
	}
	de.clear(cr.Fingerprint, now)
	de.announceCleared(cr.Fingerprint)
}

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
