// Package response ends responses of the HTTP server that cannot be completed.
//
// # Usage
//
//	if err := relay(w, answer); err != nil {
//		response.Abort(w, rq)
//	}
package response

import (
	"net/http"
)

// Abort ends a connection before the end of its response, the only way to signal to a caller that the response is
// incomplete. It does not return. A caller of HTTP/1.0 takes the end of the connection for that of the body, unless the
// connection is reset.
func Abort(w http.ResponseWriter, rq *http.Request) {
	if !rq.ProtoAtLeast(1, 1) {
		reset(w)
	}
	panic(http.ErrAbortHandler)
}

// reset resets the connection of a response.
func reset(w http.ResponseWriter) {
	nc, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if li, ok := nc.(interface{ SetLinger(sec int) error }); ok {
		_ = li.SetLinger(0) // Without it, the connection is closed in order.
	}
	nc.Close()
}
