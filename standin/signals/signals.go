// Package signals lets the stand-ins of engines and plain services say something of their state in
// the headers of their answers, as faults that a test injects.
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
	// RateLimit is the limit that is named, in requests a second; nil names none. The stand-in does
	// not enforce it.
	RateLimit *float64 `json:"rate-limit"`
}

// WriteTo sets the headers of an answer.
func (si Signals) WriteTo(hd http.Header) {
	if si.RateLimit != nil {
		hd.Set("Skylarkstand-Rate-Limit", strconv.FormatFloat(*si.RateLimit, 'f', -1, 64))
	}
}
