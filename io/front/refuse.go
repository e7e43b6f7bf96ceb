package front

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"skylarkstand/core"
)

// refusals maps the codes of refusals that the caller can correct to HTTP statuses. All other
// requests that were not run get 503, after which a caller may resend even work that must not run
// twice.
var refusals = map[core.Code]int{
	core.CodeBadRequest:    http.StatusBadRequest,
	core.CodeUnauthorized:  http.StatusUnauthorized,
	core.CodeNotAllowed:    http.StatusForbidden,
	core.CodeUnknownRoute:  http.StatusNotFound,
	core.CodeTooLarge:      http.StatusRequestEntityTooLarge,
	core.CodeHeaderTooLong: http.StatusRequestHeaderFieldsTooLarge,
}

// status returns the HTTP status of a failure. A request that may have run never gets a status that
// states that it was not run.
func status(fl *core.Failure) int {
	if fl.Ran != core.NotRun {
		if fl.Code == core.CodeDeadline {
			return http.StatusGatewayTimeout
		}
		return http.StatusBadGateway
	}
	if st, ok := refusals[fl.Code]; ok {
		return st
	}
	return http.StatusServiceUnavailable
}

func asFailure(err error) *core.Failure {
	var fl *core.Failure
	if errors.As(err, &fl) {
		return fl
	}
	return core.OutcomeUnknown("%v", err)
}

// refuse responds with a failure, immediately, with Retry-After if the failure states one.
func (sv *Server) refuse(w http.ResponseWriter, id core.RequestID, fl *core.Failure) {
	hd := w.Header()
	sv.announceClose(hd)
	hd.Set("Content-Type", "application/json")
	if fl.RetryAfter > 0 {
		hd.Set("Retry-After", seconds(fl.RetryAfter))
	}
	w.WriteHeader(status(fl))
	_ = json.NewEncoder(w).Encode(fl.Problem(id))
}

// seconds formats a duration for Retry-After. It may have a fraction; callers that read whole
// seconds round it up.
func seconds(du time.Duration) string {
	return strconv.FormatFloat(du.Seconds(), 'f', 2, 64)
}
