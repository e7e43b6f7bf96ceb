package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/io/upstream"
)

// turn is what a peer does with one request on one of its connections.
type turn func(nc net.Conn, rq *http.Request)

// peer accepts connections and plays a row of turns, over all connections.
type peer struct {
	addr     string
	accepted atomic.Int64
}

func newPeer(t *testing.T, turns ...turn) *peer {
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
					if n >= len(turns) {
						return
					}
					turns[n](nc, rq)
				}
			}()
		}
	}()
	return pe
}

// says answers with text as it stands, after it has read the body.
func says(text string) turn {
	return func(nc net.Conn, rq *http.Request) {
		_, _ = io.Copy(io.Discard, rq.Body)
		_, _ = io.WriteString(nc, text)
	}
}

// whole is an answer with a length, to the request of an id.
func whole(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// hangsUp answers and closes; resets answers and breaks the connection.
func hangsUp(text string) turn {
	return func(nc net.Conn, rq *http.Request) {
		says(text)(nc, rq)
		nc.Close()
	}
}

func resets(text string) turn {
	return func(nc net.Conn, rq *http.Request) {
		says(text)(nc, rq)
		time.Sleep(20 * time.Millisecond) // The bytes are to arrive before the reset.
		_ = nc.(*net.TCPConn).SetLinger(0)
		nc.Close()
	}
}

// silent never answers.
func silent(nc net.Conn, _ *http.Request) { _, _ = io.Copy(io.Discard, nc) }

func request(id, body string) *upstream.Request {
	return &upstream.Request{
		Method: http.MethodPost, Target: "/claim?n=1", Host: "desk", Header: http.Header{"Id": {id}}, Body: []byte(body),
		Mine: func(hd http.Header) bool { return hd.Get("Id") == "" || hd.Get("Id") == id },
	}
}

// ask sends a request and reads the whole answer.
func ask(t *testing.T, cl *upstream.Client, pe *peer, id, body string) (string, error) {
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

// Upstreams end their answers in many ways. A caller must never get a part as
// the whole, or another request's answer; and what may not run twice must be
// known to have left or not.
func TestAnswers(t *testing.T) {
	scenarios := []struct {
		testName string
		turn     turn
		body     string
		whole    bool
		sent     bool // of the error before any answer
	}{
		{"with a length", says(whole("a", "done")), "done", true, false},
		{"in chunks", says("HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n"), "done", true, false},
		{"to the connection's end", hangsUp("HTTP/1.1 200 OK\r\nId: a\r\n\r\ndone"), "done", true, false},
		{"to the connection's end, but reset", resets("HTTP/1.1 200 OK\r\nId: a\r\n\r\ndo"), "do", false, false},
		{"shorter than its length", hangsUp("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\ndone"), "done", false, false},
		{"without its last chunk", hangsUp("HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n"), "done", false, false},
		{"after an interim answer", says("HTTP/1.1 103 Early Hints\r\n\r\n" + whole("a", "done")), "done", true, false},
		{"after another request's answer", says(whole("b", "not yours") + whole("a", "done")), "done", true, false},
		{"only other requests' answers", hangsUp(whole("b", "x") + whole("c", "y")), "", false, true},
		{"bytes that are no answer", hangsUp("hello\r\n\r\n"), "", false, true},
		{"none", hangsUp(""), "", false, true},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			cl, cleanup := upstream.New()
			defer cleanup()
			got, err := ask(t, cl, newPeer(t, sc.turn), "a", "lamp")
			assert.Equal(t, got, sc.body)
			assert.Equal(t, err == nil, sc.whole, "%v", err)
			if sc.sent {
				assert.Assert(t, upstream.Sent(err), "it may have run")
			}
		})
	}
}

// An upstream sends one answer too many. The next request on that connection
// would take it for its own, and its caller would get somebody else's quote.
func TestExtraAnswerEndsItsConnection(t *testing.T) {
	cl, cleanup := upstream.New()
	defer cleanup()
	pe := newPeer(t, says(whole("a", "one")+whole("a", "again")), says(whole("b", "two")))
	got, err := ask(t, cl, pe, "a", "lamp")
	assert.NilError(t, err)
	assert.Equal(t, got, "one")
	got, err = ask(t, cl, pe, "b", "lamp")
	assert.NilError(t, err)
	assert.Equal(t, got, "two")
	assert.Equal(t, pe.accepted.Load(), int64(2))
}

// The extra answer comes late, when the connection is kept already.
func TestLateExtraAnswerEndsItsConnection(t *testing.T) {
	cl, cleanup := upstream.New()
	defer cleanup()
	late := make(chan struct{})
	pe := newPeer(t, func(nc net.Conn, rq *http.Request) {
		says(whole("a", "one"))(nc, rq)
		go func() {
			_, _ = io.WriteString(nc, whole("a", "again"))
			close(late)
		}()
	}, says(whole("b", "two")))
	_, err := ask(t, cl, pe, "a", "lamp")
	assert.NilError(t, err)
	<-late
	got, err := ask(t, cl, pe, "b", "lamp")
	assert.NilError(t, err)
	assert.Equal(t, got, "two")
}

// Requests follow one another. Each new connection takes a place of the
// upstream for a moment, so one that is whole must be kept.
func TestConnectionsAreKept(t *testing.T) {
	cl, cleanup := upstream.New()
	defer cleanup()
	pe := newPeer(t, says(whole("a", "one")), says(whole("b", "two")), says(whole("c", "three")))
	for _, id := range []string{"a", "b", "c"} {
		_, err := ask(t, cl, pe, id, "lamp")
		assert.NilError(t, err)
	}
	assert.Equal(t, pe.accepted.Load(), int64(1))
}

// An upstream closes connections that it finds idle. A claim sent on one may or
// may not have run, so a connection that is known to be closed, or that is older
// than the upstream keeps them, must not carry one.
func TestIdleConnectionThatEnded(t *testing.T) {
	cl, cleanup := upstream.New()
	defer cleanup()
	pe := newPeer(t, hangsUp(whole("a", "one")), says(whole("b", "two")))
	_, err := ask(t, cl, pe, "a", "lamp")
	assert.NilError(t, err)
	got, err := ask(t, cl, pe, "b", "lamp")
	assert.NilError(t, err)
	assert.Equal(t, got, "two")
}

func TestIdleConnectionThatIsOld(t *testing.T) {
	now := time.Now()
	cl, cleanup := upstream.New(upstream.Clock(func() time.Time { return now }))
	defer cleanup()
	keeps := strings.Replace(whole("a", "one"), "Id: a", "Id: a\r\nKeep-Alive: timeout=3", 1)
	pe := newPeer(t, says(keeps), says(keeps), says(whole("a", "three")))
	for _, later := range []time.Duration{0, 2 * time.Second, 2500 * time.Millisecond} {
		now = now.Add(later)
		_, err := ask(t, cl, pe, "a", "lamp")
		assert.NilError(t, err)
	}
	assert.Equal(t, pe.accepted.Load(), int64(2), "the last one was asked on a new connection")
}

// An upstream answers a long request before it has read it, keeps the
// connection and reads on. What it reads must be the rest of that body and
// nothing else, and the answer must not wait for it.
func TestEarlyAnswerToALongBody(t *testing.T) {
	cl, cleanup := upstream.New()
	defer cleanup()
	body := strings.Repeat("floor plan ", 1<<20)
	pe := newPeer(t, func(nc net.Conn, _ *http.Request) {
		_, _ = io.WriteString(nc, whole("a", "too long"))
		time.Sleep(50 * time.Millisecond)
	}, says(whole("b", "two")))
	got, err := ask(t, cl, pe, "a", body)
	assert.NilError(t, err)
	assert.Equal(t, got, "too long")
	got, err = ask(t, cl, pe, "b", "lamp")
	assert.NilError(t, err)
	assert.Equal(t, got, "two")
	assert.Equal(t, pe.accepted.Load(), int64(2), "the rest of the body ends with its connection")
}

// A caller leaves while its upstream works. The upstream notices only by its
// connection, and would work on for nobody.
func TestCallerThatLeavesEndsTheConnection(t *testing.T) {
	cl, cleanup := upstream.New()
	defer cleanup()
	ended := make(chan struct{})
	pe := newPeer(t, func(nc net.Conn, _ *http.Request) {
		silent(nc, nil)
		close(ended)
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := cl.Do(ctx, pe.addr, request("a", "lamp"))
	assert.Assert(t, errors.Is(err, context.Canceled), "%v", err)
	assert.Assert(t, upstream.Sent(err))
	<-ended
}

// Nobody listens at an address, or all connections that the upstream accepts are
// in use. Nothing has left then, and a claim can go elsewhere.
func TestNothingHasLeft(t *testing.T) {
	cl, cleanup := upstream.New()
	defer cleanup()
	li, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := li.Addr().String()
	li.Close()
	_, err = cl.Do(t.Context(), addr, request("a", "lamp"))
	assert.Assert(t, err != nil && !upstream.Sent(err), "%v", err)

	pe := newPeer(t, silent)
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
	rq.Connections = 1
	_, err = cl.Do(t.Context(), pe.addr, rq)
	assert.ErrorIs(t, err, upstream.ErrNoConnection)
	assert.Assert(t, !upstream.Sent(err))
	cancel()
}
