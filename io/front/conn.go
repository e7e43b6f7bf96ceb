package front

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"skylarkstand/io/upstream"
)

// conn is a caller's connection that records whether data arrived since its last response.
//
// net/http treats a connection as idle until it has read a complete request header. Closing a
// connection on that basis would cut off a caller whose request is still being read: it would
// have sent a complete request and received neither a response nor a refusal.
type conn struct {
	net.Conn
	received atomic.Bool
	// serving is set while an exchange of the connection counts as in flight.
	serving atomic.Bool
}

// Read implements net.Conn.
func (co *conn) Read(p []byte) (int, error) {
	n, err := co.Conn.Read(p)
	if n > 0 {
		co.received.Store(true)
	}
	return n, err
}

// CloseWrite lets net/http close the connection without losing its last response.
func (co *conn) CloseWrite() error {
	if tc, ok := co.Conn.(interface{ CloseWrite() error }); ok {
		return tc.CloseWrite()
	}
	return nil
}

// SetLinger lets a response be aborted by a reset.
func (co *conn) SetLinger(sec int) error {
	if tc, ok := co.Conn.(interface{ SetLinger(sec int) error }); ok {
		return tc.SetLinger(sec)
	}
	return nil
}

// connKey is the context key of a request's connection.
type connKey struct{}

func withConn(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

// begin counts an exchange and returns a function to call at its end. Where the connection is known, the exchange
// counts until net/http has sent its response, which it does after the handler has returned: a process that exits
// before that cuts the response off.
func (sv *Server) begin(ctx context.Context) (end func()) {
	sv.inFlight.Add(1)
	if co, ok := ctx.Value(connKey{}).(*conn); ok {
		co.serving.Store(true)
		return func() {}
	}
	return func() { sv.inFlight.Add(-1) }
}

// closeIfUnused closes the connection unless a request has begun to arrive, and reports whether
// it closed it.
func (co *conn) closeIfUnused() bool {
	if co.received.Load() || !upstream.IsIdle(co.Conn) || co.received.Load() {
		return false
	}
	co.Close()
	return true
}

// listener wraps accepted connections in conn.
type listener struct{ net.Listener }

// Accept implements net.Listener.
func (li listener) Accept() (net.Conn, error) {
	nc, err := li.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: nc}, nil
}

// Listen wraps a listener for callers. A [Server] can close only connections accepted from it.
func Listen(li net.Listener) net.Listener { return listener{li} }

// idleConns closes connections that stay unused for longer than the configuration allows. The
// idle timeout of net/http is set once, while the configuration can change.
type idleConns struct {
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
	if st != http.StateActive && co.serving.Swap(false) {
		sv.inFlight.Add(-1)
	}
	switch st {
	case http.StateIdle:
		co.received.Store(false)
		if sv.closing.Load() && co.closeIfUnused() {
			return
		}
		id.timers[co] = time.AfterFunc(sv.idleTimeout(), func() { co.closeIfUnused() })
	case http.StateActive, http.StateClosed, http.StateHijacked:
		if ti := id.timers[co]; ti != nil {
			ti.Stop()
			delete(id.timers, co)
		}
	}
}

func (sv *Server) idleTimeout() time.Duration {
	if tb := sv.inf.Current(); tb != nil && tb.Limits.Idle > 0 {
		return tb.Limits.Idle
	}
	return idleTimeout
}

// CloseIdle closes the connections on which no request is in flight or arriving, and from now
// on every other one after its response. A response that began before [Server.StartDraining] did
// not announce that its connection would be closed.
func (sv *Server) CloseIdle() {
	sv.closing.Store(true)
	id := &sv.idle
	id.mu.Lock()
	defer id.mu.Unlock()
	for co, ti := range id.timers {
		if co.closeIfUnused() {
			ti.Stop()
			delete(id.timers, co)
		}
	}
}

// IdleConnections counts the kept-alive connections without a request.
func (sv *Server) IdleConnections() int {
	sv.idle.mu.Lock()
	defer sv.idle.mu.Unlock()
	return len(sv.idle.timers)
}

// ReceivingRequest reports whether the beginning of a request has been received on any kept-alive
// connection.
func (sv *Server) ReceivingRequest() bool {
	sv.idle.mu.Lock()
	defer sv.idle.mu.Unlock()
	for co := range sv.idle.timers {
		if co.received.Load() {
			return true
		}
	}
	return false
}
