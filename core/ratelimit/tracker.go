package ratelimit

import (
	"sync"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/balance"
)

// Answer is what the header of an upstream's answer says about its rate limit.
type Answer struct {
	Host core.Host
	// Sent is when the request was sent.
	Sent time.Time
	// Limit is the limit that the answer names; nil if it names none.
	Limit *core.Rate
}

// Change is how an answer changes what is known of an upstream's limit.
type Change int

// The changes.
const (
	// Unchanged: nothing new.
	Unchanged Change = iota
	// Limited: the upstream has a limit, or another one than before.
	Limited
	// Lifted: the upstream's limit has ended.
	Lifted
)

// Tracker tracks the limits of upstreams. It is safe for concurrent use.
type Tracker struct {
	self    core.ProcessID
	entries func() []core.ProcessID

	mu sync.Mutex
	// limits holds the limited upstreams by the hash of their id.
	limits map[uint64]*limit
}

// limit is the rate limit of one upstream.
type limit struct {
	rate core.Rate
	// startedAt identifies the incarnation of the upstream that named the limit.
	startedAt int64
	// namedAt is when an answer last named it.
	namedAt time.Time
}

// New returns a tracker for an entry. Entries returns the ids of the registered entries.
func New(self core.ProcessID, entries func() []core.ProcessID) *Tracker {
	return &Tracker{self: self, entries: entries, limits: map[uint64]*limit{}}
}

// Observe records what an answer says.
func (tr *Tracker) Observe(now time.Time, an Answer) Change {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	key := balance.Hash(an.Host.ID)
	li := tr.limits[key]
	if li != nil && an.Host.StartedAt < li.startedAt {
		return Unchanged // The answer of an earlier incarnation.
	}
	if li != nil && an.Host.StartedAt > li.startedAt {
		delete(tr.limits, key)
		li = nil
	}
	switch {
	case an.Limit == nil && li != nil && an.Sent.After(li.namedAt):
		delete(tr.limits, key)
		return Lifted
	case an.Limit == nil:
		return Unchanged
	case li == nil:
		li = &limit{startedAt: an.Host.StartedAt, rate: -1}
		tr.limits[key] = li
	}
	changed := li.rate != *an.Limit
	li.rate, li.namedAt = *an.Limit, now
	if changed {
		return Limited
	}
	return Unchanged
}

// Forget deletes the limit of an upstream that is gone.
func (tr *Tracker) Forget(id core.UpstreamID) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	delete(tr.limits, balance.Hash(id))
}

// Count counts the limited upstreams of a list.
func (tr *Tracker) Count(hosts []core.Host) int {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	sum := 0
	for i := range hosts {
		if li := tr.limits[balance.Hash(hosts[i].ID)]; li != nil && li.startedAt == hosts[i].StartedAt {
			sum++
		}
	}
	return sum
}
