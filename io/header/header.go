// Package header decodes the response headers in which an agent's upstream, a model engine or a
// plain service, says something of its state.
//
// # Usage
//
//	onSignals(sent, header.Signals(rs.Header))
package header

import (
	"net/http"

	"skylarkstand/core"
)

// rateLimit is the number of requests a second that the upstream accepts; it is absent while the
// upstream has no limit.
const rateLimit = "Skylarkstand-Rate-Limit"

// Signals decodes the headers of a response. Malformed ones are ignored.
func Signals(hd http.Header) core.Signals {
	var si core.Signals
	if rate, ok := core.ParseRate(hd.Get(rateLimit)); ok {
		si.RateLimit = &rate
	}
	return si
}
