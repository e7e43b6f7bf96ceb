package retry

import (
	"sync"
	"time"
)

// Window bounds the retries at one service by the requests for it. Retries are all arrivals
// there beyond the first of each request, including escalations in a cascade. It is safe for
// concurrent use.
//
// All entries share one bound and cannot coordinate each retry. Each keeps to the ratio of its
// own requests and to its share of the burst, so that the sum keeps to the bound whatever the
// others do. With few requests each, some entries have no retries left while most have plenty.
// So entries report their remaining budget to their siblings, and one may exceed its own share by
// [borrowShare] while all together have some left.
type Window struct {
	ratio float64
	// burst returns this entry's share of the retries that are allowed beyond the ratio (the
	// setting `slack`).
	burst        func() float64
	bucketLength time.Duration

	mu sync.Mutex
	// epoch is the first time seen. Times are counted from it by the monotonic clock, since the
	// wall clock may jump.
	epoch   time.Time
	buckets [bucketCount]bucket
	// head is the index of the newest bucket, counted from epoch; its place is head % bucketCount.
	head int64
	// reports holds the siblings' remaining budgets, by the hashes of their process ids.
	reports map[uint64]siblingReport
}

// bucketCount is the number of buckets in a window.
const bucketCount = 20

type bucket struct{ requests, retries float64 }

// Purpose is the reason for a retry.
type Purpose int

// The purposes. Escalation, the use of a larger model, is refused first: its request has an
// answer already.
const (
	Retry Purpose = iota
	Escalation
	// Resumption continues a broken stream.
	Resumption
)

// String returns the purpose's name in logs and metrics.
func (pu Purpose) String() string { return [...]string{"retry", "climb", "resume"}[pu] }

const (
	// retryShare and escalationShare are the fractions of the bound that each purpose may use.
	// The rest allows for requests that still count here but have just left the sliding window
	// of the bound.
	retryShare      = 0.85
	escalationShare = 0.8
)

const (
	// minParts is the least number of parts that a shared burst is divided into: an entry that
	// has just started may not have discovered its siblings yet. Twenty of them would use 1.06
	// of it together, which the unused rest of the ratio makes up for.
	minParts = 16
	// partsPerEntry is the number of parts for each known entry; some more entries may be
	// starting.
	partsPerEntry = 1.2
)

// BurstShare returns an entry's share of a burst, the retries allowed beyond the ratio, that the
// given number of entries share.
func BurstShare(burst float64, entries int) float64 {
	return burst / max(minParts, partsPerEntry*float64(entries))
}

// NewWindow returns a window of the given length, with a ratio of retries to requests. burst
// returns this entry's current share of the burst, see [BurstShare].
func NewWindow(length time.Duration, ratio float64, burst func() float64) *Window {
	return &Window{ratio: ratio, burst: burst, bucketLength: length / bucketCount, reports: map[uint64]siblingReport{}}
}

// Arrived counts a request.
func (wi *Window) Arrived(now time.Time) {
	wi.mu.Lock()
	defer wi.mu.Unlock()
	wi.bucketAt(now).requests++
}

// Spend takes a retry from the budget, or returns false when there is none left.
func (wi *Window) Spend(now time.Time, pu Purpose) bool {
	wi.mu.Lock()
	defer wi.mu.Unlock()
	cur := wi.bucketAt(now)
	if wi.left(pu) < 1 && !wi.mayBorrow(now, pu) {
		return false
	}
	cur.retries++
	return true
}

// Left returns the number of retries left for a purpose.
func (wi *Window) Left(now time.Time, pu Purpose) float64 {
	wi.mu.Lock()
	defer wi.mu.Unlock()
	wi.bucketAt(now)
	return max(wi.left(pu), 0)
}

func (wi *Window) left(pu Purpose) float64 {
	allowed, retries := wi.allowedAndUsed()
	return pu.share()*allowed - retries
}

// allowedAndUsed returns the entry's share of the bound, and its retries in the window.
func (wi *Window) allowedAndUsed() (allowed, retries float64) {
	requests := 0.0
	for _, bu := range wi.buckets {
		requests += bu.requests
		retries += bu.retries
	}
	return wi.ratio*requests + wi.burst(), retries
}

// share returns the fraction of the bound that retries for this purpose may use.
func (pu Purpose) share() float64 {
	if pu == Escalation {
		return escalationShare
	}
	return retryShare
}

// bucketAt returns the bucket of a time, and clears the buckets that were skipped since the last
// one.
func (wi *Window) bucketAt(now time.Time) *bucket {
	if wi.epoch.IsZero() {
		wi.epoch = now
	}
	index := max(int64(now.Sub(wi.epoch)/wi.bucketLength), wi.head)
	for i := max(wi.head, index-bucketCount) + 1; i <= index; i++ {
		wi.buckets[i%bucketCount] = bucket{}
	}
	wi.head = index
	return &wi.buckets[wi.head%bucketCount]
}
