package admission

import "time"

// Limits bound what a controller lets wait.
type Limits struct {
	// MaxWait bounds the wait of a request without a deadline. It is made for
	// a pool that stays full for minutes: a caller that hears of it after half
	// a minute at most can still go elsewhere, and HTTP clients commonly give
	// up after one minute.
	MaxWait time.Duration
	// MaxQueue bounds the requests that wait for a pool, MaxOwn those of one
	// workspace. Both bound memory, not time: the deadline bounds time. A
	// workspace gets a sixteenth, so that one that floods the entry cannot
	// fill the queue for the others.
	MaxQueue, MaxOwn int
}

const (
	defaultMaxWait  = 30 * time.Second
	defaultMaxQueue = 4096
	ownPart         = 16
)

// Option changes the limits at construction.
type Option func(*Limits)

// MaxWait bounds the wait of a request without a deadline.
func MaxWait(d time.Duration) Option { return func(li *Limits) { li.MaxWait = d } }

// MaxQueue bounds the requests that wait for one pool.
func MaxQueue(n int) Option {
	return func(li *Limits) { li.MaxQueue, li.MaxOwn = n, max(n/ownPart, 1) }
}

func newLimits(opts []Option) Limits {
	var li Limits
	MaxWait(defaultMaxWait)(&li)
	MaxQueue(defaultMaxQueue)(&li)
	for _, opt := range opts {
		opt(&li)
	}
	return li
}

const (
	// promptPerUnit prompt tokens cost an engine about as much as one that it
	// generates: prompts are read in bulk, answers token by token.
	promptPerUnit = 10
	// firstOutput is taken for the length of a workspace's answers before the
	// first one is known.
	firstOutput = 128
	// firstPace is taken for the seconds a unit takes before the first answer.
	firstPace = 0.01
	// smooth is the weight of the newest answer in what is learned. An eighth
	// follows a change within some twenty answers, and one odd answer moves
	// the estimate little.
	smooth = 1.0 / 8
	// ownSpread is how many standard deviations above its share of the places a
	// workspace is taken to be for a moment only, and not to be a hog. Two
	// cover all but a few in a hundred moments.
	ownSpread = 2
	// othersSpread is how many standard deviations of what the others use a
	// hog leaves free for them. Three was measured: with two, the others' p95
	// to the first token rose by half in the pool of twelve; with four, they
	// gained nothing and the hog got up to 7% less.
	othersSpread = 3
	// bytesPerToken is what a generated token takes on a link, as an event of
	// a stream.
	bytesPerToken = 150
	// crossingRate is the bytes that may cross for each second of waiting
	// saved. A short answer then crosses as soon as its region is full, a long
	// draft only when it would wait for seconds, and a floor plan hardly ever.
	crossingRate = 64 << 10
	// leastLeft is the least part of a pool that is taken to be left to those
	// who wait, so that a moment without any does not refuse them all.
	leastLeft = 0.1
	// margin stretches the estimated wait when it is held against a deadline.
	// Work that is admitted and then misses its deadline has cost the pool its
	// time and the caller an early answer. With 1.25 a sixth fewer tokens came
	// in time at three times the load than with 2; with 3, one request in a
	// hundred more was refused at the full load.
	margin = 2
	// hopelessPart is how often work that looks too long for its deadline runs
	// all the same while there is room. The estimate may stem from a slow time
	// that is over, and without an answer nothing would correct it.
	hopelessPart = 16
	// scan bounds how many workspaces are looked at for one that may use the
	// reserve, so that a start costs the same however many wait.
	scan = 16
	// minRetry and maxRetry bound Retry-After. Below a second a client's next
	// try meets the same queue; after a minute the estimate is worth nothing.
	minRetry, maxRetry = time.Second, time.Minute
	// retrySpread lengthens Retry-After by up to this part at random, so that
	// the clients refused in a burst do not come back as one.
	retrySpread = 0.25
)
