// Package signals contains the signals that a test makes the stand-ins of engines and plain services
// send in their response headers.
//
// # Usage
//
//	curl -X POST addr/faults -d '{"rate-limit": 2.5}'
package signals

import (
	"net/http"
	"strconv"
)

// Signals are added to every answer. The zero value adds nothing.
type Signals struct {
	// RateLimit is the reported limit in requests a second; nil for none. The stand-in does not
	// enforce it.
	RateLimit *float64 `json:"rate-limit"`
	// RetryAfter makes every answer a refusal with this time in seconds; 0 refuses nothing.
	RetryAfter float64 `json:"retry-after"`
	// Draining is whether the stand-in reports that it is draining.
	Draining bool `json:"draining"`
}

// Write sets the headers of an answer, and reports whether it has written a refusal.
func (si Signals) Write(w http.ResponseWriter) bool {
	hd := w.Header()
	if si.RateLimit != nil {
		hd.Set("Skylarkstand-Rate-Limit", format(*si.RateLimit))
	}
	if si.Draining {
		hd.Set("Skylarkstand-Draining", "1")
	}
	if si.RetryAfter <= 0 {
		return false
	}
	hd.Set("Retry-After", format(si.RetryAfter))
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

func format(n float64) string { return strconv.FormatFloat(n, 'f', -1, 64) }
