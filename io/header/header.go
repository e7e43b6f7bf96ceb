// Package header decodes the response headers in which an agent's upstream, a model engine or a
// plain service, reports its state.
//
// # Usage
//
//	onSignals(sent, header.Signals(rs))
package header

import (
	"net/http"

	"skylarkstand/core"
)

const (
	// rateLimit is the number of requests a second that the upstream accepts; it is absent while the
	// upstream has no limit.
	rateLimit = "Skylarkstand-Rate-Limit"
	// retryAfter is, with status 503, the number of seconds for which the upstream accepts no further
	// request.
	retryAfter = "Retry-After"
	// draining is "1" in all responses of a draining upstream.
	draining = "Skylarkstand-Draining"
)

// Signals decodes the headers of a response. Malformed ones are ignored.
func Signals(rs *http.Response) core.Signals {
	si := core.Signals{Draining: rs.Header.Get(draining) == "1"}
	if rate, ok := core.ParseRate(rs.Header.Get(rateLimit)); ok {
		si.RateLimit = &rate
	}
	if rs.StatusCode == http.StatusServiceUnavailable {
		si.RetryAfter = core.ParseRetryAfter(rs.Header.Get(retryAfter))
	}
	return si
}
