package suspect

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/balance"
)

// Crash is the end of an upstream's process while a request was in flight there. Its times are of this
// entry's clock.
type Crash struct {
	Fingerprint Fingerprint
	Upstream    balance.Incarnation
	// Request distinguishes the requests with this fingerprint; see [RequestHash].
	Request uint16
	// Sent is when the request was sent to the upstream, and Ended when its connection broke.
	Sent, Ended time.Time
}

// RequestHash returns the hash that distinguishes a request from others with its fingerprint.
func RequestHash[T ~string](id T) uint16 {
	return uint16(balance.Hash(id)) //nolint:gosec // The low bits distinguish one request from another.
}

const (
	// minCrashes is how many crashes, one after the other, quarantine a request.
	minCrashes = 3
	// minRequests is how many requests of the caller these must have been. An upstream that fails
	// takes along one request several times, by its retries.
	minRequests = 2
	// tieCrashes is how many crashes tell apart two requests that were always in flight together.
	tieCrashes = 2 * minCrashes
	// crashesPerMargin is the number of crashes per one by which two requests may differ and still be
	// equal causes.
	crashesPerMargin = 8
	// provisionalTTL is how long a request stays quarantined while another one may be the cause as well. If
	// that one is, upstreams go on crashing.
	provisionalTTL = 10 * time.Second
	// settleTime is how old a crash must be to count. Until then, the other entries may announce the
	// requests that were in flight there too.
	settleTime = time.Second
	// inferenceInterval bounds the processor time of inferences.
	inferenceInterval = 500 * time.Millisecond
	// outageTime is the time within which upstreams seem to end at once.
	outageTime = 500 * time.Millisecond
	// overlap is by how much a request may seem to have been sent before the crash that it followed:
	// announcements take that long between regions.
	overlap = 100 * time.Millisecond
	// maxSuspects bounds the requests with crashes, at 100 bytes each and 48 for each crash, and
	// maxCrashes the crashes of one of them.
	maxSuspects = 2048
	maxCrashes  = 64
	// maxUnannounced bounds what waits for the next announcement, of either kind.
	maxUnannounced = 1024
)

// Detector finds poisonous requests where upstreams have no agents, so that no request can run alone.
// It compares the requests that were in flight at each crash, as this entry and its siblings observed
// them, and quarantines one that
//
//   - was in flight at several crashes, one after the other, by more than one request of its caller,
//   - was completed nowhere meanwhile,
//   - was in flight wherever upstreams ended at that time, but for those with another cause, and
//   - explains its crashes better than the other requests in flight: it was in flight at others too,
//     and none of them is quarantined already.
//
// So a request stays free that was in flight beside a poisonous one or in an outage, that is popular, or
// whose connection broke while its upstream stayed up.
//
// It is safe for concurrent use.
type Detector struct {
	reg   *Registry
	self  core.ProcessID
	count func() int

	mu       sync.Mutex
	suspects map[Fingerprint][]observedCrash
	// completed remembers requests that were completed a moment ago, and parts of their prompts.
	completed recentSets
	// trials are the trials of suspected traits, and newTrials those that are not announced yet.
	trials    map[Fingerprint]trial
	newTrials []Fingerprint
	// confined are the requests whose attempts need permits, and newConfined those that this entry has confined
	// and that are not recorded in the store yet.
	confined    map[Fingerprint]*confinement
	newConfined []Fingerprint
	// changedAt is when the last crash was added, and inferredAt when crashes were last attributed.
	changedAt, inferredAt time.Time
	// newCrashes and newCleared are not announced yet.
	newCrashes []Crash
	newCleared []Fingerprint
	// newFound and newReleased are the requests that this entry has put into quarantine for certain, and
	// those that were released from it, and that are not recorded in the store yet.
	newFound    []Record
	newReleased []Fingerprint
}

// observedCrash is a crash with the time from which this entry knows of it.
type observedCrash struct {
	Crash
	knownSince time.Time
}

// Option configures a Detector.
type Option func(*Detector)

// Among sets this entry's id and the function that counts all entries, for news that only some of them tell.
func Among(self core.ProcessID, count func() int) Option {
	return func(de *Detector) { de.self, de.count = self, count }
}

// NewDetector returns a detector that records the requests to quarantine in a registry.
func NewDetector(reg *Registry, opts ...Option) *Detector {
	de := &Detector{reg: reg, suspects: map[Fingerprint][]observedCrash{}, trials: map[Fingerprint]trial{}, confined: map[Fingerprint]*confinement{}, count: func() int { return 1 }}
	for _, opt := range opts {
		opt(de)
	}
	return de
}

// Lookup returns the record of a request at a time. Its state is Free or Quarantined.
func (de *Detector) Lookup(fp Fingerprint, now time.Time) Record { return de.reg.Lookup(fp, now) }

// RecordCrash records a crash that this entry has observed, and reports whether the request is suspected.
func (de *Detector) RecordCrash(cr Crash, now time.Time) bool {
	de.mu.Lock()
	defer de.mu.Unlock()
	if de.completed.has(cr.Fingerprint, now) || !de.add(cr, now) {
		return false
	}
	de.newCrashes = lastOf(append(de.newCrashes, cr), maxUnannounced)
	if co := de.confined[cr.Fingerprint]; co != nil && co.revision == 0 && len(de.suspects[cr.Fingerprint]) >= minCrashes {
		de.newConfined = lastOf(append(de.newConfined, cr.Fingerprint), maxUnannounced)
	}
	if re, ok := de.renew(cr.Fingerprint, now); ok {
		de.newFound = lastOf(append(de.newFound, re), maxUnannounced)
	}
	return true
}

// Crashes returns how many crashes with a trait in flight are known, and how many of them followed one another.
func (de *Detector) Crashes(fp Fingerprint) (known, successive int) {
	de.mu.Lock()
	defer de.mu.Unlock()
	return len(de.suspects[fp]), de.successive(fp)
}

// RecordCompleted records that an upstream completed a request, which is no suspect then.
func (de *Detector) RecordCompleted(fp Fingerprint, now time.Time) {
	de.mu.Lock()
	defer de.mu.Unlock()
	rest := de.reg.remaining(fp)
	if de.clear(fp, now) {
		de.announceCleared(fp)
		de.newFound = lastOf(append(de.newFound, rest...), maxUnannounced)
	}
}

// Quarantine quarantines the requests that are found poisonous, and returns their records.
func (de *Detector) Quarantine(now time.Time) []Record {
	de.mu.Lock()
	defer de.mu.Unlock()
	if de.inferredAt.Sub(de.changedAt) >= settleTime || now.Sub(de.inferredAt) < inferenceInterval {
		return nil
	}
	de.inferredAt = now
	if !de.hasCandidate() {
		return nil
	}
	var out []Record
	for _, fi := range newInference(de.suspects, now).poisonous(de.isQuarantined(now)) {
		re := Record{Fingerprint: fi.fp, State: Quarantined, Until: now.Add(fi.ttl()), With: fi.with}
		if !de.isNews(re, now) {
			continue
		}
		if de.reg.Merge(re, now) {
			out = append(out, re)
			if fi.certain {
				de.newFound = lastOf(append(de.newFound, re), maxUnannounced)
			}
		}
	}
	return out
}

// isNews reports whether a finding tells more than what was known when it was quarantined before.
func (de *Detector) isNews(re Record, now time.Time) bool {
	old, provisional, ok := de.reg.last(re.Fingerprint)
	if !ok || old.State != Quarantined {
		return true
	}
	if now.Before(old.Until) {
		return old.With != re.With || provisional
	}
	return de.lastEnded(re.Fingerprint).After(old.Until)
}

// lastEnded returns the time of the last crash of a trait.
func (de *Detector) lastEnded(fp Fingerprint) time.Time {
	if known := de.suspects[fp]; len(known) > 0 {
		return known[len(known)-1].Ended
	}
	return time.Time{}
}

// ttl returns how long a request that crashes are attributed to is quarantined.
func (fi *finding) ttl() time.Duration {
	switch {
	case !fi.certain:
		return provisionalTTL
	case fi.fp.IsPart():
		return firstPartTTL
	default:
		return quarantineTTL
	}
}

// takeChanges returns what is to be recorded in the store since the last call.
func (de *Detector) takeChanges() (found []Record, released []Fingerprint) {
	de.mu.Lock()
	defer de.mu.Unlock()
	found, released = de.newFound, de.newReleased
	de.newFound, de.newReleased = nil, nil
	return found, released
}

// hasCandidate reports whether a request may be found poisonous. Most crashes leave none, and the
// inference from thousands of suspects takes milliseconds.
func (de *Detector) hasCandidate() bool {
	for _, crashes := range de.suspects {
		if len(crashes) >= minCrashes {
			return true
		}
	}
	return false
}

// isQuarantined returns a function that reports whether a request is quarantined for good,
// whatever other traits it has.
func (de *Detector) isQuarantined(now time.Time) func(Fingerprint) bool {
	return func(fp Fingerprint) bool {
		re := de.reg.Lookup(fp, now)
		return re.State == Quarantined && re.Until.Sub(now) > provisionalTTL && re.companions() == 0
	}
}

// clear records that a request or a part is innocent, and reports whether it was suspected or quarantined.
func (de *Detector) clear(fp Fingerprint, now time.Time) bool {
	de.completed.add(fp, now)
	delete(de.trials, fp)
	changed := de.reg.exonerate(fp)
	quarantined := len(changed) > 0
	for _, re := range changed {
		if rest, ok := re.without(fp); !ok || rest.Fingerprint != re.Fingerprint {
			de.newReleased = lastOf(append(de.newReleased, re.Fingerprint), maxUnannounced)
		}
	}
	if de.confined[fp] != nil {
		delete(de.confined, fp)
		de.newReleased = lastOf(append(de.newReleased, fp), maxUnannounced)
	}
	suspected := len(de.suspects[fp]) > 0
	if suspected {
		delete(de.suspects, fp)
		de.changedAt = now // Its crashes may be attributed to another request now.
	}
	return quarantined || suspected
}

func (de *Detector) announceCleared(fp Fingerprint) {
	de.newCleared = lastOf(append(de.newCleared, fp), maxUnannounced)
}

// lastOf returns up to n last items.
func lastOf[T any](items []T, n int) []T { return items[max(len(items)-n, 0):] }

// add adds a crash, and reports whether it is new. Of several copies that were in flight at a crash, the
// one that was sent first counts.
func (de *Detector) add(cr Crash, now time.Time) bool {
	known := de.suspects[cr.Fingerprint]
	if i := slices.IndexFunc(known, func(oc observedCrash) bool { return oc.Upstream == cr.Upstream }); i >= 0 {
		earlier := known[i].Sent.Sub(cr.Sent) > overlap
		if earlier {
			known[i].Sent = cr.Sent
		}
		return earlier
	}
	if known == nil && len(de.suspects) >= maxSuspects {
		de.evict(now)
	}
	de.changedAt = now
	known = append(known, observedCrash{cr, now})
	de.suspects[cr.Fingerprint] = lastOf(known, maxCrashes)
	delete(de.trials, cr.Fingerprint)
	de.confine(cr.Fingerprint, now)
	return true
}

// renew quarantines a trait again that was seen at a crash on probation, and returns its record.
func (de *Detector) renew(fp Fingerprint, now time.Time) (Record, bool) {
	re, ok := de.reg.renewed(fp, now)
	return re, ok && de.reg.Merge(re, now)
}

// evict deletes the requests whose last crash is the oldest: all that have expired, and a quarter at
// least.
func (de *Detector) evict(now time.Time) {
	type entry struct {
		fp   Fingerprint
		last time.Time
	}
	var all []entry
	for fp, crashes := range de.suspects {
		all = append(all, entry{fp, crashes[len(crashes)-1].Ended})
	}
	slices.SortFunc(all, func(a, b entry) int { return cmp.Or(a.last.Compare(b.last), cmp.Compare(a.fp, b.fp)) })
	for i, en := range all {
		if i >= maxSuspects/4 && now.Sub(en.last) < suspectTTL {
			return
		}
		delete(de.suspects, en.fp)
	}
}
