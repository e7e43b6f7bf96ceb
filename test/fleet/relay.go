package fleet

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// Relay forwards TCP connections to an address. Cut closes them; Stall and StallTo stop forwarding
// without closing them; Reset resets them; DelayClose holds back that one side has closed.
type Relay struct {
	Addr   string
	li     net.Listener
	target string

	forwarded atomic.Int64

	mu      sync.Mutex
	resumed *sync.Cond
	stalled [2]bool // by direction
	cut     bool
	// closeDelay is how long the end of a connection is held back.
	closeDelay time.Duration
	// resetsLost makes a reset of one side never reach the other.
	resetsLost bool
	conns      map[net.Conn]bool
}

// NewRelay returns a relay to an address, and its cleanup function.
func NewRelay(target string) (*Relay, func(), error) {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, eris.Wrap(err, "the listener of the relay could not be opened")
	}
	re := &Relay{Addr: li.Addr().String(), li: li, target: target, conns: map[net.Conn]bool{}}
	re.resumed = sync.NewCond(&re.mu)
	go re.serve()
	return re, func() {
		li.Close()
		re.Cut()
	}, nil
}

func (re *Relay) serve() {
	for {
		in, err := re.li.Accept()
		if err != nil {
			return
		}
		go re.forward(in)
	}
}

func (re *Relay) forward(in net.Conn) {
	re.mu.Lock()
	cut := re.cut
	re.mu.Unlock()
	out, err := net.Dial("tcp", re.target)
	if err != nil || cut {
		in.Close()
		if out != nil {
			out.Close()
		}
		return
	}
	re.mu.Lock()
	re.conns[in], re.conns[out] = true, true
	re.mu.Unlock()
	go re.copy(in, out, ToCaller)
	re.copy(out, in, ToTarget)
}

// Direction is a direction of a relay's connections.
type Direction int

// The directions.
const (
	ToTarget Direction = iota
	ToCaller
)

func (re *Relay) copy(to, from net.Conn, di Direction) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		re.mu.Lock()
		for re.stalled[di] {
			re.resumed.Wait()
		}
		delay, lost := re.closeDelay, re.resetsLost && errors.Is(err, syscall.ECONNRESET)
		re.mu.Unlock()
		if lost {
			return // The other side is closed with the relay.
		}
		if n > 0 {
			re.forwarded.Add(int64(n))
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			time.Sleep(delay)
			break
		}
	}
	re.mu.Lock()
	defer re.mu.Unlock()
	for _, conn := range []net.Conn{to, from} {
		conn.Close()
		delete(re.conns, conn)
	}
}

// BytesForwarded returns the number of bytes forwarded, in both directions together.
func (re *Relay) BytesForwarded() int64 { return re.forwarded.Load() }

// Cut closes all connections, and new ones at once, until Restore.
func (re *Relay) Cut() {
	re.mu.Lock()
	defer re.mu.Unlock()
	re.cut, re.stalled = true, [2]bool{}
	re.resumed.Broadcast()
	for conn := range re.conns {
		conn.Close()
	}
}

// Stall stalls all connections without closing them until Restore, like a network path
// that silently drops packets.
func (re *Relay) Stall() {
	re.mu.Lock()
	defer re.mu.Unlock()
	re.stalled = [2]bool{true, true}
}

// StallTo stalls one direction of all connections until Restore, as a path that is cut one way.
func (re *Relay) StallTo(di Direction) {
	re.mu.Lock()
	defer re.mu.Unlock()
	re.stalled[di] = true
}

// DelayClose holds back the end of connections until Restore.
func (re *Relay) DelayClose(du time.Duration) {
	re.mu.Lock()
	defer re.mu.Unlock()
	re.closeDelay = du
}

// LoseResets makes the resets of connections never arrive, until Restore: unlike the end of a connection, a
// reset is sent once and not repeated if its packet is lost.
func (re *Relay) LoseResets() {
	re.mu.Lock()
	defer re.mu.Unlock()
	re.resetsLost = true
}

// Reset resets all connections that are open now.
func (re *Relay) Reset() {
	re.mu.Lock()
	defer re.mu.Unlock()
	for conn := range re.conns {
		if tc, ok := conn.(*net.TCPConn); ok {
			_ = tc.SetLinger(0)
		}
		conn.Close()
	}
}

// Restore ends Cut, Stall, StallTo, DelayClose and LoseResets: the relay forwards again.
func (re *Relay) Restore() {
	re.mu.Lock()
	defer re.mu.Unlock()
	re.cut, re.stalled, re.closeDelay, re.resetsLost = false, [2]bool{}, 0, false
	re.resumed.Broadcast()
}
