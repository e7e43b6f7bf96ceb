package retry

import (
	"math"
	"sync"
	"time"

	"skylarkstand/core"
)

// Window bounds the retries at one service by the requests for it. Retries are all arrivals
// there beyond the first of each request, including escalations in a cascade. It is safe for
// concurrent use.
//
// The bound is on arrivals in any span of the window's length, over all entries, and entries
// cannot coordinate each retry. So each keeps to a bound of its own, and these add up: in each
// span, its retries stay below the ratio of its requests, as the mean of those in the span and
// those in the span before it, plus its share of the slack. The mean is linear, so that the sum of
// the entries' bounds is the bound of the sum, whichever of them gets the requests and whenever
// they start, stop or learn of one another.
//
// A retry counts in each span in which it may arrive: from the time it is granted until it is
// known to have arrived, or to arrive no more. See [Request].
type Window struct {
	ratio float64
	// slack returns this entry's share of the retries that are allowed beyond the ratio.
	slack        func(now time.Time) float64
	length       time.Duration
	bucketLength time.Duration
	// delay, hold and transit are requestDelay, HoldTime and TransitTime in buckets.
	delay, hold, transit int64

	mu sync.Mutex
	// epoch is the first time seen. Times are counted from it by the monotonic clock, since the
	// wall clock may jump.
	epoch time.Time
	// head is the index of the newest bucket, counted from epoch; its place is head % ringLength.
	head int64
	// requests and settled count the requests, and the retries that have certainly arrived by then, by
	// bucket. outstanding counts the granted retries that may still arrive.
	requests, settled [ringLength]float64
	outstanding       float64
	// unconfirmed are the attempts that may still arrive at an upstream, in the order in which they were
	// sent.
	unconfirmed map[core.UpstreamID][]*Attempt
	sweptAt     time.Time
	// lent are the loans to siblings, in the order of their ends, and refusedAt is when none of them lent one.
	lent      []loan
	refusedAt time.Time
}

const (
	// spanBuckets is the number of buckets in a window.
	spanBuckets = 200
	// ringLength covers the spans that contain the present, and the requests that pay for them.
	ringLength = 2 * spanBuckets
)

const (
	// requestDelay is how much later than its caller sent it a request may be counted.
	requestDelay = 100 * time.Millisecond
	// HoldTime is how long a granted retry may wait until it is sent.
	HoldTime = 400 * time.Millisecond
	// TransitTime is how long an attempt may take until it arrives. It is a little longer than the kernel repeats
	// bytes that are not acknowledged, see io/upstream.
	TransitTime = 2600 * time.Millisecond
)

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

// escalationShare is the fraction of the bound that escalations may use.
const escalationShare = 0.95

// share returns the fraction of the bound that retries for this purpose may use.
func (pu Purpose) share() float64 {
	if pu == Escalation {
		return escalationShare
	}
	return 1
}

// NewWindow returns a window of the given length, with a ratio of retries to requests. slack
// returns this entry's current share of the retries allowed beyond the ratio.
func NewWindow(length time.Duration, ratio float64, slack func(now time.Time) float64) *Window {
	wi := &Window{
		ratio: ratio, slack: slack, length: length, bucketLength: length / spanBuckets,
		unconfirmed: map[core.UpstreamID][]*Attempt{},
	}
	wi.delay, wi.hold, wi.transit = wi.bucketsIn(requestDelay), wi.bucketsIn(HoldTime), wi.bucketsIn(TransitTime)
	return wi
}

// bucketsIn returns the number of buckets that cover a time.
func (wi *Window) bucketsIn(d time.Duration) int64 {
	return int64((d + wi.bucketLength - 1) / wi.bucketLength)
}

// Left returns the number of retries left for a purpose.
func (wi *Window) Left(now time.Time, pu Purpose) float64 {
	wi.mu.Lock()
	defer wi.mu.Unlock()
	wi.advance(now)
	return max(wi.left(now, pu), 0)
}

// left returns the retries left in the tightest of the spans that contain the present or begin while a
// retry granted now may arrive.
func (wi *Window) left(now time.Time, pu Purpose) float64 {
	// A span that begins within bucket b ends within bucket b+spanBuckets, and the one before it begins within
	// bucket b-spanBuckets.
	first := min(-spanBuckets+1+wi.delay, 0)
	b := wi.head + wi.hold + wi.transit
	slack, retries, requests := wi.slack(now), wi.outstanding, 0.0
	for i := b + first; i <= wi.head; i++ {
		requests += wi.requests[place(i)]
	}
	least := math.Inf(1)
	for ; b >= wi.head-spanBuckets; b-- {
		if b <= wi.head {
			retries += wi.settled[place(b)]
		}
		least = min(least, pu.share()*(wi.ratio*requests/2+slack)-retries)
		if i := b - 1 + first; i <= wi.head {
			requests += wi.requests[place(i)]
		}
	}
	return least
}

// place returns the place of a bucket in the ring. Buckets before the epoch are empty.
func place(bucket int64) int64 { return (bucket%ringLength + ringLength) % ringLength }

// advance moves the head to the bucket of a time, and clears the buckets that it passes.
func (wi *Window) advance(now time.Time) {
	if wi.epoch.IsZero() {
		wi.epoch, wi.sweptAt = now, now
	}
	index := max(int64(now.Sub(wi.epoch)/wi.bucketLength), wi.head)
	for i := max(wi.head, index-ringLength) + 1; i <= index; i++ {
		wi.requests[place(i)], wi.settled[place(i)] = 0, 0
	}
	wi.head = index
	wi.settleLoans()
	wi.sweep(now)
}
