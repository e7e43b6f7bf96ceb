package admission

import "time"

// Limits bounds the queue of a controller.
type Limits struct {
	// MaxWait bounds the expected wait of a request without a deadline. When a
	// pool stays full for minutes, a caller that waits half a minute at most can
	// still go elsewhere; HTTP clients commonly time out after one minute.
	MaxWait time.Duration
	// MaxQueue bounds the requests that wait for a pool, MaxQueuePerWorkspace those of one
	// workspace. Both bound memory; the deadline bounds time. A workspace gets a
	// sixteenth, so that one that floods the entry cannot fill the queue for the
	// others.
	MaxQueue, MaxQueuePerWorkspace int
}

const (
	defaultMaxWait        = 30 * time.Second
	defaultMaxQueue       = 4096
	workspaceQueueDivisor = 16
)

// Option sets a limit at construction.
type Option func(*Limits)

// MaxWait bounds the expected wait of a request without a deadline.
func MaxWait(d time.Duration) Option { return func(li *Limits) { li.MaxWait = d } }

// MaxQueue bounds the requests that wait for one pool.
func MaxQueue(n int) Option {
	return func(li *Limits) { li.MaxQueue, li.MaxQueuePerWorkspace = n, max(n/workspaceQueueDivisor, 1) }
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
	// promptTokensPerUnit is the number of prompt tokens that cost an engine about
	// as much as one generated token: prefill is batched, decoding is sequential.
	promptTokensPerUnit = 10
	// initialOutput is the assumed output, in tokens, of a workspace's requests
	// until the first one has ended.
	initialOutput = 128
	// initialSecondsPerUnit is the assumed time per unit of a pool until its first
	// request has ended.
	initialSecondsPerUnit = 0.01
	// smoothing is the weight of the newest response in the moving averages. An
	// eighth follows a change within some twenty responses and limits the effect
	// of a single outlier.
	smoothing = 1.0 / 8
	// shareDeviations is how many standard deviations above its share of the
	// slots a workspace may be before it has to leave the reserve. Two cover random
	// variation all but a few percent of the time.
	shareDeviations = 2
	// reserveDeviations is how many standard deviations of the others' usage a
	// workspace above its share leaves free for them. With two, the others' p95 time
	// to first token rises by half in a pool of twelve; with four, they gain nothing
	// and that workspace gets up to 7% less.
	reserveDeviations = 3
	// bytesPerToken is the size on the link of a generated token as a stream event.
	bytesPerToken = 150
	// crossRegionBytesPerSecond is the number of bytes that a request may send across
	// regions per second of wait that it avoids. With it, a request with a short
	// response crosses as soon as its region is full, a long draft only if it would
	// wait for seconds, and one with a floor plan in its body hardly ever.
	crossRegionBytesPerSecond = 64 << 10
	// minRateShare is the least fraction of a pool's rate assumed to be left to the
	// queue, so that a moment in which none is left does not refuse all requests.
	minRateShare = 0.1
	// waitMargin multiplies the estimated wait when it is compared to a deadline.
	// A request that is admitted and misses its deadline wastes capacity and delays
	// the caller's refusal. With 1.25, a sixth fewer tokens arrive in time at three
	// times the capacity than with 2; with 3, one request in a hundred more is
	// refused at full load.
	waitMargin = 2
	// infeasibleProbeInterval lets one in this many requests that look too long for
	// their deadlines run anyway while slots are free. The estimate may date from
	// a slow period that is over, and only a response can correct it.
	infeasibleProbeInterval = 16
	// maxScan bounds the waiting workspaces checked for one that may start, so that
	// the cost of a start does not grow with their number.
	maxScan = 16
	// minRetryAfter and maxRetryAfter bound Retry-After. In less than a second the
	// queue hardly changes; beyond a minute the estimate is worthless.
	minRetryAfter, maxRetryAfter = time.Second, time.Minute
	// retryJitter is the fraction by which Retry-After is randomly lengthened at
	// most, so that the clients refused in a burst do not retry all at once.
	retryJitter = 0.25
)
