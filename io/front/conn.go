package front

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"skylarkstand/io/upstream"
)

// conn is a caller's connection that knows whether anything came since its last
// answer.
//
// net/http calls a connection idle until it has read a whole header. Closing
// one by that word cuts off the caller whose request is being read: it has sent
// a whole request and gets neither an answer nor a refusal.
type conn struct {
	net.Conn
	touched atomic.Bool
}

// Read implements net.Conn.
func (co *conn) Read(p []byte) (int, error) {
	n, err := co.Conn.Read(p)
	if n > 0 {
		co.touched.Store(true)
	}
	return n, err
}

// CloseWrite lets net/http end a connection without losing its last answer.
func (co *conn) CloseWrite() error {
	if tc, ok := co.Conn.(interface{ CloseWrite() error }); ok {
		return tc.CloseWrite()
	}
	return nil
}

// closeUnused closes the connection unless a request has begun to arrive, and
// reports whether it did.
func (co *conn) closeUnused() bool {
	if co.touched.Load() || !upstream.Quiet(co.Conn) || co.touched.Load() {
		return false
	}
	co.Close()
	return true
}

// listener hands out connections of this package.
type listener struct{ net.Listener }

// Accept implements net.Listener.
func (li listener) Accept() (net.Conn, error) {
	nc, err := li.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: nc}, nil
}

// Listen wraps a listener for callers.
func Listen(li net.Listener) net.Listener { return listener{li} }

// idlers closes connections that stay unused for longer than the configuration
// allows. net/http's own limit is set once, and the configuration changes.
type idlers struct {
	mu     sync.Mutex
	timers map[*conn]*time.Timer
}

func (sv *Server) connState(nc net.Conn, st http.ConnState) {
	co, ok := nc.(*conn)
	if !ok {
		return
	}
	id := &sv.idle
	id.mu.Lock()
	defer id.mu.Unlock()
	switch st {
	case http.StateIdle:
		co.touched.Store(false)
		if sv.closing.Load() && co.closeUnused() {
			return
		}
		id.timers[co] = time.AfterFunc(sv.idleLimit(), func() { co.closeUnused() })
	case http.StateActive, http.StateClosed, http.StateHijacked:
		if ti := id.timers[co]; ti != nil {
			ti.Stop()
			delete(id.timers, co)
		}
	}
}

func (sv *Server) idleLimit() time.Duration {
	if tb := sv.inf.Current(); tb != nil && tb.Limits.Idle > 0 {
		return tb.Limits.Idle
	}
	return idleLimit
}

// CloseIdle closes the connections that carry no request now, not even the
// beginning of one, and from now on each one after its answer. An answer that
// began before [Server.Leave] did not tell its caller to go elsewhere.
func (sv *Server) CloseIdle() {
	sv.closing.Store(true)
	id := &sv.idle
	id.mu.Lock()
	defer id.mu.Unlock()
	for co, ti := range id.timers {
		if co.closeUnused() {
			ti.Stop()
			delete(id.timers, co)
		}
	}
}

// Unused counts the kept connections that carry no request now.
func (sv *Server) Unused() int {
	sv.idle.mu.Lock()
	defer sv.idle.mu.Unlock()
	return len(sv.idle.timers)
}

// Arriving reports whether the beginning of a request has come on some kept
// connection.
func (sv *Server) Arriving() bool {
	sv.idle.mu.Lock()
	defer sv.idle.mu.Unlock()
	for co := range sv.idle.timers {
		if co.touched.Load() {
			return true
		}
	}
	return false
}
