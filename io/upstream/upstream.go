// Package upstream calls upstreams directly by HTTP/1.1, one request at a time
// on a kept connection.
//
// It exists beside net/http's client for what that hides: whether a byte of a
// request has left, so that "not run" can be said truthfully; that nothing is
// ever sent twice; and which bytes on a connection belong to which request. An
// upstream may answer before it has read a body, send more than one answer, or
// let a connection go silent. Bytes that belong to no request end their
// connection, and an answer counts as whole only when its framing says so.
//
// # Usage
//
//	cl, cleanup := upstream.New()
//	rs, err := cl.Do(ctx, addr, &upstream.Request{Method: "GET", Target: "/", Host: "a", Header: hd})
//	if upstream.Sent(err) { … it may have run … }
//	io.Copy(w, rs.Body) // ends with io.EOF only when the answer is whole
package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	// dialLimit bounds the opening of a connection. A round trip between
	// regions takes 60 ms, so that one lost packet still fits; a host without
	// power never answers, and each caller that waits for it waits this long.
	dialLimit = 600 * time.Millisecond
	// idleLimit closes connections that nobody used, for upstreams that do not
	// say when they do.
	idleLimit = 8 * time.Second
	// idleMargin is how much sooner than the upstream a connection is given up:
	// a request that crosses the upstream's close may or may not have run.
	idleMargin = 800 * time.Millisecond
	// maxIdle bounds the kept connections to one upstream: the width of a usual
	// burst. Each costs about 5 kB here and a place among those that the
	// upstream accepts.
	maxIdle = 32
	// maxStrays is how many answers of other requests are passed over before a
	// connection is given up.
	maxStrays = 2
	// readBuffer holds the header of an answer; larger ones take several reads.
	readBuffer = 2048
	// inlineBody is what is written before the answer is awaited. It fits the
	// send buffer of a new connection, so that an upstream that answers early
	// and does not read cannot block the writer.
	inlineBody = 4096
)

// Request is one request.
type Request struct {
	Method, Target, Host string
	Header               http.Header
	Body                 []byte
	// Connections bounds those to the address; 0 is no bound.
	Connections int
	// Mine tells the answer to this request from others by its header; nil
	// takes the first.
	Mine func(http.Header) bool
}

// Response is an answer. Closing its body early ends the connection.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Closing says that the upstream ends the connection after this answer.
	Closing bool
}

// Error is a request that got no answer.
type Error struct {
	// Sent says that bytes of it have left. The upstream may have run it.
	Sent bool
	// Dial says that no connection could be opened.
	Dial bool
	Err  error
}

// Error implements error.
func (er *Error) Error() string { return "upstream: " + er.Err.Error() }

// Unwrap returns the cause.
func (er *Error) Unwrap() error { return er.Err }

// Sent reports whether a failed request may have reached the upstream.
func Sent(err error) bool {
	var er *Error
	return !errors.As(err, &er) || er.Sent
}

// Errors of the package, wrapped by [Error].
var (
	// ErrNoConnection: all connections to the upstream are in use.
	ErrNoConnection = errors.New("all connections are in use")
	// ErrStray: the connection brings answers to other requests.
	ErrStray = errors.New("answers to other requests")
)

// Client keeps connections. It is safe for concurrent use.
type Client struct {
	dial func(ctx context.Context, addr string) (net.Conn, error)
	now  func() time.Time

	mu    sync.Mutex
	hosts map[string]*host
}

// host is the connections to one address.
type host struct {
	idle []*conn
	open int
}

// Option changes a Client at construction.
type Option func(*Client)

// Clock sets the clock, for tests.
func Clock(now func() time.Time) Option { return func(cl *Client) { cl.now = now } }

// New returns a client and its clean-up, which closes the idle connections.
func New(opts ...Option) (*Client, func()) {
	cl := &Client{hosts: map[string]*host{}, now: time.Now, dial: dial}
	for _, opt := range opts {
		opt(cl)
	}
	return cl, cl.closeIdle
}

// Do sends a request and returns the header of its answer. Errors are *Error.
func (cl *Client) Do(ctx context.Context, addr string, rq *Request) (*Response, error) {
	co, err := cl.take(ctx, addr, rq)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, co.interrupt)
	rs, er := co.exchange(rq)
	if er != nil {
		stop()
		cl.drop(co)
		if cause := ctx.Err(); cause != nil {
			er.Err = cause
		}
		return nil, er
	}
	rs.Body = &body{ReadCloser: rs.Body, cl: cl, co: co, stop: stop, keep: !rs.Closing, idle: keepAlive(rs.Header)}
	return rs, nil
}

// Refused reports whether nobody listens at the address of a call that failed.
func Refused(err error) bool {
	var er *Error
	return errors.As(err, &er) && er.Dial && errors.Is(er.Err, syscall.ECONNREFUSED)
}

// take returns an idle connection that is still good, or a new one.
func (cl *Client) take(ctx context.Context, addr string, rq *Request) (*conn, error) {
	if co := cl.takeIdle(addr); co != nil {
		return co, nil
	}
	if !cl.reserve(addr, rq.Connections) {
		return nil, &Error{Err: ErrNoConnection}
	}
	nc, err := cl.dial(ctx, addr)
	if err != nil {
		cl.release(addr)
		return nil, &Error{Dial: true, Err: err}
	}
	return &conn{Conn: nc, addr: addr, br: bufio.NewReaderSize(nc, readBuffer)}, nil
}

// takeIdle takes the connection that was used last. One that has ended, or
// brings bytes that nobody asked for, is dropped.
func (cl *Client) takeIdle(addr string) *conn {
	for {
		cl.mu.Lock()
		ho := cl.hosts[addr]
		if ho == nil || len(ho.idle) == 0 {
			cl.mu.Unlock()
			return nil
		}
		co := ho.idle[len(ho.idle)-1]
		ho.idle = ho.idle[:len(ho.idle)-1]
		cl.mu.Unlock()
		if cl.now().Before(co.until) && co.quiet() {
			return co
		}
		cl.drop(co)
	}
}

func (cl *Client) reserve(addr string, most int) bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	ho := cl.hosts[addr]
	if ho == nil {
		ho = new(host)
		cl.hosts[addr] = ho
	}
	if most > 0 && ho.open >= most {
		return false
	}
	ho.open++
	return true
}

func (cl *Client) release(addr string) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	ho := cl.hosts[addr]
	ho.open--
	if ho.open == 0 {
		delete(cl.hosts, addr)
	}
}

func (cl *Client) drop(co *conn) {
	co.Close()
	cl.release(co.addr)
}

// put keeps a connection for the next request.
func (cl *Client) put(co *conn, idle time.Duration) {
	co.until = cl.now().Add(idle)
	cl.mu.Lock()
	ho := cl.hosts[co.addr]
	if len(ho.idle) < maxIdle {
		ho.idle = append(ho.idle, co)
		cl.mu.Unlock()
		return
	}
	cl.mu.Unlock()
	cl.drop(co)
}

// Forget closes the idle connections to an address, when its upstream is gone.
func (cl *Client) Forget(addr string) {
	cl.mu.Lock()
	var idle []*conn
	if ho := cl.hosts[addr]; ho != nil {
		idle, ho.idle = ho.idle, nil
	}
	cl.mu.Unlock()
	for _, co := range idle {
		cl.drop(co)
	}
}

func (cl *Client) closeIdle() {
	cl.mu.Lock()
	addrs := make([]string, 0, len(cl.hosts))
	for addr := range cl.hosts {
		addrs = append(addrs, addr)
	}
	cl.mu.Unlock()
	for _, addr := range addrs {
		cl.Forget(addr)
	}
}

// keepAlive returns how long a connection may stay idle, by the header of the
// last answer.
func keepAlive(hd http.Header) time.Duration {
	idle := idleLimit
	if secs, ok := timeoutParam(hd.Get("Keep-Alive")); ok {
		idle = min(idle, time.Duration(secs)*time.Second)
	}
	return idle - idleMargin
}

func timeoutParam(val string) (int, bool) {
	const name = "timeout="
	for i := 0; i+len(name) <= len(val); i++ {
		if val[i:i+len(name)] != name {
			continue
		}
		end := i + len(name)
		for end < len(val) && val[end] >= '0' && val[end] <= '9' {
			end++
		}
		secs, err := strconv.Atoi(val[i+len(name) : end])
		return secs, err == nil
	}
	return 0, false
}

// body is an answer's body. It gives the connection back at its whole end.
type body struct {
	io.ReadCloser
	cl   *Client
	co   *conn
	stop func() bool
	keep bool
	idle time.Duration
	done bool
}

// Read implements io.Reader.
func (bo *body) Read(p []byte) (int, error) {
	n, err := bo.ReadCloser.Read(p)
	if err != nil {
		bo.end(errors.Is(err, io.EOF))
	}
	return n, err
}

// Close implements io.Closer.
func (bo *body) Close() error {
	bo.end(false)
	return nil
}

// end gives the connection back or closes it. It is kept only when the answer
// is whole, the request was written to its end and nothing follows the answer.
func (bo *body) end(whole bool) {
	if bo.done {
		return
	}
	bo.done = true
	// A context that has ended may be about to interrupt the connection.
	if bo.stop() && whole && bo.keep && bo.idle > 0 && bo.co.clean() {
		bo.cl.put(bo.co, bo.idle)
		return
	}
	bo.cl.drop(bo.co)
}
