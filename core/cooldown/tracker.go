// Package cooldown keeps an entry from sending requests to upstreams that have refused one with a
// Retry-After.
//
// It answers overload of single upstreams: a request that is sent too early is refused again, and
// costs its caller an attempt and the upstream the refusal. The time applies to this entry alone;
// other entries learn of their own by their requests.
//
// # Usage
//
//	tr := cooldown.New()
//	tr.Begin(now, &ho, re.RetryAfter)
//	hosts = tr.Available(now, hosts)
package cooldown

import (
	"maps"
	"slices"
	"sync"
	"time"

	"skylarkstand/core"
)

// Tracker tracks the cooldowns of upstreams. It is safe for concurrent use.
type Tracker struct {
	mu    sync.Mutex
	spans map[core.UpstreamID]span
}

// span is the cooldown of one incarnation of an upstream.
type span struct {
	startedAt int64
	until     time.Time
}

// New returns a tracker without cooldowns.
func New() *Tracker { return &Tracker{spans: map[core.UpstreamID]span{}} }

// Begin begins a cooldown, or extends the one that lasts, and reports whether none lasted before.
func (tr *Tracker) Begin(now time.Time, ho *core.Host, du time.Duration) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	maps.DeleteFunc(tr.spans, func(_ core.UpstreamID, sp span) bool { return !now.Before(sp.until) })
	old, lasts := tr.spans[ho.ID]
	if lasts && old.startedAt > ho.StartedAt {
		return false // The refusal of an earlier incarnation.
	}
	sp := span{ho.StartedAt, now.Add(du)}
	if lasts && old.startedAt == sp.startedAt && old.until.After(sp.until) {
		sp.until = old.until
	}
	tr.spans[ho.ID] = sp
	return !lasts
}

// Available returns the upstreams that have no cooldown.
func (tr *Tracker) Available(now time.Time, hosts []core.Host) []core.Host {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if len(tr.spans) == 0 {
		return hosts
	}
	cooling := func(ho core.Host) bool { return tr.remaining(now, &ho) > 0 }
	if !slices.ContainsFunc(hosts, cooling) {
		return hosts // The slice is copied only when an upstream is left out.
	}
	return slices.DeleteFunc(slices.Clone(hosts), cooling)
}

// Remaining returns the time until the first of the upstreams has no cooldown.
func (tr *Tracker) Remaining(now time.Time, hosts []core.Host) time.Duration {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	least := time.Duration(-1)
	for i := range hosts {
		if left := tr.remaining(now, &hosts[i]); least < 0 || left < least {
			least = left
		}
	}
	return max(least, 0)
}

// Forget deletes the cooldown of an upstream that is gone.
func (tr *Tracker) Forget(id core.UpstreamID) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	delete(tr.spans, id)
}

func (tr *Tracker) remaining(now time.Time, ho *core.Host) time.Duration {
	sp, ok := tr.spans[ho.ID]
	if !ok || sp.startedAt != ho.StartedAt {
		return 0
	}
	return max(sp.until.Sub(now), 0)
}
