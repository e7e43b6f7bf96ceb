package ratelimit

import (
	"math"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"skylarkstand/core"
	"skylarkstand/core/balance"
	"skylarkstand/core/rendezvous"
)

const (
	// burstSeconds and minBurst set the burst of all entries together: as many requests as the rate
	// allows in burstSeconds, and minBurst more. An upstream tolerates 1.5 times its rate and 5 more
	// requests within 4 s; the rest is for entries that disagree about their siblings.
	burstSeconds = 1.5
	minBurst     = 4
	// shareInterval is how often an entry computes its share of a limit, which changes with the list
	// of entries.
	shareInterval = time.Second
	// trialInterval is the time without a confirmation of a limit after which the first holder may
	// send a trial. The others wait for longer, by their rank: the first response makes the other
	// trials needless. It is three times the interval of announcements.
	trialInterval = 15 * time.Second
	// maxInterval bounds the result of [Tracker.Interval], which callers get as a Retry-After.
	maxInterval = 5 * time.Second
)

// limit is the rate limit of one upstream, and this entry's share of it.
type limit struct {
	rate core.Rate
	// start is the start of the upstream's incarnation that reported the limit, see
	// [balance.Incarnation], and startedAt the complete time, or 0 while only siblings have announced
	// the limit.
	start     uint16
	startedAt int64
	// reportedAt is when a response last contained the limit, or a sibling first announced it;
	// confirmedAt is when either last happened, or a trial was sent. announcedAt is when this entry
	// last announced it.
	reportedAt, confirmedAt, announcedAt time.Time
	// entries is the number of entries, holders that of those that share the limit, and rank this
	// entry's place; it is a holder if the rank is below holders. They are as of sharedAt.
	entries, rank, holders int
	sharedAt               time.Time
	// tokens is a holder's bucket.
	tokens *rate.Limiter
	// trialDue is set when a trial should be sent now, and tried when one was sent since the last
	// confirmation.
	trialDue, tried bool
}

func newLimit(start uint16) *limit { return &limit{rate: -1, start: start} }

// appliesTo reports whether this incarnation of the upstream reported the limit.
func (li *limit) appliesTo(ho *core.Host) bool {
	if li.startedAt == 0 {
		return li.start == balance.NewIncarnation(ho).Start
	}
	return li.startedAt == ho.StartedAt
}

// isNewerThan reports whether a later incarnation of the upstream reported the limit.
func (li *limit) isNewerThan(ho *core.Host) bool { return li.startedAt > ho.StartedAt }

// setRate sets the rate and reports whether it has changed.
func (li *limit) setRate(ra core.Rate) bool {
	if li.rate == ra {
		return false
	}
	li.rate, li.sharedAt = ra, time.Time{}
	return true
}

// updateShare computes this entry's share of the limit. An entry that is not registered yet takes
// the share that it will have, and none while it knows no list: each of those that start together would take
// the limit whole.
func (li *limit) updateShare(now time.Time, id core.UpstreamID, self core.ProcessID, entries []core.ProcessID) {
	li.sharedAt = now
	listed := len(entries) > 0
	if !slices.Contains(entries, self) {
		entries = append(slices.Clone(entries), self)
	}
	burst := int(math.Min(burstSeconds*float64(li.rate)+minBurst, math.MaxInt32))
	li.entries, li.rank = len(entries), rendezvous.Rank(string(id), entries, self)
	li.holders = min(len(entries), burst)
	if li.rank >= li.holders || !listed {
		li.tokens = nil
		return
	}
	ownRate, ownBurst := rate.Limit(float64(li.rate)/float64(li.holders)), burst/li.holders
	if li.tokens == nil {
		// The bucket starts empty: the upstream has just had more requests than it accepts.
		li.tokens = rate.NewLimiter(ownRate, ownBurst)
		li.tokens.AllowN(li.reportedAt, ownBurst)
		return
	}
	li.tokens.SetLimitAt(now, ownRate)
	li.tokens.SetBurstAt(now, ownBurst)
}

func (li *limit) available(now time.Time) bool {
	return li.tokens != nil && li.tokens.TokensAt(now) >= 1 || li.mayTry(now)
}

func (li *limit) acquire(now time.Time) bool {
	if li.tokens != nil && li.tokens.AllowN(now, 1) {
		return true
	}
	if !li.mayTry(now) {
		return false
	}
	li.confirmedAt, li.trialDue, li.tried = now, false, true
	return true
}

// mayTry reports whether this entry may send a trial. Without confirmations of the limit, the entries
// take turns, as many in a trialInterval as there are holders.
func (li *limit) mayTry(now time.Time) bool {
	turns := li.holders + li.rank
	if li.tried {
		turns = max(li.entries, li.holders)
	}
	return li.trialDue || now.Sub(li.confirmedAt) >= trialInterval*time.Duration(turns)/time.Duration(li.holders)
}
