package swarm

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"skylarkstand/io/sibling"
)

const (
	// zoneDelay and regionDelay are the times of one way between entries.
	zoneDelay   = 1500 * time.Microsecond
	regionDelay = 30 * time.Millisecond
	// linkRate is the bandwidth of an entry's link in bytes a second.
	linkRate = 20_000_000 / 8
	// requestTime is the processor time of a request at an entry with a share of 0.144 of a core.
	requestTime = 1500 * time.Microsecond
)

var errRefused = errors.New("connection refused")

// network connects the entries.
type network struct {
	mu       sync.Mutex
	conns    map[string]*conn
	handlers map[string]http.Handler
	// processors has a token for each address; a request holds it for its processor time.
	processors map[string]chan struct{}
	sent       map[string]int
	usage      Usage
}

func newNetwork() *network {
	return &network{conns: map[string]*conn{}, handlers: map[string]http.Handler{}, processors: map[string]chan struct{}{}, sent: map[string]int{}}
}

func isFar(addr string) bool {
	_, rest, _ := strings.Cut(addr, ".")
	return (rest[0]-'0')%2 == 1 // The zones of the two regions alternate.
}

func delay(from, to string) time.Duration {
	if isFar(from) != isFar(to) {
		return regionDelay
	}
	return zoneDelay
}

func (nw *network) serve(addr string, ha http.Handler) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	nw.handlers[addr] = ha
	if nw.processors[addr] == nil {
		nw.processors[addr] = make(chan struct{}, 1)
	}
}

// remove ends what runs at an address.
func (nw *network) remove(addr string) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	delete(nw.handlers, addr)
	if co := nw.conns[addr]; co != nil {
		delete(nw.conns, addr)
		close(co.closed)
	}
}

func (nw *network) takeUsage() Usage {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	us := nw.usage
	for _, n := range nw.sent {
		us.Bytes += n
		us.MostBytes = max(us.MostBytes, n)
	}
	nw.usage = Usage{}
	clear(nw.sent)
	return us
}

// transport returns the transport of one entry.
func (nw *network) transport(from string) sibling.Transport {
	return func(ctx context.Context, to, target string) (sibling.Response, error) {
		nw.mu.Lock()
		nw.usage.Requests++
		ha, processor := nw.handlers[to], nw.processors[to]
		nw.mu.Unlock()
		if !sleep(ctx, delay(from, to)) {
			return sibling.Response{}, ctx.Err()
		}
		if ha == nil {
			return sibling.Response{}, errRefused
		}
		got := make(chan sibling.Response, 1)
		go func() {
			processor <- struct{}{}
			time.Sleep(requestTime)
			<-processor
			rw := &responseWriter{nw: nw, addr: to, ResponseRecorder: httptest.NewRecorder()}
			ha.ServeHTTP(rw, httptest.NewRequestWithContext(ctx, http.MethodGet, target, nil))
			got <- sibling.Response{Status: rw.Code, Header: rw.Header(), Body: bytes.Clone(rw.Body.Bytes())}
		}()
		select {
		case <-ctx.Done():
			return sibling.Response{}, ctx.Err()
		case rs := <-got:
			return rs, nil
		}
	}
}

func sleep(ctx context.Context, du time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(du):
		return true
	}
}

// responseWriter is a response that takes the time of its host's link.
type responseWriter struct {
	*httptest.ResponseRecorder
	nw   *network
	addr string
}

func (rw *responseWriter) Write(data []byte) (int, error) {
	rw.nw.mu.Lock()
	rw.nw.sent[rw.addr] += len(data)
	rw.nw.mu.Unlock()
	time.Sleep(time.Duration(len(data)) * time.Second / linkRate)
	return rw.ResponseRecorder.Write(data)
}

// listen opens the socket of an entry for datagrams.
func (nw *network) listen(addr string) net.PacketConn {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	co := &conn{nw: nw, addr: addr, in: make(chan datagram, 4096), closed: make(chan struct{})}
	nw.conns[addr] = co
	return co
}

type datagram struct {
	from string
	data []byte
}

// conn is a socket for datagrams. It implements net.PacketConn.
type conn struct {
	net.PacketConn
	nw     *network
	addr   string
	in     chan datagram
	closed chan struct{}
}

func (co *conn) WriteTo(data []byte, to net.Addr) (int, error) {
	dg, addr := datagram{co.addr, bytes.Clone(data)}, to.String()
	co.nw.mu.Lock()
	co.nw.usage.Datagrams++
	co.nw.mu.Unlock()
	time.AfterFunc(delay(co.addr, addr), func() {
		co.nw.mu.Lock()
		peer := co.nw.conns[addr]
		co.nw.mu.Unlock()
		if peer == nil {
			return
		}
		select {
		case peer.in <- dg:
		default: // The receiver's buffer is full.
		}
	})
	return len(data), nil
}

func (co *conn) ReadFrom(buf []byte) (int, net.Addr, error) {
	select {
	case <-co.closed:
		return 0, nil, net.ErrClosed
	case dg := <-co.in:
		from, err := net.ResolveUDPAddr("udp", dg.from)
		return copy(buf, dg.data), from, err
	}
}

func (co *conn) Close() error { return nil }
