package forward

import (
	"errors"
	"sync"
	"time"

	"skylarkstand/core/canary"
)

var (
	errSilent  = errors.New("no answer began in the usual time")
	errStalled = errors.New("the answer stopped half-way")
)

// watch gives the attempt up when its header takes too long, and returns the
// clean-up. An upstream that sends pieces of other answers meanwhile is busy and
// not gone; it is given longer, since another one would only begin anew.
func (at *attempt) watch() func() {
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
		if now.Sub(at.sent) < patienceBusy*at.patience && at.alive(now.Add(-at.patience/2)) {
			ti.Reset(at.patience / 2)
			return
		}
		at.cancel(errSilent)
	}
	mu.Lock()
	defer mu.Unlock()
	ti = time.AfterFunc(at.patience, check)
	return func() {
		mu.Lock()
		defer mu.Unlock()
		stopped = true
		ti.Stop()
	}
}

// watchOverdue has an attempt at a version under roll-out count as failed while
// its header is still awaited, and returns the clean-up. A version that hangs or
// is many times slower is otherwise known only when its callers have given up.
func (at *attempt) watchOverdue() func() {
	limit := at.jb.fw.parts.Canary.Overdue(at.to.Service, at.to.Version, at.pool())
	if limit <= 0 {
		return func() {}
	}
	ti := time.AfterFunc(limit, func() { at.show(canary.Outcome{Failed: true}) })
	return func() { ti.Stop() }
}

// alive reports whether the upstream sent anything since a time.
func (at *attempt) alive(since time.Time) bool {
	fw := at.jb.fw
	fw.mu.Lock()
	defer fw.mu.Unlock()
	return fw.picker.Alive(at.flight, since)
}
