package retry

import (
	"slices"
	"time"

	"skylarkstand/core"
)

const (
	// sweepInterval is the pause between two searches for attempts that were unconfirmed for too long.
	sweepInterval = time.Second
	// unconfirmedWindows is the number of windows after which an attempt counts as confirmed. An upstream
	// that is silent for as long is off the list.
	unconfirmedWindows = 3
)

// Alive records that an upstream has sent something. That confirms the attempts that were sent to it so long ago
// that their packets are not repeated any more.
func (wi *Window) Alive(now time.Time, up core.UpstreamID) {
	wi.confirmUntil(now, up, now.Add(-TransitTime))
}

// Gone records that an upstream has ended, so that nothing sent to it before can arrive.
func (wi *Window) Gone(now time.Time, up core.UpstreamID) { wi.confirmUntil(now, up, now) }

func (wi *Window) confirmUntil(now time.Time, up core.UpstreamID, until time.Time) {
	wi.mu.Lock()
	defer wi.mu.Unlock()
	if len(wi.unconfirmed[up]) == 0 {
		return
	}
	wi.advance(now)
	wi.confirmSent(up, until)
}

// confirmSent confirms the attempts that were sent to an upstream until a time.
func (wi *Window) confirmSent(up core.UpstreamID, until time.Time) {
	list := wi.unconfirmed[up]
	for _, at := range list {
		if !at.at.After(until) {
			at.confirm()
		}
	}
	list = slices.DeleteFunc(list, func(at *Attempt) bool { return at.confirmed })
	if len(list) == 0 {
		delete(wi.unconfirmed, up)
		return
	}
	wi.unconfirmed[up] = list
}

// sweep confirms the attempts that were unconfirmed for too long, and drops the confirmed ones.
func (wi *Window) sweep(now time.Time) {
	if now.Sub(wi.sweptAt) < sweepInterval {
		return
	}
	wi.sweptAt = now
	for up := range wi.unconfirmed {
		wi.confirmSent(up, now.Add(-unconfirmedWindows*wi.length))
	}
}
