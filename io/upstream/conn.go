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
)

// conn is one connection. It carries one request at a time.
type conn struct {
	net.Conn
	addr  string
	br    *bufio.Reader
	until time.Time
	// written is closed when the body that is sent beside the reading is out;
	// nil when it was sent before. failed is set before that.
	written chan struct{}
	failed  bool
}

const (
	// Probes find a peer that lost power or was cut off while a request is at
	// it: one a second, and two without an answer end the connection.
	probeIdle  = time.Second
	probeEvery = time.Second
	probeCount = 2
	// unackedLimit ends a connection whose bytes are not acknowledged. Between
	// regions it leaves room for two lost packets.
	unackedLimit = 2500 * time.Millisecond
)

func dial(ctx context.Context, addr string) (net.Conn, error) {
	di := net.Dialer{
		Timeout:         dialLimit,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeEvery, Count: probeCount},
		Control: func(_, _ string, rc syscall.RawConn) error {
			var opt error
			err := rc.Control(func(fd uintptr) {
				opt = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedLimit.Milliseconds()))
			})
			return errors.Join(err, opt)
		},
	}
	return di.DialContext(ctx, "tcp", addr)
}

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// interrupt wakes whoever reads or writes.
func (co *conn) interrupt() { _ = co.SetDeadline(past) }

// quiet reports whether an idle connection is open and brings nothing. What
// arrives without a request belongs to none, and would be taken for the answer
// to the next.
func (co *conn) quiet() bool { return co.br.Buffered() == 0 && Quiet(co.Conn) }

// Quiet reports whether a connection is open and the kernel holds no bytes of
// it that were not read. One that cannot be asked counts as quiet.
func Quiet(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = rc.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
	})
	return err == nil && quiet
}

// clean reports whether the connection can carry another request.
func (co *conn) clean() bool {
	if co.written != nil {
		select {
		case <-co.written:
		default:
			return false // The upstream answered before it had read the body.
		}
	}
	return !co.failed && co.br.Buffered() == 0
}

// exchange sends a request and reads the header of its answer.
func (co *conn) exchange(rq *Request) (*Response, *Error) {
	head := rq.head()
	inline := rq.Body
	if len(inline) > inlineBody {
		inline = nil
	}
	head = append(head, inline...)
	if n, err := co.Write(head); err != nil && n == 0 {
		return nil, &Error{Err: err}
	}
	co.written, co.failed = nil, false
	if len(inline) < len(rq.Body) {
		co.sendBeside(rq.Body)
	}
	rs, err := co.read(rq)
	if err != nil {
		return nil, &Error{Sent: true, Err: err}
	}
	return rs, nil
}

// sendBeside writes a long body while the answer is awaited: an upstream may
// refuse early and not read on, and would block a writer that does not listen.
func (co *conn) sendBeside(data []byte) {
	done := make(chan struct{})
	co.written = done
	go func() {
		defer close(done)
		if _, err := co.Write(data); err != nil {
			co.failed = true
		}
	}()
}

// read returns the answer to a request and passes over those to others.
func (co *conn) read(rq *Request) (*Response, error) {
	strays := 0
	for {
		rs, err := http.ReadResponse(co.br, &http.Request{Method: rq.Method}) //nolint:bodyclose // The caller closes it.
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		if rs.StatusCode < http.StatusOK {
			continue // An interim answer; the final one follows.
		}
		if rq.Mine != nil && !rq.Mine(rs.Header) {
			strays++
			if strays > maxStrays {
				return nil, ErrStray
			}
			_, err := io.Copy(io.Discard, rs.Body)
			rs.Body.Close()
			if err != nil {
				return nil, err
			}
			continue
		}
		// A connection that brought stray answers may bring more.
		return &Response{Status: rs.StatusCode, Header: rs.Header, Body: rs.Body, Closing: rs.Close || strays > 0}, nil
	}
}

// head renders the request line and the headers.
func (rq *Request) head() []byte {
	var bu bytes.Buffer
	bu.Grow(1024 + min(len(rq.Body), inlineBody))
	bu.WriteString(rq.Method + " " + rq.Target + " HTTP/1.1\r\nHost: " + rq.Host + "\r\n")
	// Writing to a buffer cannot fail.
	_ = rq.Header.Write(&bu)
	if len(rq.Body) > 0 || rq.Method == http.MethodPost || rq.Method == http.MethodPut || rq.Method == http.MethodPatch {
		bu.WriteString("Content-Length: " + strconv.Itoa(len(rq.Body)) + "\r\n")
	}
	bu.WriteString("\r\n")
	return bu.Bytes()
}
