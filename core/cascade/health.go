package cascade

import (
	"sync"
	"time"
)

const (
	// missLimit is how many ratings in a row must be missed before the rating
	// service counts as away: one late rating is no outage, and each miss
	// costs a caller the whole wait.
	missLimit = 3
	// probePause is the time between two requests that try the service again.
	probePause = time.Second
)

// Health tells whether it makes sense to wait for a rating. It is safe for
// concurrent use.
//
// When the rating service is away, each request that waited for it would be
// late by the whole limit. Callers would notice answers that are all slower by
// the same time; so only one request in probePause waits.
type Health struct {
	mu     sync.Mutex
	missed int
	probe  time.Time
}

// Ask reports whether a request may wait for a rating now.
func (he *Health) Ask(now time.Time) bool {
	he.mu.Lock()
	defer he.mu.Unlock()
	if he.missed < missLimit {
		return true
	}
	if now.Before(he.probe) {
		return false
	}
	he.probe = now.Add(probePause)
	return true
}

// Note takes in whether a rating came in time, and reports whether the service
// is away by it and was not before.
func (he *Health) Note(now time.Time, came bool) bool {
	he.mu.Lock()
	defer he.mu.Unlock()
	if came {
		he.missed = 0
		return false
	}
	he.missed++
	if he.missed == missLimit {
		he.probe = now.Add(probePause)
	}
	return he.missed == missLimit
}
