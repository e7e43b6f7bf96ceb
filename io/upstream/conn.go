package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"skylarkstand/io/head"
)

// conn is one connection to an upstream. It carries one request at a time.
type conn struct {
	net.Conn
	addr string
	// br reads the connection through hr, which limits and keeps what arrives while a header is read.
	br        *bufio.Reader
	hr        *headReader
	idleUntil time.Time
	// written is closed once a body that is written asynchronously is complete; it is nil if
	// the body was written before the response was awaited. writeFailed is set before written
	// is closed.
	written     chan struct{}
	writeFailed bool
	// single is set if the connection carries one request only.
	single bool
	// used is set once the connection has carried a request, and carried are the ids of its requests.
	used    bool
	carried carriedIDs
}

// newConn returns the connection to an address.
func newConn(nc net.Conn, addr string) *conn {
	hr := &headReader{rd: nc}
	return &conn{Conn: nc, addr: addr, hr: hr, br: bufio.NewReaderSize(hr, readBufferSize)}
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
	return !co.writeFailed && co.br.Buffered() == 0 && len(co.carried) < maxCarried
}

// exchange sends a request and reads the header of its response.
func (co *conn) exchange(rq *Request) (*Response, *Error) {
	data := rq.head(co.single)
	inline := rq.Body
	if len(inline) > maxInlineBody {
		inline = nil
	}
	data = append(data, inline...)
	n, err := co.Write(data)
	if err != nil && n == 0 {
		return nil, &Error{Err: err}
	}
	co.written, co.writeFailed = nil, err != nil
	if err == nil && len(inline) < len(rq.Body) {
		co.writeAsync(rq.Body)
	}
	kept := co.used
	co.used = true
	co.carried.add(rq.ID)
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

// endWrite ends the write of a body that is still in progress, and reports whether the request was written to its end.
func (co *conn) endWrite() bool {
	if co.written != nil {
		_ = co.SetWriteDeadline(past)
		<-co.written
	}
	return !co.writeFailed
}

// wasReset reports whether the other side has reset the connection, also if a call has reported that before.
func (co *conn) wasReset() bool {
	sc, ok := co.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	reset := false
	err = rc.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		reset = err == nil && info.State == unix.BPF_TCP_CLOSE
	})
	return err == nil && reset
}

// read returns the response to a request and skips those to other requests.
func (co *conn) read(rq *Request) (*Response, error) {
	foreign, interim := 0, 0
	for {
		rs, err := co.readHeader(rq) //nolint:bodyclose // The caller closes it.
		if err != nil {
			return nil, err
		}
		if head.IsInterim(rs.StatusCode) {
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
			n, err := io.Copy(io.Discard, io.LimitReader(&checkedBody{rs.Body, rs, co}, maxSkippedBody+1))
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
			Status: rs.StatusCode, Header: rs.Header, Body: &checkedBody{rs.Body, rs, co}, ClosesConnection: rs.Close || foreign > 0, Skipped: foreign,
			EndsWithConnection: endsWithConnection(rs), parsed: rs,
		}, nil
	}
}

// readHeader reads the next response up to its body.
func (co *conn) readHeader(rq *Request) (*http.Response, error) {
	buffered, _ := co.br.Peek(co.br.Buffered()) // It reads nothing, so that it cannot fail.
	co.hr.begin(buffered)
	rs, err := http.ReadResponse(co.br, &http.Request{Method: rq.Method})
	raw := co.hr.end()
	switch {
	case err == nil:
		return rs, head.Check(rs, raw)
	case errors.Is(err, io.EOF):
		return nil, io.ErrUnexpectedEOF
	case co.hr.err == nil:
		return nil, fmt.Errorf("%w: %w", head.ErrMalformed, err)
	default:
		return nil, err
	}
}

// endsWithConnection reports whether a response has neither a length nor chunks.
func endsWithConnection(rs *http.Response) bool {
	return rs.ContentLength < 0 && len(rs.TransferEncoding) == 0 && rs.Body != http.NoBody
}

// head encodes the request line and the headers. It announces that a single request closes its connection.
func (rq *Request) head(single bool) []byte {
	var bu bytes.Buffer
	bu.Grow(1024 + min(len(rq.Body), maxInlineBody))
	bu.WriteString(rq.Method + " " + rq.Target + " HTTP/1.1\r\nHost: " + rq.Host + "\r\n")
	// Writing to a buffer cannot fail.
	_ = rq.Header.Write(&bu)
	if single {
		bu.WriteString("Connection: close\r\n")
	}
	if len(rq.Body) > 0 || rq.Method == http.MethodPost || rq.Method == http.MethodPut || rq.Method == http.MethodPatch {
		bu.WriteString("Content-Length: " + strconv.Itoa(len(rq.Body)) + "\r\n")
	}
	bu.WriteString("\r\n")
	return bu.Bytes()
}
