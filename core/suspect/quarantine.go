package suspect

import "time"

// find returns the record that applies to a request with some traits: one under which it is quarantined,
// or else one under which it is on probation, with the state Suspected.
func (reg *Registry) find(tr Traits, now time.Time) Record {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	var found Record
	for _, fp := range tr {
		re, ok := reg.records[fp]
		if !ok || re.State != Quarantined || !re.matches(tr) {
			continue
		}
		if now.Before(re.Until) {
			return re
		}
		if reg.onProbation(&re, now) {
			re.State = Suspected
			found = re
		}
	}
	return found
}

// renewed returns the record of a trait that was seen at a crash on probation, quarantined for as long as
// it has been known.
func (reg *Registry) renewed(fp Fingerprint, now time.Time) (Record, bool) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	re, ok := reg.records[fp]
	if !ok || !reg.onProbation(&re, now) {
		return Record{}, false
	}
	re.Until = now.Add(min(max(now.Sub(reg.since[fp]), firstPartTTL), quarantineTTL))
	return re, true
}

// onProbation reports whether a request was quarantined for certain until a moment ago. The registry's lock
// is held.
func (reg *Registry) onProbation(re *Record, now time.Time) bool {
	return re.State == Quarantined && !now.Before(re.Until) && now.Sub(re.Until) < probationTTL && !reg.isProvisional(re)
}

// isProvisional reports whether a quarantine is one of some seconds. The registry's lock is held.
func (reg *Registry) isProvisional(re *Record) bool {
	return re.Until.Sub(reg.since[re.Fingerprint]) <= provisionalTTL
}

// last returns the newest record of a trait, also one that has expired, and whether it is provisional.
func (reg *Registry) last(fp Fingerprint) (re Record, provisional, ok bool) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	re, ok = reg.records[fp]
	return re, reg.isProvisional(&re), ok
}

// remaining returns what the records of quarantine become without an innocent trait.
func (reg *Registry) remaining(innocent Fingerprint) []Record {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	if _, ok := reg.members[innocent]; !ok {
		return nil
	}
	var out []Record
	for _, re := range reg.records {
		if re.State != Quarantined || !re.has(innocent) {
			continue
		}
		if rest, ok := re.without(innocent); ok {
			out = append(out, rest)
		}
	}
	return out
}

// exonerate removes an innocent trait from all records of quarantine. It returns the records that it
// changed, as they were before.
func (reg *Registry) exonerate(innocent Fingerprint) []Record {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	if _, ok := reg.members[innocent]; !ok {
		return nil // The usual case, without a look at each record.
	}
	delete(reg.members, innocent)
	var changed []Record
	for fp, re := range reg.records {
		if re.State != Quarantined || !re.has(innocent) {
			continue
		}
		changed = append(changed, re)
		since := reg.since[fp]
		delete(reg.records, fp)
		delete(reg.since, fp)
		if rest, ok := re.without(innocent); ok {
			reg.put(rest)
			reg.since[rest.Fingerprint] = since
		}
	}
	return changed
}

// knownSince returns when the quarantine of a trait began.
func (reg *Registry) knownSince(fp Fingerprint) time.Time {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	return reg.since[fp]
}

// restore records a quarantine of the store, also one that has ended and is on probation, and when it began.
func (reg *Registry) restore(re Record, since, now time.Time) {
	reg.Merge(re, now)
	reg.mu.Lock()
	defer reg.mu.Unlock()
	if _, ok := reg.records[re.Fingerprint]; !ok && len(reg.records) < maxRecords {
		reg.put(re)
	}
	if known, ok := reg.since[re.Fingerprint]; !since.IsZero() && (!ok || since.Before(known)) {
		reg.since[re.Fingerprint] = since
	}
}

// restore records a quarantine of the store, unless this entry knows better.
func (de *Detector) restore(re Record, since, now time.Time) {
	de.mu.Lock()
	defer de.mu.Unlock()
	if re, ok := de.withoutCompleted(re, now); ok {
		de.reg.restore(re, since, now)
	}
}
