// Package upstream is an HTTP/1.1 client for upstreams that sends one request at a time on a
// kept-alive connection.
//
// It exists because the client of net/http hides what the router needs: whether any byte of a
// request was sent, so that "not run" is reported only if it is certain; that nothing is ever sent
// twice; and which bytes on a connection belong to which request. An upstream may respond
// before it has read a body, send more than one response, or stop sending on an open connection. A
// connection that delivers bytes belonging to no request is closed, and a response counts as
// complete only if its framing says so. A response without framing ends with its connection: it is broken if its
// request was not written to its end, or the connection was reset, whichever call the kernel reports that to. Otherwise
// whether it is complete is for the caller to find out; see [Response].
//
// # Usage
//
//	cl, cleanup := upstream.New()
//	rs, err := cl.Do(ctx, addr, &upstream.Request{Method: "GET", Target: "/", Host: "a", Header: hd})
//	if upstream.MaybeSent(err) { … it may have run … }
//	io.Copy(w, rs.Body) // ends with io.EOF only when the response is complete
package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// dialTimeout bounds the opening of a connection. A round trip between regions takes 60 ms,
	// so one lost packet still fits; a host without power never responds, and each caller that
	// waits for it waits this long.
	dialTimeout = 600 * time.Millisecond
	// idleTimeout closes unused connections to upstreams that do not announce their own idle
	// timeout.
	idleTimeout = 8 * time.Second
	// idleMargin is how much earlier than the upstream this client closes an idle connection: a
	// request that is sent while the upstream closes the connection may or may not have run.
	idleMargin = 800 * time.Millisecond
	// maxIdle bounds the idle connections to one upstream: the size of a usual burst. Each
	// takes about 5 kB here, and one of the connections that the upstream accepts.
	maxIdle = 32
	// maxForeign is how many responses to other requests are skipped before a connection is
	// closed.
	maxForeign = 2
	// readBufferSize is the size, in bytes, of a connection's read buffer. It holds the header
	// of a usual response; larger ones take several reads.
	readBufferSize = 2048
	// maxInlineBody is the number of bytes of a body that are written before the response is
	// awaited. It fits the send buffer of a new connection, so that an upstream that responds
	// early and does not read cannot block the writer.
	maxInlineBody = 4096
)

// Request is a request to an upstream.
type Request struct {
	Method, Target, Host string
	Header               http.Header
	Body                 []byte
	// MaxConnections bounds the open connections to the address; 0 means no limit.
	MaxConnections int
	// ID identifies the request in its responses. No connection carries an id twice, since a copy of the response
	// to the first request could be taken for that to the second. It may be empty, for a request without an id.
	ID string
	// BeforeSend is called immediately before the first byte is written. If it returns false, nothing is
	// written and the request fails with [ErrWithheld]. It may be nil.
	BeforeSend func() bool
	// IsResponse reports, by a response's header, whether the response belongs to this request. If
	// it is nil, the first response does.
	IsResponse func(http.Header) bool
}

// Response is the response to a request. Closing its body before the end closes the connection.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// ClosesConnection states that the connection is not reused after this response.
	ClosesConnection bool
	// KeptConnection states that the connection had carried another request before, and Skipped counts the
	// responses to other requests that arrived in front of this one.
	KeptConnection bool
	Skipped        int
	// EndsWithConnection states that the body has neither a length nor chunks: it ends with the
	// connection, also if the upstream breaks off.
	EndsWithConnection bool

	// parsed is the response as net/http has parsed it, for [Transport].
	parsed *http.Response
}

// Error is the error of a request without a response.
type Error struct {
	// Sent states that bytes of the request were sent. The upstream may have run it.
	Sent bool
	// DialFailed states that no connection could be opened.
	DialFailed bool
	Err        error
}

// Error implements error.
func (er *Error) Error() string { return "upstream: " + er.Err.Error() }

// Unwrap returns the cause.
func (er *Error) Unwrap() error { return er.Err }

// MaybeSent reports whether a failed request may have reached the upstream.
func MaybeSent(err error) bool {
	var er *Error
	return !errors.As(err, &er) || er.Sent
}

// Errors of the package, wrapped by [Error].
var (
	// ErrConnectionLimit: all connections to the upstream are in use.
	ErrConnectionLimit = errors.New("all connections are in use")
	// ErrWithheld: BeforeSend returned false.
	ErrWithheld = errors.New("the request was withheld")
	// ErrForeignResponse: the connection delivers what is no response to the request.
	ErrForeignResponse = errors.New("answers to other requests")
	// ErrBrokenOff: a response without framing ended with its connection, which was reset or did not carry the whole
	// request.
	ErrBrokenOff = errors.New("the connection ended before the request was written, or by a reset")
)

// Client sends requests to upstreams and keeps their connections alive. It is safe for
// concurrent use.
type Client struct {
	dial func(ctx context.Context, addr string) (net.Conn, error)
	now  func() time.Time
	// single is set if a connection carries one request only.
	single bool

	mu    sync.Mutex
	pools map[string]*pool
}

// Option configures a Client.
type Option func(*Client)

// Clock sets the clock, for tests.
func Clock(now func() time.Time) Option { return func(cl *Client) { cl.now = now } }

// Dialer sets what opens connections. The default is meant for links between hosts: it ends a connection within seconds
// if the other side acknowledges nothing, which one that is slow to read looks like.
func Dialer(di net.Dialer) Option {
	return func(cl *Client) {
		cl.dial = func(ctx context.Context, addr string) (net.Conn, error) { return di.DialContext(ctx, "tcp", addr) }
	}
}

// OneRequestPerConnection gives each request a connection of its own, on which no late response to another one can
// arrive.
func OneRequestPerConnection() Option { return func(cl *Client) { cl.single = true } }

// New returns a client and a cleanup function that closes its idle connections.
func New(opts ...Option) (*Client, func()) {
	cl := &Client{pools: map[string]*pool{}, now: time.Now, dial: dial}
	for _, opt := range opts {
		opt(cl)
	}
	return cl, cl.closeIdle
}

// Do sends a request and returns the response once its header has been read. Errors are of type
// *Error.
func (cl *Client) Do(ctx context.Context, addr string, rq *Request) (*Response, error) {
	co, err := cl.acquire(ctx, addr, rq)
	if err != nil {
		return nil, err
	}
	if cause := ctx.Err(); cause != nil {
		cl.drop(co)
		return nil, &Error{Err: cause}
	}
	if rq.BeforeSend != nil && !rq.BeforeSend() {
		cl.drop(co)
		return nil, &Error{Err: ErrWithheld}
	}
	stop := context.AfterFunc(ctx, co.interrupt)
	rs, er := co.exchange(rq)
	if er != nil {
		stop()
		if cause := ctx.Err(); cause != nil {
			er.Err = cause
		}
		cl.abandon(co)
		return nil, er
	}
	rs.Body = &body{ReadCloser: rs.Body, cl: cl, co: co, stop: stop, reuse: !rs.ClosesConnection && !cl.single, idle: keepAlive(rs.Header)}
	return rs, nil
}

// ConnectionRefused reports whether a call failed because no process listens at the address.
func ConnectionRefused(err error) bool {
	var er *Error
	return errors.As(err, &er) && er.DialFailed && errors.Is(er.Err, syscall.ECONNREFUSED)
}

// Connect opens a connection to an address and keeps it for the next request. Its error is that of the
// dial; see [ConnectionRefused].
func (cl *Client) Connect(ctx context.Context, addr string) error {
	cl.reserve(addr, 0)
	nc, err := cl.dial(ctx, addr)
	if err != nil {
		cl.release(addr)
		return &Error{DialFailed: true, Err: err}
	}
	cl.put(newConn(nc, addr), idleTimeout-idleMargin)
	return nil
}
