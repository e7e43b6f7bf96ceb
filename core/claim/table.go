// Package claim makes an operation run at most once over the whole fleet.
//
// Before an agent calls an upstream for a subsidy claim, a survey booking, a
// stock hold or a shipment confirmation, it claims the caller's idempotency
// key in the platform's store. Only the owner of the claim calls. Nobody ever
// takes a claim over: a claim whose owner is gone has an unknown outcome, for
// good, because its owner may have called the upstream before it went.
//
// A claim goes from claimed to done, with the answer, or is released, which
// its owner does only when it certainly never called the upstream. A released
// claim is absent: the key can be claimed again.
//
// # Buckets
//
// The store counts each call, so a claim cannot have a key of its own. The
// claims of a service are spread over [Buckets] values by the hash of their
// key. A process has one write in flight for each bucket; what comes meanwhile
// waits and goes with the next write, claims, answers and releases together.
// Without load a claim is written at once; under load the process's write
// budget paces the buckets and the groups grow. Correctness comes from
// compare-and-swap alone, however many processes write a bucket.
//
// # Lost replies
//
// A write whose reply was lost may take effect at any later time, until the
// bucket's revision has moved on. It is settled by reading back and, while the
// revision is unmoved, by writing again from the same revision. Until then
// nothing of that write is told as owned. A caller that stops waiting is told
// ErrUnsettled and must not dispatch; its claim is released in the background,
// so that the key is not lost.
//
// # Retention
//
// A done claim is kept for the retention, one without an answer for twice as
// long. A key that is a UUIDv7 and older than the retention is refused. The
// bucket remembers up to when claims were dropped and refuses time-ordered
// keys from before, so that such a key never runs twice, whatever the clocks
// of the agents say. A key of another form tells no time: it may run again
// when it is first repeated after the retention, and callers are told to use
// UUIDv7 or to stop repeating in time.
//
// # Segments
//
// Done claims of a bucket that grows are folded into a segment, a key of its
// own that is written once and never changes until retention drops it as a
// whole. The bucket says which segments are its own. A process reads each
// segment once and keeps in memory which key stands in which, about 40 bytes a
// claim; the answer is read again when a key is repeated. A process that comes
// new to a bucket reads its segments first, and refuses claims until it has:
// with a million claims within retention that takes seconds.
//
// # A full bucket
//
// A bucket is at most [MaxBucket] bytes. What cannot be folded are claims
// without an answer: under way, or of unknown outcome. When they fill the
// bucket it refuses new claims (ErrFull, nothing claimed) until retention frees
// room. No claim within its retention is ever dropped to make room.
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

// State is how far a claimed operation has come.
type State string

// The states. Owned is only ever told to the owner.
const (
	Owned   State = "owned"
	Claimed State = "claimed"
	Done    State = "done"
)

// Request asks for a claim.
type Request struct {
	Key Key
	// Digest is of the body; the same key with another body is refused.
	Digest  string
	Attempt core.AttemptID
}

// Answer is a stored answer of a done operation.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content-type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Dropped tells that the body was too large to be kept.
	Dropped bool `json:"dropped,omitempty"`
}

// trimmed returns the answer as far as it is stored.
func (an Answer) trimmed() Answer {
	if len(an.Body) > MaxAnswer {
		an.Body, an.Dropped = nil, true
	}
	if len(an.ContentType) > maxContentType {
		an.ContentType = ""
	}
	return an
}

// Outcome is what a claim met.
type Outcome struct {
	State State
	// Attempt and Owner name the holder when State is Claimed.
	Attempt core.AttemptID
	Owner   core.ProcessID
	// Answer is set when State is Done.
	Answer Answer
	// RunBefore is set when State is Owned. An owner that was paused beyond it
	// must release in place of running: the others drop its claim some time
	// later, and the key may run again.
	RunBefore time.Time
}

// Errors of a table. After all of them the caller must not dispatch. After
// those of Claim nothing of it will ever be dispatched by this process.
var (
	// ErrReused: the key was used with another body.
	ErrReused = errors.New("claim: key reused with another body")
	// ErrExpired: the key tells a time that is outside the retention, so that
	// it is unknown whether it ran.
	ErrExpired = errors.New("claim: key is outside the retention")
	// ErrFull: the bucket has no room for another claim.
	ErrFull = errors.New("claim: bucket full")
	// ErrBusy: too many claims wait in this process.
	ErrBusy = errors.New("claim: too many claims wait")
	// ErrAway: the store cannot be reached; nothing is claimed.
	ErrAway = errors.New("claim: store away")
	// ErrUnsettled: it is unknown whether the claim was written.
	ErrUnsettled = errors.New("claim: unsettled")
	// ErrNotOwner: the claim to finish or release is not this attempt's.
	ErrNotOwner = errors.New("claim: not the owner")
)

const (
	// Buckets is the number of values that a service's claims are spread over.
	// It is made for 2,000 operations a second at a store that takes 100
	// writes a second: 16 buckets are then written about six times a second
	// each, so a claim waits less than 200 ms, and there are a few buckets for
	// each of the three hosts that a plain service has today. Fewer would make
	// hosts clash over one value; more would make smaller groups and longer
	// waits at the same rate.
	//
	// It is no setting: two agents that count differently would look for one
	// key in two places and run it twice.
	Buckets = 16
	// MaxBucket bounds a bucket's value, in bytes. It leaves room below the
	// store's limit for the answers' closing brackets and states.
	MaxBucket = core.MaxValue - 64<<10
	// MaxAnswer bounds the body of a stored answer. A confirmation takes some
	// hundred bytes; a large one would use up the room of many claims and be
	// carried by each write of its bucket.
	MaxAnswer = 2 << 10
	// maxContentType bounds what is counted among a record's overhead.
	maxContentType = 100
	// skew bounds how far a caller's or another agent's clock may be off.
	skew = 5 * time.Minute
	// defaultRetention covers a caller that repeats over a working day.
	defaultRetention = 24 * time.Hour
	// defaultWrites is a process's share of the store's writes, in a second:
	// three agents of a service together stay below 100.
	defaultWrites = 30
	// writeBurst lets a quiet process write at once.
	writeBurst = 3
	// defaultWaiting bounds the claims that wait in the process. At 2,000 a
	// second and 200 ms some 400 wait; ten times that is a store that crawls,
	// and more waiting would only make late refusals out of early ones.
	defaultWaiting = 4096
	// defaultSettle bounds the wait for a claim that can be neither confirmed
	// nor denied. A longer one would hold the caller's request for nothing.
	defaultSettle = 3 * time.Second
)

// Table is the claims as one agent sees them. It is safe for concurrent use.
type Table struct {
	deps      core.Deps
	store     core.Store
	retention time.Duration
	settle    time.Duration
	waiting   int
	room      int
	budget    *rate.Limiter
	ctx       context.Context
	cancel    context.CancelFunc

	mu      sync.Mutex
	buckets map[path]*bucket
	holds   map[core.AttemptID]*hold
	queued  int
	// serving counts the buckets that write; idle is closed when none does.
	serving int
	idle    chan struct{}
}

// Option changes a Table at construction.
type Option func(*Table)

// Retention sets how long a done claim is kept. All agents should have the
// same; the shortest counts.
func Retention(d time.Duration) Option { return func(tbl *Table) { tbl.retention = d } }

// Writes sets the process's budget of writes to the store, in a second.
func Writes(n float64) Option {
	return func(tbl *Table) { tbl.budget = rate.NewLimiter(rate.Limit(n), writeBurst) }
}

// Waiting bounds the claims that wait in the process.
func Waiting(n int) Option { return func(tbl *Table) { tbl.waiting = n } }

// Room bounds a bucket's value, in bytes; up to MaxBucket.
func Room(n int) Option { return func(tbl *Table) { tbl.room = min(n, MaxBucket) } }

// Settle bounds the wait for a claim whose write is unsettled.
func Settle(d time.Duration) Option { return func(tbl *Table) { tbl.settle = d } }

// drainLimit bounds the wait of the clean-up for answers not yet stored.
const drainLimit = 5 * time.Second

// New returns a table over a store. The clean-up waits, within a bound, until
// the answers and releases that are under way stand in the store.
func New(deps core.Deps, st core.Store, opts ...Option) (*Table, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	tbl := &Table{
		deps: deps, store: st, retention: defaultRetention, settle: defaultSettle, waiting: defaultWaiting, room: MaxBucket, ctx: ctx, cancel: cancel,
		buckets: map[path]*bucket{}, holds: map[core.AttemptID]*hold{},
	}
	Writes(defaultWrites)(tbl)
	for _, opt := range opts {
		opt(tbl)
	}
	return tbl, tbl.drain
}

func (tbl *Table) drain() {
	defer tbl.cancel()
	tbl.mu.Lock()
	idle := make(chan struct{})
	if tbl.serving == 0 {
		close(idle)
	} else {
		tbl.idle = idle
	}
	tbl.mu.Unlock()
	select {
	case <-idle:
	case <-time.After(drainLimit):
	}
}

// Kill stops the table at once, as the end of its process would: nothing that
// waits is written. It is for tests.
func (tbl *Table) Kill() { tbl.cancel() }

// Claim asks for the right to run. Only after an Outcome in state Owned may
// the caller hand the operation to the upstream. It must then call Finish,
// Release or Forget.
func (tbl *Table) Claim(ctx context.Context, req Request) (Outcome, error) {
	ch := newChange(claiming, req)
	if err := tbl.enqueue(ch); err != nil {
		return Outcome{}, err
	}
	limit := time.NewTimer(tbl.settle)
	defer limit.Stop()
	select {
	case res := <-ch.result:
		return res.out, res.err
	case <-ctx.Done():
	case <-limit.C:
	case <-tbl.ctx.Done():
	}
	// The bucket may be telling the result at this moment. Whoever moves the
	// change out of pending decides: a claim that was given up here is never
	// told as owned, and the bucket releases what it has written of it.
	if ch.giveUp() {
		return Outcome{}, ErrUnsettled
	}
	res := <-ch.result
	return res.out, res.err
}

// Finish stores the answer of an owned claim. When the context ends first it
// returns its error, and the answer is stored in the background.
func (tbl *Table) Finish(ctx context.Context, req Request, an Answer) error {
	tbl.end(req.Attempt, Ending{Answer: an})
	ch := newChange(finishing, req)
	ch.answer = an.trimmed()
	return tbl.settleOwn(ctx, ch)
}

// Release gives an owned claim up that was certainly never handed to the
// upstream, so that the key can run later. When the context ends first it
// returns its error, and the claim is released in the background.
func (tbl *Table) Release(ctx context.Context, req Request) error {
	tbl.end(req.Attempt, Ending{Failure: core.Refuse(core.CodeNoUpstream, retryReleased, "the attempt that had the key was given up")})
	return tbl.settleOwn(ctx, newChange(releasing, req))
}

// retryReleased is when a release will stand in the store.
const retryReleased = time.Second

// Forget tells that an owned claim was handed to the upstream and brought no
// answer that can be stored. The key stays claimed: it never runs again.
func (tbl *Table) Forget(req Request, fl *core.Failure) {
	tbl.end(req.Attempt, Ending{Failure: fl})
	tbl.drop(req.Attempt)
}

func (tbl *Table) settleOwn(ctx context.Context, ch *change) error {
	if err := tbl.enqueue(ch); err != nil {
		return err
	}
	select {
	case res := <-ch.result:
		return res.err
	case <-ctx.Done():
		return ctx.Err()
	case <-tbl.ctx.Done():
		return ErrUnsettled
	}
}

// enqueue hands a change to its bucket. Only claims are refused when many
// wait: an answer or a release follows a claim, so their number is bounded.
func (tbl *Table) enqueue(ch *change) error {
	tbl.mu.Lock()
	defer tbl.mu.Unlock()
	if ch.kind == claiming {
		if tbl.queued >= tbl.waiting {
			return ErrBusy
		}
		tbl.queued++
	}
	pa := ch.req.Key.path()
	bu := tbl.buckets[pa]
	if bu == nil {
		bu = newBucket(tbl, pa)
		tbl.buckets[pa] = bu
	}
	bu.waiting = append(bu.waiting, ch)
	if !bu.serving {
		bu.serving = true
		tbl.serving++
		go bu.serve()
	}
	return nil
}
