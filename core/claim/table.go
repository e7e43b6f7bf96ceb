// Package claim makes an operation run at most once across the whole fleet.
//
// Before an agent calls an upstream for a subsidy claim, a survey booking, a stock hold or a
// shipment confirmation, it claims the caller's idempotency key in the platform's store. Only the
// owner of the claim calls the upstream. A claim is never taken over: if its owner is gone, the
// outcome stays unknown permanently, because the owner may have called the upstream before it died.
//
// A claim goes from claimed to done, with the answer, or is released. Its owner releases it only
// when it certainly never called the upstream. A released claim is absent: the key can be claimed
// again.
//
// # Buckets
//
// The store limits the rate of calls, so claims cannot each have a key of their own. The claims of
// a service are distributed over [Buckets] values by the hash of their key. A process has one write
// in flight per bucket; claims, answers and releases that arrive meanwhile are batched into the
// next write. Without load a claim is written at once; under load the process's write budget limits
// the rate of writes and the batches grow. Correctness depends on compare-and-swap alone, however
// many processes write a bucket.
//
// # Lost replies
//
// A write whose reply was lost may take effect at any later time, until the bucket's revision has
// changed. To settle it, the process reads the bucket back and, while the revision is unchanged,
// writes again from the same revision. Until then no claim of that write is reported as owned. A
// caller that stops waiting receives ErrOutcomeUnknown and must not dispatch; its claim is released
// in the background, so that the key stays usable.
//
// # Retention
//
// A done claim is kept for the retention, a claim without an answer for twice as long. A key that
// is a UUIDv7 and older than the retention is refused. The bucket records the latest time of a
// dropped claim and refuses time-ordered keys from before it, so that such a key never runs twice,
// whatever the agents' clocks show. A key of another form carries no time: it may run again when it
// is first retried after the retention. Callers are advised to use UUIDv7 or to stop retrying in
// time.
//
// # Segments
//
// When a bucket grows, its done claims are archived in a segment, a key of its own that is written
// once and never changes until retention deletes it as a whole. The bucket records which segments
// belong to it. A process reads each segment once and keeps in memory which segment holds which
// key, about 40 bytes a claim; it reads the answer again when a key is retried. A process that uses
// a bucket for the first time reads the bucket's segments first, and refuses claims until it has:
// with a million claims within the retention that takes seconds.
//
// # A full bucket
//
// A bucket is at most [MaxBucket] bytes. Claims without an answer, in progress or of unknown
// outcome, cannot be archived. When they fill the bucket, it refuses new claims (ErrFull, nothing
// claimed) until retention drops some. No claim within its retention is ever dropped to make room.
//
// # Usage
//
//	tbl, cleanup := claim.New(deps, store, claim.Retention(24*time.Hour))
//	out, err := tbl.Claim(ctx, claim.Request{Key: key, Digest: digest, Attempt: id})
//	switch out.State { case claim.Owned: … case claim.Done: … }
//	err = tbl.Finish(ctx, req, answer)      // or tbl.Release(ctx, req)
package claim

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"skylarkstand/core"
)

// State is the progress of a claimed operation.
type State string

// The states. Owned is reported only to the owner.
const (
	Owned   State = "owned"
	Claimed State = "claimed"
	Done    State = "done"
)

// Request is a request for a claim.
type Request struct {
	Key Key
	// Digest is the digest of the body. The same key with another digest is refused.
	Digest  string
	Attempt core.AttemptID
}

// Answer is the stored answer of a done operation.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content-type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Dropped reports whether the body was too large to store.
	Dropped bool `json:"dropped,omitempty"`
}

// trimmed returns the part of the answer that is stored.
func (an Answer) trimmed() Answer {
	if len(an.Body) > MaxAnswer {
		an.Body, an.Dropped = nil, true
	}
	if len(an.ContentType) > maxContentType {
		an.ContentType = ""
	}
	return an
}

// Outcome is the result of a claim.
type Outcome struct {
	State State
	// Attempt and Owner identify the holder when State is Claimed.
	Attempt core.AttemptID
	Owner   core.ProcessID
	// Answer is set when State is Done.
	Answer Answer
	// RunBefore is set when State is Owned. An owner that was paused past this time must release
	// instead of running: other agents drop its claim some time later, and the key may then run
	// again.
	RunBefore time.Time
}

// Errors of a table. After any of them the caller must not dispatch. After an error of Claim, this
// process never dispatches that request.
var (
	// ErrReused: the key was already used with another body.
	ErrReused = errors.New("claim: idempotency key was already used with another body")
	// ErrExpired: the key's timestamp is outside the retention, so it is unknown whether the
	// operation ran.
	ErrExpired = errors.New("claim: timestamp of the idempotency key is outside the retention")
	// ErrFull: the bucket has no room for another claim.
	ErrFull = errors.New("claim: bucket is full of claims without an answer")
	// ErrBusy: too many claims wait in this process.
	ErrBusy = errors.New("claim: too many claims wait to be written in this process")
	// ErrStoreUnavailable: the store is unreachable; nothing was claimed.
	ErrStoreUnavailable = errors.New("claim: store is unreachable, nothing was claimed")
	// ErrOutcomeUnknown: it is unknown whether the claim was written.
	ErrOutcomeUnknown = errors.New("claim: unknown whether the write took effect")
	// ErrNotOwner: the claim to finish or release belongs to another attempt.
	ErrNotOwner = errors.New("claim: claim belongs to another attempt")
)

const (
	// Buckets is the number of values that a service's claims are distributed over. It is sized for
	// 2,000 operations a second at a store that accepts 100 writes a second: each of the 16 buckets
	// is then written about six times a second, so a claim waits less than 200 ms, and each of the
	// three hosts that a plain service has today gets a few buckets. Fewer buckets would make hosts
	// conflict on one value; more would make smaller batches and longer waits at the same rate.
	//
	// It is a constant and not a setting: two agents with different values would look for one key
	// in two places and run it twice.
	Buckets = 16
	// MaxBucket bounds a bucket's value, in bytes. It leaves room below the store's limit for the
	// states and closing brackets of answers.
	MaxBucket = core.MaxValue - 64<<10
	// MaxAnswer bounds the body of a stored answer, in bytes. A confirmation takes some hundred
	// bytes; a large body would take the room of many claims and be rewritten by each write of its
	// bucket.
	MaxAnswer = 2 << 10
	// maxContentType bounds the content type, whose size is part of a record's fixed overhead.
	maxContentType = 100
	// maxClockSkew bounds the clock error of callers and other agents.
	maxClockSkew = 5 * time.Minute
	// defaultRetention covers a caller that retries over a working day.
	defaultRetention = 24 * time.Hour
	// defaultWrites is a process's share of the store's write rate, per second: three agents of a
	// service together stay below 100.
	defaultWrites = 30
	// writeBurst lets an idle process write at once.
	writeBurst = 3
	// defaultMaxWaiting bounds the claims that wait in the process. At 2,000 claims a second and
	// 200 ms about 400 wait; ten times as many mean that the store is very slow, and a longer queue
	// would only refuse the same claims later.
	defaultMaxWaiting = 4096
	// defaultSettleLimit bounds the wait for a claim whose write cannot be settled. A longer wait
	// would hold the caller's request without benefit.
	defaultSettleLimit = 3 * time.Second
)

// Table is one agent's view of the claims. It is safe for concurrent use.
type Table struct {
	deps           core.Deps
	store          core.Store
	retention      time.Duration
	settleLimit    time.Duration
	maxWaiting     int
	maxBucketBytes int
	budget         *rate.Limiter
	ctx            context.Context
	cancel         context.CancelFunc

	mu      sync.Mutex
	buckets map[path]*bucket
	owned   map[core.AttemptID]*ownedClaim
	queued  int
	// activeBuckets counts the buckets that write; idle, set by drain, is closed when it reaches 0.
	activeBuckets int
	idle          chan struct{}
}

// Option changes a Table at construction.
type Option func(*Table)

// Retention sets how long a done claim is kept. All agents should use the same value; if they
// differ, the shortest takes effect.
func Retention(d time.Duration) Option { return func(tbl *Table) { tbl.retention = d } }

// WriteBudget sets the process's write budget for the store, in writes per second.
func WriteBudget(n float64) Option {
	return func(tbl *Table) { tbl.budget = rate.NewLimiter(rate.Limit(n), writeBurst) }
}

// MaxWaiting bounds the number of claims that wait in the process.
func MaxWaiting(n int) Option { return func(tbl *Table) { tbl.maxWaiting = n } }

// MaxBucketBytes bounds a bucket's value, in bytes, up to MaxBucket.
func MaxBucketBytes(n int) Option { return func(tbl *Table) { tbl.maxBucketBytes = min(n, MaxBucket) } }

// SettleLimit bounds the wait for a claim whose write is unsettled.
func SettleLimit(d time.Duration) Option { return func(tbl *Table) { tbl.settleLimit = d } }

// drainTimeout bounds how long the clean-up waits for answers that are not stored yet.
const drainTimeout = 5 * time.Second

// New returns a table over a store. The returned clean-up waits, for a bounded time, until pending
// answers and releases are in the store.
func New(deps core.Deps, st core.Store, opts ...Option) (*Table, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	tbl := &Table{
		deps: deps, store: st, retention: defaultRetention, settleLimit: defaultSettleLimit, maxWaiting: defaultMaxWaiting, maxBucketBytes: MaxBucket, ctx: ctx, cancel: cancel,
		buckets: map[path]*bucket{}, owned: map[core.AttemptID]*ownedClaim{},
	}
	WriteBudget(defaultWrites)(tbl)
	for _, opt := range opts {
		opt(tbl)
	}
	return tbl, tbl.drain
}

func (tbl *Table) drain() {
	defer tbl.cancel()
	tbl.mu.Lock()
	idle := make(chan struct{})
	if tbl.activeBuckets == 0 {
		close(idle)
	} else {
		tbl.idle = idle
	}
	tbl.mu.Unlock()
	select {
	case <-idle:
	case <-time.After(drainTimeout):
	}
}

// Kill stops the table at once, as a crash of its process would: nothing that waits is written. It
// is for tests.
func (tbl *Table) Kill() { tbl.cancel() }

// Claim requests the right to run an operation. Only after an Outcome in state Owned may the caller
// send the operation to the upstream. It must then call Finish, Release or MarkOutcomeUnknown.
func (tbl *Table) Claim(ctx context.Context, req Request) (Outcome, error) {
	ch := newChange(claiming, req)
	if err := tbl.enqueue(ch); err != nil {
		return Outcome{}, err
	}
	limit := time.NewTimer(tbl.settleLimit)
	defer limit.Stop()
	select {
	case res := <-ch.result:
		return res.out, res.err
	case <-ctx.Done():
	case <-limit.C:
	case <-tbl.ctx.Done():
	}
	// The bucket's goroutine may be delivering the result concurrently. Whichever side moves the
	// change out of pending first decides: an abandoned claim is never reported as owned, and the
	// bucket releases it if it was written.
	if ch.abandon() {
		return Outcome{}, ErrOutcomeUnknown
	}
	res := <-ch.result
	return res.out, res.err
}

// Finish stores the answer of an owned claim. If the context ends first, Finish returns the
// context's error and the answer is stored in the background.
func (tbl *Table) Finish(ctx context.Context, req Request, an Answer) error {
	ch := newChange(finishing, req)
	ch.answer = an.trimmed()
	return tbl.endAndWait(ctx, ch, Ending{Answer: an})
}

// Release gives up an owned claim that was certainly never sent to the upstream, so that the key
// can run later. If the context ends first, Release returns the context's error and the claim is
// released in the background.
func (tbl *Table) Release(ctx context.Context, req Request) error {
	fl := core.Refuse(core.CodeNoUpstream, retryAfterRelease, "the attempt that had the key was given up")
	return tbl.endAndWait(ctx, newChange(releasing, req), Ending{Failure: fl})
}

// retryAfterRelease is the Retry-After of a released claim, the time until the release is expected
// to be in the store.
const retryAfterRelease = time.Second

// MarkOutcomeUnknown records that an owned claim was sent to the upstream and returned no answer
// that can be stored. The key stays claimed: it never runs again.
func (tbl *Table) MarkOutcomeUnknown(req Request, fl *core.Failure) {
	tbl.mu.Lock()
	tbl.recordEnding(req.Attempt, Ending{Failure: fl})
	tbl.mu.Unlock()
	tbl.untrackOwned(req.Attempt)
}

// endAndWait ends an owned claim. Those that wait for the ending are told of it once the change is queued, so that
// nothing they do about the claim can be written before it.
func (tbl *Table) endAndWait(ctx context.Context, ch *change, en Ending) error {
	tbl.mu.Lock()
	tbl.append(ch)
	tbl.recordEnding(ch.req.Attempt, en)
	tbl.mu.Unlock()
	select {
	case res := <-ch.result:
		return res.err
	case <-ctx.Done():
		return ctx.Err()
	case <-tbl.ctx.Done():
		return ErrOutcomeUnknown
	}
}

// enqueue queues a claim, unless too many changes wait. Answers and releases are never refused: they follow a
// claim, so that their number is bounded.
func (tbl *Table) enqueue(ch *change) error {
	tbl.mu.Lock()
	defer tbl.mu.Unlock()
	if tbl.queued >= tbl.maxWaiting {
		return ErrBusy
	}
	tbl.queued++
	tbl.append(ch)
	return nil
}

// queueRelease releases a claim that nobody waits for any more.
func (tbl *Table) queueRelease(req Request) {
	tbl.mu.Lock()
	defer tbl.mu.Unlock()
	tbl.append(newChange(releasing, req))
}

// append adds a change to its bucket's queue. The caller holds the lock.
func (tbl *Table) append(ch *change) {
	pa := ch.req.Key.path()
	bu := tbl.buckets[pa]
	if bu == nil {
		bu = newBucket(tbl, pa)
		tbl.buckets[pa] = bu
	}
	bu.waiting = append(bu.waiting, ch)
	if !bu.serving {
		bu.serving = true
		tbl.activeBuckets++
		go bu.writeQueued()
	}
}
