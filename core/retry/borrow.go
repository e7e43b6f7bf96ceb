package retry

import "time"

const (
	// borrowShare is the fraction of the bound by which an entry may exceed its own share while the
	// siblings together have budget left. With it, the shares of all entries still add up to less
	// than the bound, so the bound also holds when reports are outdated or their sender is gone.
	borrowShare = 0.1
	// reportTTL is how long a sibling's report of its remaining budget counts.
	reportTTL = time.Second
	// minReports is the number of siblings whose reports are needed to borrow anything, and
	// reportMargin the retries that each of them may have made since its report.
	minReports   = 3
	reportMargin = 1
)

// siblingReport is the remaining budget that a sibling reported, and when.
type siblingReport struct {
	left float64
	at   time.Time
}

// Report returns the remaining budget that this entry reports to its siblings. It is negative
// after the entry has exceeded its share.
func (wi *Window) Report(now time.Time) float64 {
	wi.mu.Lock()
	defer wi.mu.Unlock()
	wi.bucketAt(now)
	return wi.left(Escalation)
}

// ReceiveReport processes a sibling's report of its remaining budget.
func (wi *Window) ReceiveReport(now time.Time, from uint64, left float64) {
	wi.mu.Lock()
	defer wi.mu.Unlock()
	wi.reports[from] = siblingReport{left, now}
	for id, re := range wi.reports {
		if now.Sub(re.at) > reportTTL {
			delete(wi.reports, id)
		}
	}
}

// mayBorrow reports whether a retry beyond this entry's share may be made.
func (wi *Window) mayBorrow(now time.Time, pu Purpose) bool {
	allowed, retries := wi.allowedAndUsed()
	if (pu.share()+borrowShare)*allowed-retries < 1 {
		return false
	}
	all, entries := wi.left(pu), 0
	for _, re := range wi.reports {
		if now.Sub(re.at) <= reportTTL {
			all += re.left - reportMargin
			entries++
		}
	}
	return entries >= minReports && all >= 1
}
