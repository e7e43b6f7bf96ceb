package forward

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"skylarkstand/core/canary"
	"skylarkstand/core/retry"
)

var (
	errHeaderTimeout = errors.New("no answer began in the usual time")
	errStalled       = errors.New("the answer stopped half-way")
)

// successorInterval is the pause after which an attempt that nothing may replace is looked at again.
const successorInterval = time.Second

// watchdog cancels an attempt that is silent for too long, once another one is ready to replace it: with no
// attempt, retry, upstream or time left, the silent one is the best that its caller has. It runs in the
// goroutine of a timer while that of the job waits for the upstream.
type watchdog struct {
	at *attempt
	// cause is that of the cancellation.
	cause error
	// active reports whether the upstream only seems silent, with the time after which to look again. It may be nil.
	active func(now time.Time) (time.Duration, bool)
	// choose begins the attempt that replaces this one, or returns nil.
	choose func(context.Context) *attempt
	// heard is set once the upstream was heard of, and abort ends a choice that waits.
	heard atomic.Bool
	abort atomic.Pointer[context.CancelFunc]

	mu      sync.Mutex
	stopped bool
	ti      *time.Timer
}

// start starts the watchdog, which expires after a time of silence. The returned function stops it. It must be called before
// the job is used again.
func (wd *watchdog) start(wait time.Duration) (stop func()) {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	wd.ti = time.AfterFunc(wait, wd.expire)
	return wd.stop
}

func (wd *watchdog) expire() {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	if wd.stopped {
		return
	}
	if wd.active != nil {
		if again, ok := wd.active(time.Now()); ok {
			wd.ti.Reset(again)
			return
		}
	}
	ctx, cancel := context.WithCancel(wd.at.ctx)
	defer cancel()
	wd.abort.Store(&cancel)
	if wd.heard.Load() {
		return
	}
	next := wd.choose(ctx)
	switch {
	case next == nil:
		wd.ti.Reset(successorInterval)
	case wd.heard.Load():
		next.giveBack()
	default:
		wd.at.jb.reserved = next
		wd.at.cancel(wd.cause)
	}
}

// stop stops the watchdog, and waits for a choice in progress.
func (wd *watchdog) stop() {
	wd.heard.Store(true)
	if cancel := wd.abort.Load(); cancel != nil {
		(*cancel)()
	}
	wd.mu.Lock()
	defer wd.mu.Unlock()
	wd.stopped = true
	wd.ti.Stop()
}

// watchHeader cancels the attempt when its header takes too long and another one can replace it. An upstream that
// sends chunks of other answers meanwhile is busy, not down; it gets more time, since another upstream would have to
// start from the beginning. The returned function must be called before the job is used again.
func (at *attempt) watchHeader() (stop func()) {
	if at.headerTimeout <= 0 {
		return func() {}
	}
	wd := &watchdog{at: at, cause: errHeaderTimeout}
	wd.active = func(now time.Time) (time.Duration, bool) {
		half := at.headerTimeout / 2
		return half, now.Sub(at.sent) < busyFactor*at.headerTimeout && at.upstreamActive(now.Add(-half))
	}
	wd.choose = func(ctx context.Context) *attempt { return at.jb.beginSuccessor(ctx, at.after, at.purpose()) }
	return wd.start(at.headerTimeout)
}

// purpose is the purpose of the retry that replaces the attempt.
func (at *attempt) purpose() retry.Purpose {
	if at.after != at.jb.ex.LastEventID {
		return retry.Resumption
	}
	return retry.Retry
}

// watchOverdue counts an attempt at a version under roll-out as failed while its header is still
// outstanding, and returns the clean-up. Otherwise a version that hangs or is many times slower
// would be detected only after its callers have given up.
func (at *attempt) watchOverdue() func() {
	limit := at.jb.fw.components.Canary.HeaderTimeout(at.to.Service, at.to.Version, at.pool())
	if limit <= 0 {
		return func() {}
	}
	ti := time.AfterFunc(limit, func() { at.reportOutcome(canary.Outcome{Failed: true, Neutral: at.upstreamGone(time.Now())}) })
	return func() { ti.Stop() }
}

// upstreamActive reports whether the upstream has sent anything since the given time.
func (at *attempt) upstreamActive(since time.Time) bool {
	fw := at.jb.fw
	fw.mu.Lock()
	defer fw.mu.Unlock()
	return fw.picker.ActiveSince(at.flight, since)
}
