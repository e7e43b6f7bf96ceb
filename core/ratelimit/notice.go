package ratelimit

import (
	"maps"
	"math"
	"slices"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/balance"
)

// Notice announces an upstream's limit to sibling entries.
type Notice struct {
	balance.Incarnation
	// Limit is the limit; nil if it has ended.
	Limit *core.Rate
}

// maxThousandths bounds a limit in thousandths of a request a second.
const maxThousandths = math.MaxUint32 - 1

// Thousandths returns a limit in thousandths of a request a second. Entries agree on limits with this
// resolution.
func Thousandths(ra core.Rate) uint32 {
	return uint32(math.Round(min(float64(ra)*1000, maxThousandths)))
}

// FromThousandths returns the limit of which Thousandths returns n.
func FromThousandths(n uint32) core.Rate { return core.Rate(n) / 1000 }

const (
	// announceInterval is how often an entry announces a limit that its upstream continues to report.
	announceInterval = 5 * time.Second
	// noticeDelay is the age that a notice may have: the time between two rounds of announcements and
	// the delivery, with a margin.
	noticeDelay = time.Second
	// noticeTTL is how long a limit is kept without a confirmation. By then every entry has sent
	// trials, or has no requests for the upstream.
	noticeTTL = 10 * time.Minute
)

// TakeNotices returns the notices to announce since the last call.
func (tr *Tracker) TakeNotices(now time.Time) []Notice {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	maps.DeleteFunc(tr.limits, func(_ uint64, li *limit) bool { return now.Sub(li.confirmedAt) >= noticeTTL })
	maps.DeleteFunc(tr.liftedAt, func(_ uint64, at time.Time) bool { return now.Sub(at) >= noticeDelay })
	if len(tr.pending) == 0 {
		return nil
	}
	out := slices.Collect(maps.Values(tr.pending))
	clear(tr.pending)
	return out
}

// ReceiveNotices applies the notices of a sibling entry, and returns those that changed a limit here.
//
// The end of a limit is only a hint, since a notice may be older than the limit: this entry sends a
// trial at once.
func (tr *Tracker) ReceiveNotices(now time.Time, notices []Notice) []Notice {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	var changed []Notice
	for _, no := range notices {
		li := tr.limits[no.Upstream]
		if li != nil && li.start != no.Start {
			continue // A response will show which incarnation is the newer one.
		}
		switch lifted, ok := tr.liftedAt[no.Upstream]; {
		case no.Limit == nil && li != nil:
			li.trialDue = true
		case no.Limit == nil:
			tr.liftedAt[no.Upstream] = now
		case li == nil && ok && now.Sub(lifted) < noticeDelay:
			// The notice may be older than the end of the limit.
		case tr.applyNotice(now, li, no):
			changed = append(changed, no)
		}
	}
	return changed
}

// applyNotice applies a notice of a limit, and reports whether it is a new one or has another rate.
func (tr *Tracker) applyNotice(now time.Time, li *limit, no Notice) bool {
	if li == nil {
		li = newLimit(no.Start)
		tr.limits[no.Upstream] = li
	}
	li.confirmedAt, li.tried = now, false
	if !li.setRate(*no.Limit) {
		return false
	}
	li.reportedAt = now
	return true
}
