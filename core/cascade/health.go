package cascade

import (
	"sync"
	"time"
)

const (
	// maxMisses is the number of consecutive late ratings after which the rating
	// service counts as down. One late rating is no outage, but each one costs a
	// caller the full timeout.
	maxMisses = 3
	// probeInterval is the time between two requests that probe the service while it
	// is down.
	probeInterval = time.Second
)

// RaterHealth is a circuit breaker for the rating service. It is safe for concurrent use.
//
// While the rating service is down, each request that waits for a rating is delayed
// by the full timeout. So after maxMisses late ratings in a row, only one request per
// probeInterval waits, until a rating arrives in time.
type RaterHealth struct {
	mu        sync.Mutex
	missed    int
	nextProbe time.Time
}

// AllowWait reports whether a request may wait for a rating now.
func (rh *RaterHealth) AllowWait(now time.Time) bool {
	rh.mu.Lock()
	defer rh.mu.Unlock()
	if rh.missed < maxMisses {
		return true
	}
	if now.Before(rh.nextProbe) {
		return false
	}
	rh.nextProbe = now.Add(probeInterval)
	return true
}

// Record records whether a rating arrived in time, and reports whether the service
// counts as down from this rating on.
func (rh *RaterHealth) Record(now time.Time, onTime bool) bool {
	rh.mu.Lock()
	defer rh.mu.Unlock()
	if onTime {
		rh.missed = 0
		return false
	}
	rh.missed++
	if rh.missed == maxMisses {
		rh.nextProbe = now.Add(probeInterval)
	}
	return rh.missed == maxMisses
}
