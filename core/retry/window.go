package retry

import (
	"sync"
	"time"
)

// Window bounds the repeats at one service by the requests for it: repeats are
// all arrivals there beyond the first of each request, also those of a cascade
// that climbs. It is safe for concurrent use.
//
// All entries share one bound and cannot ask one another for each repeat. Each
// keeps to the ratio of its own requests and to its part of the slack, so that
// the sum keeps to the bound whatever the others do. With few requests each, some
// have none left while most have plenty; so entries tell one another what they have
// left, and one may go beyond its own part by [lentPart] while all together have
// some left.
type Window struct {
	ratio  float64
	slack  func() float64
	bucket time.Duration

	mu sync.Mutex
	// epoch is the first time seen. Times are counted from it, by the steady
	// clock, since the time of day may jump.
	epoch   time.Time
	buckets [buckets]bucket
	head    int64
	// told is what others have left, by their processes.
	told map[uint64]toldLeft
}

// buckets is how finely the window slides.
const buckets = 20

type bucket struct{ requests, repeats float64 }

// Purpose says what a repeat is for.
type Purpose int

// The purposes. A climb gives way first: its request has an answer already.
const (
	Retry Purpose = iota
	Climb
)

// String names a purpose in logs and metrics.
func (pu Purpose) String() string { return [...]string{"retry", "climb"}[pu] }

const (
	// retryPart and climbPart are the parts of the bound that are used. The
	// rest is for requests that were counted here and left the sliding window
	// of the bound a moment sooner.
	retryPart = 0.85
	climbPart = 0.8
)

const (
	// leastParts is the parts that a shared slack has at least: an entry that has
	// just started may not know of the others yet. Twenty of them would use 1.06
	// of it together, which what is left of the ratio makes up for.
	leastParts = 16
	// spareParts is the parts for each entry that is known; some more may be
	// starting.
	spareParts = 1.2
)

// Share returns an entry's part of a slack that so many entries have together.
func Share(slack float64, entries int) float64 {
	return slack / max(leastParts, spareParts*float64(entries))
}

// NewWindow returns a window of a length, with a ratio of repeats to requests
// and this entry's part of the slack at any time.
func NewWindow(length time.Duration, ratio float64, slack func() float64) *Window {
	return &Window{ratio: ratio, slack: slack, bucket: length / buckets, told: map[uint64]toldLeft{}}
}

// Arrived counts a request.
func (wi *Window) Arrived(now time.Time) {
	wi.mu.Lock()
	defer wi.mu.Unlock()
	wi.at(now).requests++
}

// Spend takes a repeat, or reports that there is none left.
func (wi *Window) Spend(now time.Time, pu Purpose) bool {
	wi.mu.Lock()
	defer wi.mu.Unlock()
	cur := wi.at(now)
	if wi.left(pu) < 1 && !wi.lent(now, pu) {
		return false
	}
	cur.repeats++
	return true
}

// Left returns how many repeats there are now.
func (wi *Window) Left(now time.Time, pu Purpose) float64 {
	wi.mu.Lock()
	defer wi.mu.Unlock()
	wi.at(now)
	return max(wi.left(pu), 0)
}

func (wi *Window) left(pu Purpose) float64 {
	allowed, repeats := wi.sum()
	return pu.part()*allowed - repeats
}

// sum returns the entry's part of the bound and the repeats that it made.
func (wi *Window) sum() (allowed, repeats float64) {
	requests := 0.0
	for _, bu := range wi.buckets {
		requests += bu.requests
		repeats += bu.repeats
	}
	return wi.ratio*requests + wi.slack(), repeats
}

// part is the part of the bound that is used for a purpose.
func (pu Purpose) part() float64 {
	if pu == Climb {
		return climbPart
	}
	return retryPart
}

// at returns the bucket of a time, with those since the last one cleared.
func (wi *Window) at(now time.Time) *bucket {
	if wi.epoch.IsZero() {
		wi.epoch = now
	}
	index := max(int64(now.Sub(wi.epoch)/wi.bucket), wi.head)
	for i := max(wi.head, index-buckets) + 1; i <= index; i++ {
		wi.buckets[i%buckets] = bucket{}
	}
	wi.head = index
	return &wi.buckets[wi.head%buckets]
}
