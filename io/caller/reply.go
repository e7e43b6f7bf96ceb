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

// errorBody is what a caller gets in place of an answer.
type errorBody struct {
	Error core.Problem `json:"error"`
}

// statuses maps failure codes to HTTP. Others are 502.
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

func asFailure(err error) *core.Failure {
	var fl *core.Failure
	if errors.As(err, &fl) {
		return fl
	}
	return errInternal
}

// refuse answers a request with a failure, at once: an answer held back would
// only hide from the client when to come back.
func (srv *Server) refuse(w http.ResponseWriter, id core.RequestID, err error) {
	fl := asFailure(err)
	event.Log(srv.deps.Log, event.RequestFailed, "request", id, "code", fl.Code, "ran", fl.Ran, "message", fl.Message)
	meter.RequestsFailed.Inc(srv.deps.Metrics, string(fl.Code), string(fl.Ran))
	status, ok := statuses[fl.Code]
	if !ok {
		status = http.StatusBadGateway
	}
	hd := w.Header()
	hd.Set("Content-Type", "application/json")
	if fl.RetryAfter > 0 {
		hd.Set("Retry-After", retryAfter(fl.RetryAfter))
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(errorBody{fl.Problem(id)})
}

// retryAfter is in whole seconds, rounded up: coming back early would be
// refused again.
func retryAfter(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

// breakOff ends a stream that cannot be finished: an error event, and no
// [DONE], which is the mark of a whole answer.
func (srv *Server) breakOff(w http.ResponseWriter, id core.RequestID, err error) {
	fl := asFailure(err)
	event.Log(srv.deps.Log, event.RequestFailed, "request", id, "code", fl.Code, "ran", fl.Ran, "message", fl.Message)
	raw, err := json.Marshal(errorBody{fl.Problem(id)})
	if err != nil {
		return
	}
	_, _ = w.Write([]byte("event: error\ndata: " + string(raw) + "\n\n"))
}
