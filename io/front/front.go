// Package front serves callers whose requests are passed on to upstreams as
// they are. It reads requests, bounds them, and writes answers as they come; what
// the headers mean is the matter of a [Codec].
//
// # Usage
//
//	sv := front.New(deps, codec, fw, limits)
//	hs := sv.HTTP()
//	go hs.Serve(front.Listen(listener))
//	sv.Leave()                 // answers close their connections from now on
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
)

// Codec decodes callers' requests.
type Codec interface {
	// Exchange returns what a request asks for, or a failure that was not run.
	Exchange(rq *http.Request, body []byte, arrived time.Time) (*core.Exchange, *core.Failure)
}

// Server is safe for concurrent use.
type Server struct {
	deps  core.Deps
	codec Codec
	fw    *forward.Forwarder
	inf   *route.InForce

	// leaving has answers close their connections, closing has connections
	// closed that come to be idle.
	leaving, closing atomic.Bool
	// over has requests refused that come once a stop has nothing to wait for.
	over   atomic.Bool
	flying atomic.Int64
	idle   idlers
	// base ends the requests under way, when a stop cannot wait any longer.
	base   context.Context
	giveUp context.CancelCauseFunc
}

// New returns a server that passes exchanges to fw.
func New(deps core.Deps, codec Codec, fw *forward.Forwarder, inf *route.InForce) *Server {
	sv := &Server{deps: deps, codec: codec, fw: fw, inf: inf, idle: idlers{timers: map[*conn]*time.Timer{}}}
	sv.base, sv.giveUp = context.WithCancelCause(context.Background())
	return sv
}

const (
	// headerLimit stops a caller that never ends its header from holding a
	// connection.
	headerLimit = 5 * time.Second
	// headerBytes bounds a header before any configuration is known; the
	// configuration's own bound is lower.
	headerBytes = 64 << 10
	// bodyBytes bounds a body while the configuration sets no bound.
	bodyBytes = 8 << 20
	// idleLimit is how long an unused connection is kept while the
	// configuration does not say.
	idleLimit = time.Minute
)

// HTTP returns the HTTP server for callers.
func (sv *Server) HTTP() *http.Server {
	return &http.Server{
		Handler: sv, ReadHeaderTimeout: headerLimit, MaxHeaderBytes: headerBytes,
		ConnState: sv.connState, BaseContext: func(net.Listener) context.Context { return sv.base },
	}
}

// Leave has every answer from now on close its connection.
func (sv *Server) Leave() { sv.leaving.Store(true) }

// Flying counts the exchanges under way.
func (sv *Server) Flying() int64 { return sv.flying.Load() }

// ServeHTTP implements http.Handler.
func (sv *Server) ServeHTTP(w http.ResponseWriter, rq *http.Request) {
	sv.flying.Add(1)
	defer sv.flying.Add(-1)
	ex, fl := sv.read(w, rq)
	if fl != nil {
		sv.turnAway(w, rq, "", fl)
		return
	}
	if sv.over.Load() {
		sv.turnAway(w, rq, ex.ID, core.Refuse(core.CodeLeaving, forward.Restart, "the process has stopped"))
		return
	}
	ans, err := sv.fw.Forward(rq.Context(), ex)
	if err != nil {
		sv.refuse(w, ex.ID, asFailure(err))
		return
	}
	defer ans.Close()
	if err := sv.relay(w, ans); err != nil {
		// Ending the connection without the end of the answer is the only way
		// to tell a caller that it does not have the whole of it.
		panic(http.ErrAbortHandler)
	}
}

// turnAway refuses a request that is not handed on, and writes its one line.
func (sv *Server) turnAway(w http.ResponseWriter, rq *http.Request, id core.RequestID, fl *core.Failure) {
	event.Log(sv.deps.Log, event.ExchangeRefused, "request", id, "path", rq.URL.Path, "code", fl.Code, "ran", fl.Ran,
		"message", fl.Message, "retry-after", fl.RetryAfter)
	sv.refuse(w, id, fl)
}

// announce tells a caller to send its next request elsewhere, when this process
// is leaving as the answer begins.
func (sv *Server) announce(hd http.Header) {
	if sv.leaving.Load() {
		hd.Set("Connection", "close")
	}
}

// read takes in a request within the limits of the configuration.
func (sv *Server) read(w http.ResponseWriter, rq *http.Request) (*core.Exchange, *core.Failure) {
	arrived := time.Now()
	lim := route.Limits{BodyBytes: bodyBytes}
	if tb := sv.inf.Current(); tb != nil {
		lim = tb.Limits
	}
	if most := lim.HeaderBytes; most > 0 && headerSize(rq.Header) > most {
		return nil, core.Refuse(core.CodeHeaderTooLong, 0, "the header is longer than %d bytes", most)
	}
	most := int64(lim.BodyBytes)
	if most <= 0 {
		most = bodyBytes
	}
	body, err := readBody(w, rq, most)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, core.Refuse(core.CodeTooLarge, 0, "the body is longer than %d bytes", most)
	case err != nil:
		return nil, core.Refuse(core.CodeBadRequest, 0, "the body cannot be read: %v", err)
	}
	return sv.codec.Exchange(rq, body, arrived)
}

// readBody reads a body into a buffer of its length, where that is told.
func readBody(w http.ResponseWriter, rq *http.Request, most int64) ([]byte, error) {
	rd := http.MaxBytesReader(w, rq.Body, most)
	if rq.ContentLength <= 0 || rq.ContentLength > most {
		return io.ReadAll(rd)
	}
	body := make([]byte, rq.ContentLength)
	_, err := io.ReadFull(rd, body)
	return body, err
}

// headerSize is the size of a header as it is counted against the limit.
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

// relay writes an answer as it comes. An error means that the caller did not
// get the whole of it.
func (sv *Server) relay(w http.ResponseWriter, ans *forward.Answer) error {
	hd := w.Header()
	for name, vals := range ans.Header() {
		hd[name] = vals
	}
	// Without this net/http would guess a type that the upstream did not send.
	if _, ok := hd["Content-Type"]; !ok {
		hd["Content-Type"] = nil
	}
	sv.announce(hd)
	if n := ans.Length(); n >= 0 {
		hd.Set("Content-Length", strconv.Itoa(n))
	}
	w.WriteHeader(ans.Status())
	ctl := http.NewResponseController(w)
	for {
		piece, err := ans.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if _, err := w.Write(piece); err != nil {
			return err
		}
		if ans.Stream() {
			if err := ctl.Flush(); err != nil {
				return err
			}
		}
	}
}

// lastWords is what requests that a stop gives up on have to be answered in.
const lastWords = 200 * time.Millisecond

// Drain waits until no exchange is under way, or the context ends. Those that
// are left then get their final answer, if they have none of it yet. It reports
// how many they were.
//
// What comes after the last one has ended is refused. The listener is still open
// and the process takes a moment to end: a request that was passed on then was
// cut off with the process, 45 ms after it had come.
func (sv *Server) Drain(ctx context.Context) int64 {
	if sv.await(ctx) {
		sv.over.Store(true)
	}
	if sv.await(ctx) {
		return 0
	}
	left := sv.Flying()
	sv.giveUp(forward.ErrStopping)
	last, cancel := context.WithTimeout(context.Background(), lastWords)
	defer cancel()
	sv.await(last)
	return left
}

// await reports whether no exchange is under way before the context ends.
func (sv *Server) await(ctx context.Context) bool {
	const every = 10 * time.Millisecond
	ti := time.NewTicker(every)
	defer ti.Stop()
	for sv.Flying() > 0 {
		select {
		case <-ctx.Done():
			return false
		case <-ti.C:
		}
	}
	return true
}
