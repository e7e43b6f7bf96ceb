package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"skylarkstand/io/limited"
)

// conn is one connection to an upstream. It carries one request at a time.
type conn struct {
	net.Conn
	addr string
	// br reads the connection through head, which limits what may arrive while a header is read.
	br        *bufio.Reader
	head      *headLimit
	idleUntil time.Time
	// written is closed once a body that is written asynchronously is complete; it is nil if
	// the body was written before the response was awaited. writeFailed is set before written
	// is closed.
	written     chan struct{}
	writeFailed bool
	// used is set once the connection has carried a request.
	used bool
}

// newConn returns the connection to an address.
func newConn(nc net.Conn, addr string) *conn {
	hl := &headLimit{rd: nc, left: maxHeader}
	return &conn{Conn: nc, addr: addr, head: hl, br: bufio.NewReaderSize(hl, readBufferSize)}
}

const (
	// maxHeader bounds one header, in bytes.
	maxHeader = limited.MaxHeader
	// maxInterim is how many interim responses are skipped before a connection is closed.
	maxInterim = 8
	// maxSkippedBody bounds the body of a response to another request, in bytes.
	maxSkippedBody = 1 << 20
)

// ErrLongHeader is the cause if the header of a response does not end within its limit.
var ErrLongHeader = errors.New("the header of the response is too long")

// headLimit fails once more than left bytes have been read; a negative left is no limit. It is set for
// each header: http.ReadResponse keeps all of one, however long.
type headLimit struct {
	rd   io.Reader
	left int
}

const noLimit = -1

// Read implements io.Reader.
func (hl *headLimit) Read(p []byte) (int, error) {
	if hl.left == 0 {
		return 0, ErrLongHeader
	}
	if hl.left > 0 {
		p = p[:min(len(p), hl.left)]
	}
	n, err := hl.rd.Read(p)
	if hl.left > 0 {
		hl.left -= n
	}
	return n, err
}

const (
	// Keep-alive probes detect a peer that lost power or its network while a request is in
	// flight: one probe per second, and two without a reply end the connection.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
	// unackedTimeout ends a connection whose bytes are not acknowledged. Between regions it
	// tolerates two lost packets.
	unackedTimeout = 2500 * time.Millisecond
)

func dial(ctx context.Context, addr string) (net.Conn, error) {
	di := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
		Control: func(_, _ string, rc syscall.RawConn) error {
			var opt error
			err := rc.Control(func(fd uintptr) {
				opt = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			})
			return errors.Join(err, opt)
		},
	}
	return di.DialContext(ctx, "tcp", addr)
}

// past is a deadline that has already expired.
var past = time.Unix(1, 0)

// interrupt makes pending reads and writes fail.
func (co *conn) interrupt() { _ = co.SetDeadline(past) }

// reset closes the connection at once and discards what the kernel has not delivered yet.
func (co *conn) reset() {
	if tc, ok := co.Conn.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
	co.Close()
}

// abandon closes a connection on which a request may still run, and calls closed once that is done.
//
// The end of a connection is repeated until it is acknowledged, and a reset is not: an upstream that misses it
// learns nothing until it sends something. But the kernel would also deliver what it has not delivered yet, as
// a canceled request when a cut link is back. So the end is sent if all was delivered, and a reset otherwise.
func (co *conn) abandon(closed func()) {
	tc, ok := co.Conn.(*net.TCPConn)
	if !ok || !delivered(tc) || tc.CloseWrite() != nil {
		co.reset()
		closed()
		return
	}
	go func() {
		awaitEndAcked(tc)
		co.reset()
		closed()
	}()
}

// delivered reports whether the other side has acknowledged all that was sent.
func delivered(tc *net.TCPConn) bool {
	unacked := -1
	if rc, err := tc.SyscallConn(); err == nil {
		_ = rc.Control(func(fd uintptr) {
			if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
				unacked = n
			}
		})
	}
	return unacked == 0
}

// awaitEndAcked waits until the other side has acknowledged the end of the connection.
func awaitEndAcked(tc *net.TCPConn) {
	const first, longest = time.Millisecond, 200 * time.Millisecond
	rc, err := tc.SyscallConn()
	if err != nil {
		return
	}
	until := time.Now().Add(unackedTimeout)
	for wait := first; time.Now().Before(until); wait = min(2*wait, longest) {
		pending := false
		err := rc.Control(func(fd uintptr) {
			info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
			pending = err == nil && info.State == unix.BPF_TCP_FIN_WAIT1
		})
		if err != nil || !pending {
			return
		}
		time.Sleep(wait)
	}
}

// usable reports whether an idle connection is open and has no unread data. Data that arrives
// without a request belongs to none, and would be taken for the response to the next one.
func (co *conn) usable() bool { return co.br.Buffered() == 0 && IsIdle(co.Conn) }

// IsIdle reports whether a connection is open and the kernel holds no unread data of it. A
// connection that does not expose its file descriptor counts as idle.
func IsIdle(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = rc.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = errors.Is(err, unix.EAGAIN)
	})
	return err == nil && idle
}

// reusable reports whether the connection can carry another request.
func (co *conn) reusable() bool {
	if co.written != nil {
		select {
		case <-co.written:
		default:
			return false // The upstream responded before it had read the body.
		}
	}
	return !co.writeFailed && co.br.Buffered() == 0
}

// exchange sends a request and reads the header of its response.
func (co *conn) exchange(rq *Request) (*Response, *Error) {
	data := rq.head()
	inline := rq.Body
	if len(inline) > maxInlineBody {
		inline = nil
	}
	data = append(data, inline...)
	if n, err := co.Write(data); err != nil && n == 0 {
		return nil, &Error{Err: err}
	}
	co.written, co.writeFailed = nil, false
	if len(inline) < len(rq.Body) {
		co.writeAsync(rq.Body)
	}
	kept := co.used
	co.used = true
	rs, err := co.read(rq)
	if err != nil {
		return nil, &Error{Sent: true, Err: err}
	}
	rs.KeptConnection = kept
	return rs, nil
}

// writeAsync writes a long body while the response is awaited: an upstream may refuse early and
// stop reading, which would block a writer that does not read the response.
func (co *conn) writeAsync(data []byte) {
	done := make(chan struct{})
	co.written = done
	go func() {
		defer close(done)
		if _, err := co.Write(data); err != nil {
			co.writeFailed = true
		}
	}()
}

// read returns the response to a request and skips those to other requests.
func (co *conn) read(rq *Request) (*Response, error) {
	foreign, interim := 0, 0
	for {
		co.head.left = maxHeader
		rs, err := http.ReadResponse(co.br, &http.Request{Method: rq.Method}) //nolint:bodyclose // The caller closes it.
		co.head.left = noLimit
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		if rs.StatusCode < http.StatusOK {
			interim++
			if interim > maxInterim {
				return nil, ErrForeignResponse
			}
			continue // The final response follows.
		}
		if rq.IsResponse != nil && !rq.IsResponse(rs.Header) {
			foreign++
			if foreign > maxForeign || endsWithConnection(rs) {
				return nil, ErrForeignResponse
			}
			n, err := io.Copy(io.Discard, io.LimitReader(rs.Body, maxSkippedBody+1))
			if err != nil {
				return nil, err
			}
			if n > maxSkippedBody {
				return nil, ErrForeignResponse
			}
			continue
		}
		// A connection that delivered responses to other requests may deliver more.
		return &Response{
			Status: rs.StatusCode, Header: rs.Header, Body: rs.Body, ClosesConnection: rs.Close || foreign > 0, Skipped: foreign,
			EndsWithConnection: endsWithConnection(rs),
		}, nil
	}
}

// endsWithConnection reports whether a response has neither a length nor chunks.
func endsWithConnection(rs *http.Response) bool {
	return rs.ContentLength < 0 && len(rs.TransferEncoding) == 0 && rs.Body != http.NoBody
}

// head encodes the request line and the headers.
func (rq *Request) head() []byte {
	var bu bytes.Buffer
	bu.Grow(1024 + min(len(rq.Body), maxInlineBody))
	bu.WriteString(rq.Method + " " + rq.Target + " HTTP/1.1\r\nHost: " + rq.Host + "\r\n")
	// Writing to a buffer cannot fail.
	_ = rq.Header.Write(&bu)
	if len(rq.Body) > 0 || rq.Method == http.MethodPost || rq.Method == http.MethodPut || rq.Method == http.MethodPatch {
		bu.WriteString("Content-Length: " + strconv.Itoa(len(rq.Body)) + "\r\n")
	}
	bu.WriteString("\r\n")
	return bu.Bytes()
}
