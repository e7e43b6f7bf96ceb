package caller

import (
	"bytes"
	"errors"
	"io"
	"net/http"

	"skylarkstand/core"
	"skylarkstand/core/dispatch"
	"skylarkstand/core/event"
)

// relay copies an answer to the caller. The end of it is held until the
// request is settled: once the caller has the whole answer, the bill is filed.
func (srv *Server) relay(w http.ResponseWriter, id core.RequestID, out *dispatch.Outcome, stream bool, ad *admitted) error {
	if stream {
		return srv.relayStream(w, id, out, ad)
	}
	return srv.relayWhole(w, id, out, ad)
}

func begin(w http.ResponseWriter, out *dispatch.Outcome) {
	if ct := out.ContentType(); ct != "" {
		w.Header().Set("Content-Type", ct)
	}
	w.WriteHeader(out.Status())
}

// doneMark ends a whole stream; a caller that has it takes the answer for whole.
var doneMark = []byte("data: [DONE]")

// relayStream holds the end mark alone. Holding each piece until the next one
// came would delay every token by one.
func (srv *Server) relayStream(w http.ResponseWriter, id core.RequestID, out *dispatch.Outcome, ad *admitted) error {
	piece, err := out.Next()
	if err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	begin(w, out)
	ctl := http.NewResponseController(w)
	var held []byte
	for ; err == nil; piece, err = out.Next() {
		if len(held) > 0 {
			_, _ = w.Write(held)
			held = held[:0]
		}
		if bytes.HasPrefix(piece, doneMark) {
			held = append(held, piece...)
			continue
		}
		if _, werr := w.Write(piece); werr != nil {
			return nil // The caller is gone.
		}
		_ = ctl.Flush()
	}
	if !errors.Is(err, io.EOF) {
		srv.breakOff(w, id, err)
		return nil
	}
	ad.settled(out.Settle())
	_, _ = w.Write(held)
	return nil
}

// relayWhole holds the last piece, and with it the status: most answers are one
// piece, and one that is cut behind it can still become an error.
func (srv *Server) relayWhole(w http.ResponseWriter, id core.RequestID, out *dispatch.Outcome, ad *admitted) error {
	var held []byte
	begun := false
	for {
		piece, err := out.Next()
		switch {
		case errors.Is(err, io.EOF):
			ad.settled(out.Settle())
			if !begun {
				begin(w, out)
			}
			_, _ = w.Write(held)
			return nil
		case err != nil && !begun:
			return err
		case err != nil:
			// A part has gone out under a status of success. Ended in good
			// order it would pass for the whole; the connection must break.
			event.Log(srv.deps.Log, event.RequestFailed, "request", id, "code", asFailure(err).Code, "cut", true)
			panic(http.ErrAbortHandler)
		}
		if len(held) > 0 {
			if !begun {
				begin(w, out)
				begun = true
			}
			if _, werr := w.Write(held); werr != nil {
				return nil // The caller is gone.
			}
		}
		held = append(held[:0], piece...)
	}
}

// recovered answers for a handler that panicked. The library's own way shows
// the caller a stack trace.
func (srv *Server) recovered(reason any, w http.ResponseWriter) {
	if err, ok := reason.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(reason)
	}
	event.Log(srv.deps.Log, event.DutyFailed, "handler", reason)
	srv.refuse(w, core.RequestID(w.Header().Get(HeaderRequest)), errInternal)
}

// errInternal is told when it is not known how far a request has come.
var errInternal = &core.Failure{Code: core.CodeInternalError, Ran: core.RanUnknown, Message: "internal error"}
