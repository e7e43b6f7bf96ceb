package fleet

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// Relay passes TCP connections on to an address, until it is told to cut or to
// hold them.
type Relay struct {
	Addr   string
	li     net.Listener
	target string

	passed atomic.Int64

	mu    sync.Mutex
	free  *sync.Cond
	held  bool
	cut   bool
	conns map[net.Conn]bool
}

// NewRelay returns a relay to an address and its clean-up.
func NewRelay(target string) (*Relay, func(), error) {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, eris.Wrap(err, "relay")
	}
	re := &Relay{Addr: li.Addr().String(), li: li, target: target, conns: map[net.Conn]bool{}}
	re.free = sync.NewCond(&re.mu)
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
		go re.pass(in)
	}
}

func (re *Relay) pass(in net.Conn) {
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
	go re.copy(in, out)
	re.copy(out, in)
}

func (re *Relay) copy(to, from net.Conn) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		re.mu.Lock()
		for re.held {
			re.free.Wait()
		}
		re.mu.Unlock()
		if n > 0 {
			re.passed.Add(int64(n))
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
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

// Passed returns the bytes that were passed on, in both directions.
func (re *Relay) Passed() int64 { return re.passed.Load() }

// Cut breaks all connections and refuses new ones until Restore.
func (re *Relay) Cut() {
	re.mu.Lock()
	defer re.mu.Unlock()
	re.cut, re.held = true, false
	re.free.Broadcast()
	for conn := range re.conns {
		conn.Close()
	}
}

// Hold lets nothing through, without closing a connection, until Restore: the
// path is gone and nobody says so.
func (re *Relay) Hold() {
	re.mu.Lock()
	defer re.mu.Unlock()
	re.held = true
}

// Restore passes everything on again.
func (re *Relay) Restore() {
	re.mu.Lock()
	defer re.mu.Unlock()
	re.cut, re.held = false, false
	re.free.Broadcast()
}
