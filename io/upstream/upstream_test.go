package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"skylarkstand/io/upstream"
)

// handler handles one request on one of a peer's connections.
type handler func(nc net.Conn, rq *http.Request)

// peer is an upstream that handles each request, over all connections, by the next of its
// handlers.
type peer struct {
	addr     string
	accepted atomic.Int64
}

func newPeer(t *testing.T, handlers ...handler) *peer {
	t.Helper()
	li, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { li.Close() })
	pe := &peer{addr: li.Addr().String()}
	var next atomic.Int64
	go func() {
		for {
			nc, err := li.Accept()
			if err != nil {
				return
			}
			pe.accepted.Add(1)
			go func() {
				defer nc.Close()
				br := bufio.NewReader(nc)
				for {
					rq, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					n := int(next.Add(1)) - 1
					if n >= len(handlers) {
						return
					}
					handlers[n](nc, rq)
				}
			}()
		}
	}()
	return pe
}

// responds reads the body and writes text as the response.
func responds(text string) handler {
	return func(nc net.Conn, rq *http.Request) {
		_, _ = io.Copy(io.Discard, rq.Body)
		_, _ = io.WriteString(nc, text)
	}
}

// response is a complete response with a length, to the request with an id.
func response(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// respondsAndCloses responds and closes the connection; respondsAndResets resets it.
func respondsAndCloses(text string) handler {
	return func(nc net.Conn, rq *http.Request) {
		responds(text)(nc, rq)
		nc.Close()
	}
}

func respondsAndResets(text string) handler {
	return func(nc net.Conn, rq *http.Request) {
		responds(text)(nc, rq)
		time.Sleep(20 * time.Millisecond) // The bytes must arrive before the reset.
		_ = nc.(*net.TCPConn).SetLinger(0)
		nc.Close()
	}
}

// closeAndAwaitAck closes a connection for writing and returns once the other side has
// acknowledged that, so that its kernel reports the connection as closed.
func closeAndAwaitAck(nc net.Conn) error {
	tc := nc.(*net.TCPConn)
	if err := tc.CloseWrite(); err != nil {
		return err
	}
	rc, err := tc.SyscallConn()
	if err != nil {
		return err
	}
	for {
		var info *unix.TCPInfo
		var opt error
		err := rc.Control(func(fd uintptr) { info, opt = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
		if err := errors.Join(err, opt); err != nil {
			return err
		}
		if info.State != unix.BPF_TCP_FIN_WAIT1 {
			return nil
		}
		time.Sleep(time.Millisecond)
	}
}

// neverResponds reads until the connection closes.
func neverResponds(nc net.Conn, _ *http.Request) { _, _ = io.Copy(io.Discard, nc) }

func request(id, body string) *upstream.Request {
	return &upstream.Request{
		Method: http.MethodPost, Target: "/claim?n=1", Host: "desk", Header: http.Header{"Id": {id}}, Body: []byte(body),
		IsResponse: func(hd http.Header) bool { return hd.Get("Id") == "" || hd.Get("Id") == id },
	}
}

// roundTrip sends a request and reads the complete response.
func roundTrip(t *testing.T, cl *upstream.Client, pe *peer, id, body string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	rs, err := cl.Do(ctx, pe.addr, request(id, body))
	if err != nil {
		return "", err
	}
	defer rs.Body.Close()
	data, err := io.ReadAll(rs.Body)
	return string(data), err
}

// Guards against taking a partial response for a complete one, against accepting the response to
// another request, and against a wrong statement on whether a request that must not run twice was
// sent. Upstreams end their responses in many ways.
func TestResponses(t *testing.T) {
	scenarios := []struct {
		testName string
		handler  handler
		body     string
		complete bool
		sent     bool // whether the result must be an error that says that the request may have run
	}{
		{"with a length", responds(response("a", "done")), "done", true, false},
		{"chunked", responds("HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n"), "done", true, false},
		{"until the connection closes", respondsAndCloses("HTTP/1.1 200 OK\r\nId: a\r\n\r\ndone"), "done", true, false},
		{"until the connection is reset", respondsAndResets("HTTP/1.1 200 OK\r\nId: a\r\n\r\ndo"), "do", false, false},
		{"shorter than its length", respondsAndCloses("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\ndone"), "done", false, false},
		{"without its last chunk", respondsAndCloses("HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n"), "done", false, false},
		{"after an interim response", responds("HTTP/1.1 103 Early Hints\r\n\r\n" + response("a", "done")), "done", true, false},
		{"after the response to another request", responds(response("b", "not yours") + response("a", "done")), "done", true, false},
		{"only responses to other requests", respondsAndCloses(response("b", "x") + response("c", "y")), "", false, true},
		{"invalid response", respondsAndCloses("hello\r\n\r\n"), "", false, true},
		{"none", respondsAndCloses(""), "", false, true},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			cl, cleanup := upstream.New()
			defer cleanup()
			got, err := roundTrip(t, cl, newPeer(t, sc.handler), "a", "lamp")
			assert.Equal(t, got, sc.body)
			assert.Equal(t, err == nil, sc.complete, "%v", err)
			if sc.sent {
				assert.Assert(t, upstream.MaybeSent(err), "the error must state that the request may have run")
			}
		})
	}
}

// Guards against delivering an extra response as the response to the next request on the
// connection: the caller of that request would receive another caller's quote.
func TestExtraResponseClosesConnection(t *testing.T) {
	cl, cleanup := upstream.New()
	defer cleanup()
	pe := newPeer(t, responds(response("a", "one")+response("a", "again")), responds(response("b", "two")))
	got, err := roundTrip(t, cl, pe, "a", "lamp")
	assert.NilError(t, err)
	assert.Equal(t, got, "one")
	got, err = roundTrip(t, cl, pe, "b", "lamp")
	assert.NilError(t, err)
	assert.Equal(t, got, "two")
	assert.Equal(t, pe.accepted.Load(), int64(2))
}

// Guards against delivering an extra response that arrives when the connection is already idle.
func TestLateExtraResponseClosesConnection(t *testing.T) {
	cl, cleanup := upstream.New()
	defer cleanup()
	late := make(chan struct{})
	pe := newPeer(t, func(nc net.Conn, rq *http.Request) {
		responds(response("a", "one"))(nc, rq)
		go func() {
			_, _ = io.WriteString(nc, response("a", "again"))
			close(late)
		}()
	}, responds(response("b", "two")))
	_, err := roundTrip(t, cl, pe, "a", "lamp")
	assert.NilError(t, err)
	<-late
	got, err := roundTrip(t, cl, pe, "b", "lamp")
	assert.NilError(t, err)
	assert.Equal(t, got, "two")
}

// Guards against opening a new connection for each request: each takes one of the upstream's
// connection slots for a moment, so a connection must be reused after a complete response.
func TestConnectionsAreReused(t *testing.T) {
	cl, cleanup := upstream.New()
	defer cleanup()
	pe := newPeer(t, responds(response("a", "one")), responds(response("b", "two")), responds(response("c", "three")))
	for _, id := range []string{"a", "b", "c"} {
		_, err := roundTrip(t, cl, pe, id, "lamp")
		assert.NilError(t, err)
	}
	assert.Equal(t, pe.accepted.Load(), int64(1))
}

// Guards against sending a claim on an idle connection that the upstream closes: the claim may or
// may not have run. A connection that is known to be closed, or that is older than the upstream's
// idle timeout, must not be reused.
func TestIdleConnectionThatEnded(t *testing.T) {
	cl, cleanup := upstream.New()
	defer cleanup()
	closed := make(chan error, 1)
	pe := newPeer(t, func(nc net.Conn, rq *http.Request) {
		responds(response("a", "one"))(nc, rq)
		closed <- closeAndAwaitAck(nc)
	}, responds(response("b", "two")))
	_, err := roundTrip(t, cl, pe, "a", "lamp")
	assert.NilError(t, err)
	assert.NilError(t, <-closed)
	got, err := roundTrip(t, cl, pe, "b", "lamp")
	assert.NilError(t, err)
	assert.Equal(t, got, "two")
}

func TestIdleConnectionThatIsOld(t *testing.T) {
	now := time.Now()
	cl, cleanup := upstream.New(upstream.Clock(func() time.Time { return now }))
	defer cleanup()
	keeps := strings.Replace(response("a", "one"), "Id: a", "Id: a\r\nKeep-Alive: timeout=3", 1)
	pe := newPeer(t, responds(keeps), responds(keeps), responds(response("a", "three")))
	for _, later := range []time.Duration{0, 2 * time.Second, 2500 * time.Millisecond} {
		now = now.Add(later)
		_, err := roundTrip(t, cl, pe, "a", "lamp")
		assert.NilError(t, err)
	}
	assert.Equal(t, pe.accepted.Load(), int64(2), "the last request must use a new connection")
}

// Guards against the remainder of a body being read as another request. An upstream responds to a
// long request before it has read it, keeps the connection and continues to read: it must receive
// the remainder of that body and nothing else, and the response must not wait for it.
func TestEarlyResponseToLongBody(t *testing.T) {
	cl, cleanup := upstream.New()
	defer cleanup()
	body := strings.Repeat("floor plan ", 1<<20)
	pe := newPeer(t, func(nc net.Conn, _ *http.Request) {
		_, _ = io.WriteString(nc, response("a", "too long"))
		time.Sleep(50 * time.Millisecond)
	}, responds(response("b", "two")))
	got, err := roundTrip(t, cl, pe, "a", body)
	assert.NilError(t, err)
	assert.Equal(t, got, "too long")
	got, err = roundTrip(t, cl, pe, "b", "lamp")
	assert.NilError(t, err)
	assert.Equal(t, got, "two")
	assert.Equal(t, pe.accepted.Load(), int64(2), "the connection with the unread rest of the body must not be reused")
}

// Guards against keeping the connection to an upstream open after the caller has disconnected: the
// upstream notices this only when its connection closes, and would continue to work.
func TestCancelledRequestClosesConnection(t *testing.T) {
	cl, cleanup := upstream.New()
	defer cleanup()
	ended := make(chan struct{})
	pe := newPeer(t, func(nc net.Conn, _ *http.Request) {
		neverResponds(nc, nil)
		close(ended)
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := cl.Do(ctx, pe.addr, request("a", "lamp"))
	assert.Assert(t, errors.Is(err, context.Canceled), "%v", err)
	assert.Assert(t, upstream.MaybeSent(err))
	<-ended
}

// Guards against reporting a request as sent when no process listens at the address, or when
// all connections that the upstream accepts are in use. Nothing was sent then, and a claim can
// be sent elsewhere.
func TestRequestNotSent(t *testing.T) {
	cl, cleanup := upstream.New()
	defer cleanup()
	li, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := li.Addr().String()
	li.Close()
	_, err = cl.Do(t.Context(), addr, request("a", "lamp"))
	assert.Assert(t, err != nil && !upstream.MaybeSent(err), "%v", err)

	pe := newPeer(t, neverResponds)
	ctx, cancel := context.WithCancel(t.Context())
	started := make(chan struct{})
	go func() {
		close(started)
		_, _ = cl.Do(ctx, pe.addr, request("a", "lamp"))
	}()
	<-started
	for pe.accepted.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	rq := request("b", "lamp")
	rq.MaxConnections = 1
	_, err = cl.Do(t.Context(), pe.addr, rq)
	assert.ErrorIs(t, err, upstream.ErrConnectionLimit)
	assert.Assert(t, !upstream.MaybeSent(err))
	cancel()
}

// A copy of the response to an earlier request with the same id may stand on the kept connection, and would be
// taken for the response to the second one.
func TestConnectionCarriesNoIDTwice(t *testing.T) {
	pe := newPeer(t, responds(response("a", "first")), responds(response("a", "second")))
	cl, cleanup := upstream.New()
	defer cleanup()
	for _, want := range []string{"first", "second"} {
		rs, err := cl.Do(t.Context(), pe.addr, &upstream.Request{ID: "a", Method: "GET", Target: "/", Host: "a"})
		assert.NilError(t, err)
		data, err := io.ReadAll(rs.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(data), want)
	}
	assert.Equal(t, pe.accepted.Load(), int64(2))
}

// A connection that forgot the ids of its first requests would carry one of them twice: it is closed before.
func TestConnectionEndsBeforeItForgetsAnID(t *testing.T) {
	const requests = 300
	pe := newPeer(t, slices.Repeat([]handler{responds(response("", "x"))}, requests)...)
	cl, cleanup := upstream.New()
	defer cleanup()
	for i := range requests {
		id := strconv.Itoa(i)
		rs, err := cl.Do(t.Context(), pe.addr, &upstream.Request{ID: id, Method: "GET", Target: "/" + id, Host: "a"})
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, rs.Body)
		assert.NilError(t, err)
	}
	assert.Equal(t, pe.accepted.Load(), int64(3))
}
