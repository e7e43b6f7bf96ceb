package warmup

import (
	"slices"
	"sync"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/rendezvous"
)

// ColdLimit is the load that a service's upstreams can take while they are cold.
type ColdLimit struct {
	// Rate is in requests a second; 0 is no bound.
	Rate float64
	// Duration is how long an upstream is cold after its start.
	Duration time.Duration
}

// Notice reports a change in the store: an upstream has started, or is cold again.
type Notice struct {
	Upstream core.UpstreamID
	// ColdFor is how long the upstream stays cold, [core.WarmingUnknown], or 0 for a warm one.
	ColdFor time.Duration
	// Entries lists the entries that share the permits: those registered in the store at the
	// revision of this change. The slice must not be changed afterwards.
	Entries []core.ProcessID
	// Exact is set when Entries is known to be the list at that revision.
	Exact bool
}

// Tracker tracks which upstreams are cold and which permits belong to this entry. It is safe for
// concurrent use.
type Tracker struct {
	self             core.ProcessID
	overshoot, slack float64

	mu    sync.Mutex
	spans map[core.UpstreamID]*span
}

// span is the time from one notice about an upstream to the next.
type span struct {
	// coldUntil is zero for a warm upstream. unknown is set when the duration was not reported, so
	// that the service's duration counts from noticedAt.
	coldUntil time.Time
	unknown   bool
	noticedAt time.Time
	// entries share the permits; exact is set when the list is certain.
	entries []core.ProcessID
	exact   bool
	// confirmed is set when the upstream itself has said how long it stays cold.
	confirmed bool
	// rank is this entry's rendezvous rank among them, noRank if it is not listed, and unranked
	// until it is needed: few upstreams are ever cold.
	rank int
	// taken are the permits in use, and those that were released but are not free yet.
	taken []*Permit
}

const (
	noRank   = -1
	unranked = -2
)

// Option changes a Tracker at construction.
type Option func(*Tracker)

// Overshoot sets how many requests a cold upstream can take in one second: factor times its rate,
// plus slack requests.
func Overshoot(factor, slack float64) Option {
	return func(tr *Tracker) { tr.overshoot, tr.slack = factor, slack }
}

// New returns a tracker for an entry.
func New(self core.ProcessID, opts ...Option) *Tracker {
	tr := &Tracker{self: self, overshoot: 1, spans: map[core.UpstreamID]*span{}}
	for _, opt := range opts {
		opt(tr)
	}
	return tr
}

// Permits returns how many requests a cold upstream may get in one second from all entries.
func (tr *Tracker) Permits(cl ColdLimit) int { return int(cl.Rate*tr.overshoot + tr.slack) }

// Started begins a new span, with its own permits.
func (tr *Tracker) Started(now time.Time, no Notice) {
	sp := &span{entries: no.Entries, exact: no.Exact, rank: unranked}
	sp.setRemaining(now, no.ColdFor)
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.spans[no.Upstream] = sp
}

// SetRemaining updates how long an upstream stays cold from now on; see [Notice.ColdFor].
func (tr *Tracker) SetRemaining(now time.Time, id core.UpstreamID, left time.Duration) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if sp := tr.spans[id]; sp != nil {
		sp.setRemaining(now, left)
	}
}

// Uncertain reports whether an upstream may be cold without a notice.
func (tr *Tracker) Uncertain(now time.Time, id core.UpstreamID, cl ColdLimit) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	sp := tr.spans[id]
	return sp != nil && cl.Rate > 0 && sp.isUncertain(now, cl)
}

// Confirm records what an upstream, asked at askedAt, has answered: how long it stays cold from now on.
// A notice that came meanwhile is newer.
func (tr *Tracker) Confirm(askedAt, now time.Time, id core.UpstreamID, left time.Duration) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if sp := tr.spans[id]; sp != nil && !sp.noticedAt.After(askedAt) {
		sp.setRemaining(now, left)
		sp.confirmed = true
	}
}

// Forget deletes the state of an upstream that is gone.
func (tr *Tracker) Forget(id core.UpstreamID) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	delete(tr.spans, id)
}

// IsCold reports whether an upstream is cold, as far as was reported.
func (tr *Tracker) IsCold(now time.Time, id core.UpstreamID, cl ColdLimit) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	sp := tr.spans[id]
	return sp != nil && cl.Rate > 0 && sp.isCold(now, cl)
}

// Available returns the upstreams to which this entry may send a request now. Suspect reports
// whether an upstream may be cold without a notice.
func (tr *Tracker) Available(now time.Time, hosts []core.Host, cl ColdLimit, suspect func(*core.Host) bool) []core.Host {
	if cl.Rate <= 0 {
		return hosts
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	out, complete := hosts, true // The slice is copied only when an upstream is left out.
	for i := range hosts {
		available := tr.available(now, &hosts[i], cl, suspect(&hosts[i]))
		switch {
		case complete && !available:
			out, complete = slices.Clone(hosts[:i]), false
		case !complete && available:
			out = append(out, hosts[i])
		}
	}
	return out
}

// Acquire returns a permit for a request to an upstream, or false if none is free. A warm upstream
// needs none, and the permit is nil.
func (tr *Tracker) Acquire(now time.Time, ho *core.Host, cl ColdLimit, suspect bool) (*Permit, bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	sp := tr.spans[ho.ID]
	if !tr.available(now, ho, cl, suspect) {
		return nil, false
	}
	if sp == nil || cl.Rate <= 0 || !suspect && !sp.needsPermit(now, cl) {
		return nil, true
	}
	pe := &Permit{tr: tr}
	sp.taken = append(sp.taken, pe)
	return pe, true
}

// available reports whether this entry may send a request to an upstream now.
func (tr *Tracker) available(now time.Time, ho *core.Host, cl ColdLimit, suspect bool) bool {
	sp := tr.spans[ho.ID]
	if sp == nil || cl.Rate <= 0 {
		return true
	}
	if !suspect && !sp.needsPermit(now, cl) {
		return true
	}
	cold := sp.isCold(now, cl)
	if cold && !sp.exact {
		return false
	}
	sp.taken = slices.DeleteFunc(sp.taken, func(pe *Permit) bool { return pe.released && !now.Before(pe.freeAt) })
	if !cold && !suspect {
		return len(sp.taken) == 0 // It was warm in this entry's first copy of the list; see needsPermit.
	}
	return len(sp.taken) < tr.ownPermits(ho.ID, sp, cl)
}

// setRemaining records how long the upstream stays cold.
func (sp *span) setRemaining(now time.Time, left time.Duration) {
	sp.noticedAt, sp.unknown = now, left < 0
	sp.coldUntil = now.Add(max(left, 0))
}

func (sp *span) isCold(now time.Time, cl ColdLimit) bool {
	if sp.unknown {
		return now.Before(sp.noticedAt.Add(cl.Duration))
	}
	return now.Before(sp.coldUntil)
}

// needsPermit reports whether requests need permits: for a cold upstream, and, for as long as it
// could be cold, for one that was warm in a copy of the list without its earlier changes.
func (sp *span) needsPermit(now time.Time, cl ColdLimit) bool {
	return sp.isCold(now, cl) || sp.isUncertain(now, cl)
}

// isUncertain reports whether the upstream may be cold, although it was warm in this entry's first
// copy of the list.
func (sp *span) isUncertain(now time.Time, cl ColdLimit) bool {
	return !sp.exact && !sp.confirmed && now.Before(sp.noticedAt.Add(cl.Duration))
}

// ownPermits returns how many of all permits belong to this entry. They are assigned round-robin.
// An entry that is missing from a list that may be outdated may use one; a cold upstream with such a
// list gets no request at all.
func (tr *Tracker) ownPermits(id core.UpstreamID, sp *span, cl ColdLimit) int {
	if sp.rank == unranked {
		sp.rank = rendezvous.Rank(string(id), sp.entries, tr.self)
	}
	all := tr.Permits(cl)
	switch {
	case sp.rank == noRank && !sp.exact:
		return 1
	case sp.rank == noRank || sp.rank >= all:
		return 0
	}
	return (all-sp.rank-1)/len(sp.entries) + 1
}

// Permit allows one request to a cold upstream.
type Permit struct {
	tr       *Tracker
	released bool
	freeAt   time.Time
}

// permitCooldown is the time from the beginning of a response until its permit is free again: the
// second over which requests are counted, and a margin for clock differences.
const permitCooldown = time.Second + 50*time.Millisecond

// Release frees a permit when the response begins, or when an attempt ends without one. The request
// was sent before that, so the next one is sent more than a second later. Only the first call has
// an effect.
func (pe *Permit) Release(now time.Time) {
	if pe == nil {
		return
	}
	pe.tr.mu.Lock()
	defer pe.tr.mu.Unlock()
	if !pe.released {
		pe.released, pe.freeAt = true, now.Add(permitCooldown)
	}
}
