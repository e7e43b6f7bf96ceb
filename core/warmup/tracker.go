package warmup

import (
	"slices"
	"sync"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/rendezvous"
)

// Bound is what a service's upstreams can take while they are cold.
type Bound struct {
	// Rate is the requests a second; 0 is no bound.
	Rate float64
	// Duration is how long an upstream is cold after its start.
	Duration time.Duration
}

// Notice is news from the store that an upstream has started, or is cold again.
type Notice struct {
	Upstream core.UpstreamID
	// ColdFor is how long the upstream stays cold, [core.WarmingUnknown], or 0 for
	// a warm one.
	ColdFor time.Duration
	// Entries are those that share the permits, as they were registered at the
	// notice's revision. They must not be changed afterwards.
	Entries []core.ProcessID
	// Exact says that Entries are certain.
	Exact bool
}

// Tracker knows which upstreams are cold and which permits are this entry's. It
// is safe for concurrent use.
type Tracker struct {
	self             core.ProcessID
	overshoot, slack float64

	mu    sync.Mutex
	spans map[core.UpstreamID]*span
}

// span is the time from one notice about an upstream to the next.
type span struct {
	// coldUntil is zero for a warm upstream. Unknown says that it was not told,
	// so that the service's duration counts from noticed.
	coldUntil time.Time
	unknown   bool
	noticed   time.Time
	// entries share the permits, and exact says that they are certain.
	entries []core.ProcessID
	exact   bool
	// rank is this entry's place among them, noRank where it is none of them and
	// unranked until it is asked for: few upstreams are ever cold.
	rank int
	// busy are the permits that are taken.
	busy []*Permit
}

const (
	noRank   = -1
	unranked = -2
)

// Option changes a Tracker at construction.
type Option func(*Tracker)

// Overshoot sets how many requests a cold upstream can take in one second: factor
// times its rate, and slack requests besides.
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

// Permits returns how many requests a cold upstream may get in one second from
// all entries.
func (tr *Tracker) Permits(bo Bound) int { return int(bo.Rate*tr.overshoot + tr.slack) }

// Started begins a span with permits of its own.
func (tr *Tracker) Started(now time.Time, no Notice) {
	sp := &span{entries: no.Entries, exact: no.Exact, rank: unranked}
	sp.note(now, no.ColdFor)
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.spans[no.Upstream] = sp
}

// SetRemaining notes for how long an upstream stays cold from now on; see
// [Notice.ColdFor].
func (tr *Tracker) SetRemaining(now time.Time, id core.UpstreamID, left time.Duration) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if sp := tr.spans[id]; sp != nil {
		sp.note(now, left)
	}
}

// Forget drops an upstream that is gone.
func (tr *Tracker) Forget(id core.UpstreamID) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	delete(tr.spans, id)
}

// Cold reports whether an upstream is cold, as far as it was told.
func (tr *Tracker) Cold(now time.Time, id core.UpstreamID, bo Bound) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	sp := tr.spans[id]
	return sp != nil && bo.Rate > 0 && sp.cold(now, bo)
}

// Open returns the upstreams that this entry may send a request to now. Suspect
// reports whether one may be cold without having told so.
func (tr *Tracker) Open(now time.Time, hosts []core.Host, bo Bound, suspect func(*core.Host) bool) []core.Host {
	if bo.Rate <= 0 {
		return hosts
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	out, whole := hosts, true // Copied only when something is left out.
	for i := range hosts {
		open := tr.free(now, &hosts[i], bo, suspect(&hosts[i]))
		switch {
		case whole && !open:
			out, whole = slices.Clone(hosts[:i]), false
		case !whole && open:
			out = append(out, hosts[i])
		}
	}
	return out
}

// Take returns a permit for a request to an upstream, or false where none is free.
// A warm upstream needs none, and the permit is nil.
func (tr *Tracker) Take(now time.Time, ho *core.Host, bo Bound, suspect bool) (*Permit, bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	sp := tr.spans[ho.ID]
	if !tr.free(now, ho, bo, suspect) {
		return nil, false
	}
	if sp == nil || bo.Rate <= 0 || !suspect && !sp.limited(now, bo) {
		return nil, true
	}
	pe := &Permit{tr: tr}
	sp.busy = append(sp.busy, pe)
	return pe, true
}

// free reports whether this entry may send a request to an upstream now.
func (tr *Tracker) free(now time.Time, ho *core.Host, bo Bound, suspect bool) bool {
	sp := tr.spans[ho.ID]
	if sp == nil || bo.Rate <= 0 {
		return true
	}
	if !suspect && !sp.limited(now, bo) {
		return true
	}
	cold := sp.cold(now, bo)
	if cold && !sp.exact {
		return false
	}
	sp.busy = slices.DeleteFunc(sp.busy, func(pe *Permit) bool { return pe.released && !now.Before(pe.freeAt) })
	if !cold && !suspect {
		return len(sp.busy) == 0 // It was warm in the entry's first copy of the list.
	}
	return len(sp.busy) < tr.own(ho.ID, sp, bo)
}

// note takes in how long the upstream stays cold.
func (sp *span) note(now time.Time, left time.Duration) {
	sp.noticed, sp.unknown = now, left < 0
	sp.coldUntil = now.Add(max(left, 0))
}

func (sp *span) cold(now time.Time, bo Bound) bool {
	if sp.unknown {
		return now.Before(sp.noticed.Add(bo.Duration))
	}
	return now.Before(sp.coldUntil)
}

// limited reports whether permits are needed: by a cold upstream, and by one that
// was warm in a copy of the list that does not tell what came before.
func (sp *span) limited(now time.Time, bo Bound) bool {
	return sp.cold(now, bo) || !sp.exact && now.Before(sp.noticed.Add(bo.Duration))
}

// own is how many of all permits are this entry's. They are assigned in turn. An
// entry that was not registered may use one where it knows of no cold upstream.
func (tr *Tracker) own(id core.UpstreamID, sp *span, bo Bound) int {
	if sp.rank == unranked {
		sp.rank = rendezvous.Rank(string(id), sp.entries, tr.self)
	}
	all := tr.Permits(bo)
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

// pause is the time from the beginning of an answer until its permit is free
// again: the second over which requests are counted, and a margin for clocks.
const pause = time.Second + 50*time.Millisecond

// Release frees a permit at the beginning of an answer, or at the end of an attempt
// without one. Its request was sent before that, so the next one is sent more than a
// second later. The first call counts.
func (pe *Permit) Release(now time.Time) {
	if pe == nil {
		return
	}
	pe.tr.mu.Lock()
	defer pe.tr.mu.Unlock()
	if !pe.released {
		pe.released, pe.freeAt = true, now.Add(pause)
	}
}
