package caller

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/event"
	"skylarkstand/core/meter"
)

// errorBody is the body of an error response.
type errorBody struct {
	Error core.Problem `json:"error"`
}

// statuses maps the codes of requests that were not run to HTTP statuses. All other codes map to 502.
var statuses = map[core.Code]int{
	core.CodeBadRequest:    http.StatusBadRequest,
	core.CodeUnauthorized:  http.StatusUnauthorized,
	core.CodeNotAllowed:    http.StatusForbidden,
	core.CodeUnknownModel:  http.StatusNotFound,
	core.CodeTooLarge:      http.StatusRequestEntityTooLarge,
	core.CodeKeyReused:     http.StatusUnprocessableEntity,
	core.CodeKeyExpired:    http.StatusUnprocessableEntity,
	core.CodeQuarantined:   http.StatusUnprocessableEntity,
	core.CodeSuspected:     http.StatusServiceUnavailable,
	core.CodeOverloaded:    http.StatusServiceUnavailable,
	core.CodeDeadline:      http.StatusServiceUnavailable,
	core.CodeNoUpstream:    http.StatusServiceUnavailable,
	core.CodeNoRegion:      http.StatusServiceUnavailable,
	core.CodeEvacuated:     http.StatusServiceUnavailable,
	core.CodeWithdrawn:     http.StatusServiceUnavailable,
	core.CodeLeaving:       http.StatusServiceUnavailable,
	core.CodeStoreDown:     http.StatusServiceUnavailable,
	core.CodeNoConfig:      http.StatusServiceUnavailable,
	core.CodeStaleConfig:   http.StatusServiceUnavailable,
	core.CodeInternalError: http.StatusInternalServerError,
}

// status returns the HTTP status of a failure. Callers take 503 for the promise that the request was not run, so
// that one which may have run never gets it.
func status(fl *core.Failure) int {
	st, ok := statuses[fl.Code]
	switch {
	case !ok:
		return http.StatusBadGateway
	case st != http.StatusServiceUnavailable || fl.Ran == core.NotRun:
		return st
	case fl.Code == core.CodeDeadline:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

func asFailure(err error) *core.Failure {
	var fl *core.Failure
	if errors.As(err, &fl) {
		return fl
	}
	return errInternal
}

// refuse responds with a failure, immediately: a delay would only hide Retry-After from the
// client.
func (srv *Server) refuse(w http.ResponseWriter, id core.RequestID, err error) {
	fl := asFailure(err)
	event.Log(srv.deps.Log, event.RequestFailed, "request", id, "code", fl.Code, "ran", fl.Ran, "message", fl.Message)
	meter.RequestsFailed.Inc(srv.deps.Metrics, string(fl.Code), string(fl.Ran))
	hd := w.Header()
	hd.Set("Content-Type", "application/json")
	if fl.RetryAfter > 0 {
		hd.Set("Retry-After", retryAfter(fl.RetryAfter))
	}
	w.WriteHeader(status(fl))
	_ = json.NewEncoder(w).Encode(errorBody{fl.Problem(id)})
}

// retryAfter formats a duration for Retry-After in whole seconds, rounded up: an earlier retry
// would be refused again.
func retryAfter(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

// abortStream ends a stream that cannot be completed with an error event and without [DONE],
// which marks a complete response.
func (srv *Server) abortStream(w http.ResponseWriter, id core.RequestID, err error) {
	fl := asFailure(err)
	event.Log(srv.deps.Log, event.RequestFailed, "request", id, "code", fl.Code, "ran", fl.Ran, "message", fl.Message)
	raw, err := json.Marshal(errorBody{fl.Problem(id)})
	if err != nil {
		return
	}
	_, _ = w.Write([]byte("event: error\ndata: " + string(raw) + "\n\n"))
}
