package upstream

import (
	"context"
	"slices"
	"time"
)

// pool holds the idle connections to one address and counts the open ones, in use or idle.
type pool struct {
	idle []*conn
	open int
}

// takeIdle removes the most recently used idle connection that has not carried the id; nil if there is none.
func (po *pool) takeIdle(id string) *conn {
	if po == nil {
		return nil
	}
	for i := len(po.idle) - 1; i >= 0; i-- {
		if co := po.idle[i]; !co.carried.contains(id) {
			po.idle = slices.Delete(po.idle, i, i+1)
			return co
		}
	}
	return nil
}

// acquire returns an idle connection that is still usable, or a new one.
func (cl *Client) acquire(ctx context.Context, addr string, rq *Request) (*conn, error) {
	if co := cl.acquireIdle(addr, rq.ID); co != nil {
		return co, nil
	}
	if !cl.reserve(addr, rq.MaxConnections) {
		return nil, &Error{Err: ErrConnectionLimit}
	}
	nc, err := cl.dial(ctx, addr)
	if err != nil {
		cl.release(addr)
		return nil, &Error{DialFailed: true, Err: err}
	}
	co := newConn(nc, addr)
	co.single = cl.single
	return co, nil
}

// acquireIdle returns the most recently used idle connection that has not carried the id. A connection
// that was closed, or that has unread data without a request, is dropped.
func (cl *Client) acquireIdle(addr, id string) *conn {
	for {
		cl.mu.Lock()
		co := cl.pools[addr].takeIdle(id)
		cl.mu.Unlock()
		if co == nil {
			return nil
		}
		if cl.now().Before(co.idleUntil) && co.usable() {
			return co
		}
		cl.drop(co)
	}
}

func (cl *Client) reserve(addr string, limit int) bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	po := cl.pools[addr]
	if po == nil {
		po = new(pool)
		cl.pools[addr] = po
	}
	if limit > 0 && po.open >= limit {
		return false
	}
	po.open++
	return true
}

func (cl *Client) release(addr string) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	po := cl.pools[addr]
	po.open--
	if po.open == 0 {
		delete(cl.pools, addr)
	}
}

func (cl *Client) drop(co *conn) {
	co.Close()
	cl.release(co.addr)
}

// abandon closes a connection on which a request may still run.
func (cl *Client) abandon(co *conn) { co.abandon(func() { cl.release(co.addr) }) }

// put keeps a connection for the next request, unless enough are idle already.
func (cl *Client) put(co *conn, idle time.Duration) {
	co.idleUntil = cl.now().Add(idle)
	cl.mu.Lock()
	po := cl.pools[co.addr]
	if len(po.idle) < maxIdle {
		po.idle = append(po.idle, co)
		cl.mu.Unlock()
		return
	}
	cl.mu.Unlock()
	cl.drop(co)
}

// CloseIdle closes the idle connections to an address whose upstream was removed.
func (cl *Client) CloseIdle(addr string) {
	cl.mu.Lock()
	var idle []*conn
	if po := cl.pools[addr]; po != nil {
		idle, po.idle = po.idle, nil
	}
	cl.mu.Unlock()
	for _, co := range idle {
		cl.drop(co)
	}
}

func (cl *Client) closeIdle() {
	cl.mu.Lock()
	addrs := make([]string, 0, len(cl.pools))
	for addr := range cl.pools {
		addrs = append(addrs, addr)
	}
	cl.mu.Unlock()
	for _, addr := range addrs {
		cl.CloseIdle(addr)
	}
}
