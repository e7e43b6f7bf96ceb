package caller

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"

	"skylarkstand/core"
	"skylarkstand/core/dispatch"
	"skylarkstand/core/event"
)

// relay copies a response to the caller. It holds back the end of the response until the
// request's bill is filed: the bill must be recorded before the caller has the complete response.
func (srv *Server) relay(ctx context.Context, w http.ResponseWriter, id core.RequestID, out *dispatch.Outcome, stream bool, ad *admitted) error {
	if stream {
		return srv.relayStream(ctx, w, id, out, ad)
	}
	return srv.relayWhole(ctx, w, id, out, ad)
}

func writeHeader(w http.ResponseWriter, out *dispatch.Outcome) {
	if ct := out.ContentType(); ct != "" {
		w.Header().Set("Content-Type", ct)
	}
	w.WriteHeader(out.Status())
}

// doneMarker ends a complete stream; a caller that receives it treats the response as complete.
var doneMarker = []byte("data: [DONE]")

// relayStream holds back only the end marker. Holding back each chunk until the next one would
// delay every token by one.
func (srv *Server) relayStream(ctx context.Context, w http.ResponseWriter, id core.RequestID, out *dispatch.Outcome, ad *admitted) error {
	chunk, err := out.Next()
	if err != nil && !errors.Is(err, io.EOF) {
		return stopped(ctx, err)
	}
	writeHeader(w, out)
	ctl := http.NewResponseController(w)
	var pending []byte
	for ; err == nil; chunk, err = out.Next() {
		if len(pending) > 0 {
			_, _ = w.Write(pending)
			pending = pending[:0]
		}
		if bytes.HasPrefix(chunk, doneMarker) {
			pending = append(pending, chunk...)
			continue
		}
		if _, werr := w.Write(chunk); werr != nil {
			return nil // The caller has disconnected.
		}
		_ = ctl.Flush()
	}
	if !errors.Is(err, io.EOF) {
		srv.abortStream(w, id, stopped(ctx, err))
		return nil
	}
	ad.recordUsage(out.FileBill())
	_, _ = w.Write(pending)
	return nil
}

// errCut is the error of a response that breaks off after its status was sent.
var errCut = errors.New("the response broke off after its beginning was sent")

// relayWhole holds back the last chunk, and with it the status: most responses are a single
// chunk, and one that is cut after it can still become an error.
func (srv *Server) relayWhole(ctx context.Context, w http.ResponseWriter, id core.RequestID, out *dispatch.Outcome, ad *admitted) error {
	var pending []byte
	started := false
	for {
		chunk, err := out.Next()
		switch {
		case errors.Is(err, io.EOF):
			ad.recordUsage(out.FileBill())
			if !started {
				writeHeader(w, out)
			}
			_, _ = w.Write(pending)
			return nil
		case err != nil && !started:
			return stopped(ctx, err)
		case err != nil:
			// A part was sent with a success status. If the response ended normally, the caller
			// would treat the part as the complete response, so the connection is aborted.
			event.Log(srv.deps.Log, event.RequestFailed, "request", id, "code", asFailure(err).Code, "cut", true)
			return errCut
		}
		if len(pending) > 0 {
			if !started {
				writeHeader(w, out)
				started = true
			}
			if _, werr := w.Write(pending); werr != nil {
				return nil // The caller has disconnected.
			}
		}
		pending = append(pending[:0], chunk...)
	}
}

// handlePanic responds when a handler panicked. The default of go-restful would send a stack
// trace to the caller.
func (srv *Server) handlePanic(reason any, w http.ResponseWriter) {
	if err, ok := reason.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(reason)
	}
	event.Log(srv.deps.Log, event.DutyFailed, "handler", reason)
	srv.refuse(w, core.RequestID(w.Header().Get(HeaderRequest)), errInternal)
}

// errInternal is the response to an error after which it is unknown whether the request ran.
var errInternal = &core.Failure{Code: core.CodeInternalError, Ran: core.RanUnknown, Message: "internal error"}
