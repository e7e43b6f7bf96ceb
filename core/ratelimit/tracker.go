package ratelimit

import (
	"slices"
	"sync"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/balance"
)

// Observation is the rate limit in the header of one response.
type Observation struct {
	Host core.Host
	// Sent is when the request was sent.
	Sent time.Time
	// Limit is the limit in the response; nil if it contains none.
	Limit *core.Rate
}

// Change is how a response changes an upstream's limit.
type Change int

// The changes.
const (
	// Unchanged: no change.
	Unchanged Change = iota
	// Limited: the upstream has a limit, or another one than before.
	Limited
	// Lifted: the upstream's limit has ended.
	Lifted
)

// Tracker tracks the limits of upstreams and this entry's share of each. It is safe for concurrent
// use.
type Tracker struct {
	self    core.ProcessID
	entries func() []core.ProcessID

	mu sync.Mutex
	// limits holds the limited upstreams by the hash of their id.
	limits map[uint64]*limit
	// pending are the notices that were not taken yet, by upstream.
	pending map[uint64]Notice
	// liftedAt is when a limit ended, for as long as late notices of it may arrive.
	liftedAt map[uint64]time.Time
}

// New returns a tracker for an entry. Entries returns the ids of the registered entries.
func New(self core.ProcessID, entries func() []core.ProcessID) *Tracker {
	return &Tracker{self: self, entries: entries, limits: map[uint64]*limit{}, pending: map[uint64]Notice{}, liftedAt: map[uint64]time.Time{}}
}

// Observe records the limit of a response.
func (tr *Tracker) Observe(now time.Time, ob Observation) Change {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if ob.Limit == nil && len(tr.limits) == 0 {
		return Unchanged
	}
	in := balance.NewIncarnation(&ob.Host)
	key := in.Upstream
	li := tr.limits[key]
	switch {
	case li != nil && li.isNewerThan(&ob.Host):
		return Unchanged
	case li != nil && !li.appliesTo(&ob.Host):
		delete(tr.limits, key)
		li = nil
	}
	if ob.Limit == nil {
		if li == nil || !ob.Sent.After(li.reportedAt) {
			return Unchanged
		}
		delete(tr.limits, key)
		tr.liftedAt[key] = now
		tr.pending[key] = Notice{Incarnation: in}
		return Lifted
	}
	if li == nil {
		li = newLimit(in.Start)
		tr.limits[key] = li
	}
	limit := FromThousandths(Thousandths(*ob.Limit))
	if limit > li.rate && li.rate >= 0 && ob.Sent.Before(li.reportedAt) {
		return Unchanged // The limit was lowered while this response was in flight.
	}
	changed := li.setRate(limit)
	li.startedAt, li.reportedAt, li.confirmedAt, li.trialDue, li.tried = ob.Host.StartedAt, now, now, false, false
	if changed || now.Sub(li.announcedAt) >= announceInterval {
		li.announcedAt = now
		tr.pending[key] = Notice{Incarnation: in, Limit: &limit}
	}
	if changed {
		return Limited
	}
	return Unchanged
}

// Available returns the upstreams to which this entry may send a request now.
func (tr *Tracker) Available(now time.Time, hosts []core.Host) []core.Host {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if len(tr.limits) == 0 {
		return hosts
	}
	unavailable := func(ho core.Host) bool {
		li := tr.limitOf(now, &ho)
		return li != nil && !li.available(now)
	}
	if !slices.ContainsFunc(hosts, unavailable) {
		return hosts // The slice is copied only when an upstream is left out.
	}
	return slices.DeleteFunc(slices.Clone(hosts), unavailable)
}

// Acquire takes a token for a request to an upstream, or returns false if none is left. An upstream
// without a limit needs none.
func (tr *Tracker) Acquire(now time.Time, ho *core.Host) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	li := tr.limitOf(now, ho)
	return li == nil || li.acquire(now)
}

// Interval returns the mean time between two requests that the upstreams of a list accept from all
// entries together, or false if one of them has no limit.
func (tr *Tracker) Interval(now time.Time, hosts []core.Host) (time.Duration, bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	sum := core.Rate(0)
	for i := range hosts {
		li := tr.limitOf(now, &hosts[i])
		if li == nil {
			return 0, false
		}
		sum += li.rate
	}
	if sum*core.Rate(maxInterval.Seconds()) <= 1 {
		return maxInterval, len(hosts) > 0
	}
	return time.Duration(float64(time.Second) / float64(sum)), true
}

// Forget deletes the limit of an upstream that is gone.
func (tr *Tracker) Forget(id core.UpstreamID) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	delete(tr.limits, balance.Hash(id))
}

// Count counts the limited upstreams of a list.
func (tr *Tracker) Count(now time.Time, hosts []core.Host) int {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	sum := 0
	for i := range hosts {
		if tr.limitOf(now, &hosts[i]) != nil {
			sum++
		}
	}
	return sum
}

// limitOf returns the limit of an upstream with this entry's current share of it, or nil if the
// upstream has none.
func (tr *Tracker) limitOf(now time.Time, ho *core.Host) *limit {
	if len(tr.limits) == 0 {
		return nil
	}
	li := tr.limits[balance.Hash(ho.ID)]
	if li == nil || !li.appliesTo(ho) {
		return nil
	}
	if now.Sub(li.sharedAt) >= shareInterval {
		li.updateShare(now, ho.ID, tr.self, tr.entries())
	}
	return li
}
