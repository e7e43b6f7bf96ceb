package forward

import (
	"errors"
	"sync"
	"time"

	"skylarkstand/core/canary"
)

var (
	errHeaderTimeout = errors.New("no answer began in the usual time")
	errStalled       = errors.New("the answer stopped half-way")
)

// watchHeader cancels the attempt when its header takes too long, and returns the clean-up. An
// upstream that sends chunks of other answers meanwhile is busy, not down; it gets more time,
// since another upstream would have to start from the beginning.
func (at *attempt) watchHeader() func() {
	var ti *time.Timer
	var mu sync.Mutex
	stopped := false
	check := func() {
		mu.Lock()
		defer mu.Unlock()
		now := time.Now()
		if stopped {
			return
		}
		if now.Sub(at.sent) < busyFactor*at.headerTimeout && at.upstreamActive(now.Add(-at.headerTimeout/2)) {
			ti.Reset(at.headerTimeout / 2)
			return
		}
		at.cancel(errHeaderTimeout)
	}
	mu.Lock()
	defer mu.Unlock()
	ti = time.AfterFunc(at.headerTimeout, check)
	return func() {
		mu.Lock()
		defer mu.Unlock()
		stopped = true
		ti.Stop()
	}
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
