// Package front serves callers whose requests are forwarded to upstreams unchanged. It reads
// requests, enforces the size limits, and streams responses as they arrive; a [Codec]
// interprets the headers.
//
// # Usage
//
//	sv := front.New(deps, codec, fw, inForce)
//	hs := sv.HTTP()
//	go hs.Serve(front.Listen(listener))
//	sv.StartDraining()         // responses close their connections from now on
//	sv.CloseIdle()
//	left := sv.Drain(ctx)      // requests that were given up
package front

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/event"
	"skylarkstand/core/forward"
	"skylarkstand/core/route"
	"skylarkstand/io/response"
)

// Codec decodes callers' requests.
type Codec interface {
	// Exchange decodes a request. A returned failure means that the request was not run.
	Exchange(rq *http.Request, body []byte, arrived time.Time) (*core.Exchange, *core.Failure)
}

// Server serves callers. It is safe for concurrent use.
type Server struct {
	deps  core.Deps
	codec Codec
	fw    *forward.Forwarder
	inf   *route.InForce

	// draining makes every response close its connection. closing makes connections close as
	// soon as they become idle.
	draining, closing atomic.Bool
	// drained makes the server refuse requests that arrive after the last exchange of a stop
	// has ended.
	drained  atomic.Bool
	inFlight atomic.Int64
	idle     idleConns
	// base is the parent context of all requests. abort cancels it when a stop cannot wait any
	// longer.
	base  context.Context
	abort context.CancelCauseFunc
}

// New returns a server that passes exchanges to fw and takes its limits from the configuration
// in force.
func New(deps core.Deps, codec Codec, fw *forward.Forwarder, inf *route.InForce) *Server {
	sv := &Server{deps: deps, codec: codec, fw: fw, inf: inf, idle: idleConns{timers: map[*conn]*time.Timer{}}}
	sv.base, sv.abort = context.WithCancelCause(context.Background())
	return sv
}

const (
	// headerTimeout stops a caller that never completes its header from holding a connection.
	headerTimeout = 5 * time.Second
	// maxHeaderBytes bounds a header before any configuration is loaded; the configuration's
	// own limit is lower.
	maxHeaderBytes = 64 << 10
	// maxBodyBytes bounds a body while the configuration sets no limit.
	maxBodyBytes = 8 << 20
	// idleTimeout is how long an unused connection is kept while the configuration sets no
	// timeout.
	idleTimeout = time.Minute
)

// HTTP returns the HTTP server for callers.
func (sv *Server) HTTP() *http.Server {
	return &http.Server{
		Handler: sv, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: sv.connState, BaseContext: func(net.Listener) context.Context { return sv.base },
		ConnContext: withConn,
	}
}

// StartDraining makes every response from now on close its connection.
func (sv *Server) StartDraining() { sv.draining.Store(true) }

// InFlight counts the exchanges in flight, until their responses have been handed to the host's network.
func (sv *Server) InFlight() int64 { return sv.inFlight.Load() }

// ServeHTTP implements http.Handler.
func (sv *Server) ServeHTTP(w http.ResponseWriter, rq *http.Request) {
	defer sv.begin(rq.Context())()
	ex, fl := sv.read(w, rq)
	if fl != nil {
		sv.reject(w, rq, "", fl)
		return
	}
	if sv.drained.Load() {
		sv.reject(w, rq, ex.ID, core.Refuse(core.CodeLeaving, forward.RestartTime, "the process has stopped"))
		return
	}
	ans, err := sv.fw.Forward(rq.Context(), ex)
	if err != nil {
		sv.refuse(w, ex.ID, asFailure(err))
		return
	}
	defer ans.Close()
	if err := sv.relay(w, ans); err != nil {
		response.Abort(w, rq)
	}
}

// reject refuses a request that is not forwarded, and writes its log line.
func (sv *Server) reject(w http.ResponseWriter, rq *http.Request, id core.RequestID, fl *core.Failure) {
	event.Log(sv.deps.Log, event.ExchangeRefused, "request", id, "path", rq.URL.Path, "code", fl.Code, "ran", fl.Ran,
		"message", fl.Message, "retry-after", fl.RetryAfter)
	sv.refuse(w, id, fl)
}

// announceClose makes the caller send its next request on another connection if the server is
// draining when the response begins.
func (sv *Server) announceClose(hd http.Header) {
	if sv.draining.Load() {
		hd.Set("Connection", "close")
	}
}

// read reads a request within the limits of the configuration and decodes it.
func (sv *Server) read(w http.ResponseWriter, rq *http.Request) (*core.Exchange, *core.Failure) {
	arrived := time.Now()
	lim := route.Limits{BodyBytes: maxBodyBytes}
	if tb := sv.inf.Current(); tb != nil {
		lim = tb.Limits
	}
	if limit := lim.HeaderBytes; limit > 0 && headerSize(rq.Header) > limit {
		return nil, core.Refuse(core.CodeHeaderTooLong, 0, "the header is longer than %d bytes", limit)
	}
	limit := int64(lim.BodyBytes)
	if limit <= 0 {
		limit = maxBodyBytes
	}
	body, err := readBody(w, rq, limit)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, core.Refuse(core.CodeTooLarge, 0, "the body is longer than %d bytes", limit)
	case err != nil:
		return nil, core.Refuse(core.CodeBadRequest, 0, "the body cannot be read: %v", err)
	}
	return sv.codec.Exchange(rq, body, arrived)
}

// readBody reads a body, into a buffer of the announced length if there is one.
func readBody(w http.ResponseWriter, rq *http.Request, limit int64) ([]byte, error) {
	rd := http.MaxBytesReader(w, rq.Body, limit)
	if rq.ContentLength <= 0 || rq.ContentLength > limit {
		return io.ReadAll(rd)
	}
	body := make([]byte, rq.ContentLength)
	_, err := io.ReadFull(rd, body)
	return body, err
}

// headerSize returns the size of a header as it counts against the limit.
func headerSize(hd http.Header) int {
	const separators = len(": \r\n")
	sum := 0
	for name, vals := range hd {
		for _, val := range vals {
			sum += len(name) + len(val) + separators
		}
	}
	return sum
}

// relay writes a response as it arrives. An error means that the caller did not receive the
// complete response.
func (sv *Server) relay(w http.ResponseWriter, ans *forward.Answer) error {
	hd := w.Header()
	for name, vals := range ans.Header() {
		hd[name] = vals
	}
	// Without this, net/http would guess a content type that the upstream did not send.
	if _, ok := hd["Content-Type"]; !ok {
		hd["Content-Type"] = nil
	}
	sv.announceClose(hd)
	if n := ans.Length(); n >= 0 {
		hd.Set("Content-Length", strconv.Itoa(n))
	}
	w.WriteHeader(ans.Status())
	ctl := http.NewResponseController(w)
	for {
		chunk, err := ans.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if _, err := w.Write(chunk); err != nil {
			return err
		}
		if ans.Stream() {
			if err := ctl.Flush(); err != nil {
				return err
			}
		}
	}
}

// abortTimeout is how long Drain waits for the final responses of requests that it has
// cancelled.
const abortTimeout = 200 * time.Millisecond

// Drain waits until no exchange is in flight or the context ends. In the second case it cancels
// the remaining exchanges, which then send their final response if they have sent none of it
// yet, and returns their number.
//
// Requests that arrive after the last exchange has ended are refused. The listener is still
// open then, and the process takes a moment to exit: the exit would cut off a request forwarded
// in that time, such as 45 ms after its arrival.
func (sv *Server) Drain(ctx context.Context) int64 {
	if sv.waitIdle(ctx) {
		sv.drained.Store(true)
	}
	if sv.waitIdle(ctx) {
		return 0
	}
	left := sv.InFlight()
	sv.abort(forward.ErrStopping)
	last, cancel := context.WithTimeout(context.Background(), abortTimeout)
	defer cancel()
	sv.waitIdle(last)
	return left
}

// waitIdle reports whether the last exchange ended before the context.
func (sv *Server) waitIdle(ctx context.Context) bool {
	const interval = 10 * time.Millisecond
	ti := time.NewTicker(interval)
	defer ti.Stop()
	for sv.InFlight() > 0 {
		select {
		case <-ctx.Done():
			return false
		case <-ti.C:
		}
	}
	return true
}
