package cut

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// EarlyEnd is how a connection ends whose request has not been read to its end.
type EarlyEnd int

// The early ends.
const (
	// EarlyReset: by a reset, once the answer has arrived.
	EarlyReset EarlyEnd = iota
	// EarlyUnread: it is closed with unread data, for which the kernel resets it.
	EarlyUnread
	// EarlyEndThenReset: the peer's side ends in order, and a reset follows.
	EarlyEndThenReset
	// EarlyEndOnly: the peer's side ends in order, and nothing is read any more.
	EarlyEndOnly
	// EarlyReadOn: the request is read to its end, and then the connection ends in order. The answer is whole.
	EarlyReadOn
)

// EarlyEnds are the ends that break an unframed answer.
var EarlyEnds = []EarlyEnd{EarlyReset, EarlyUnread, EarlyEndThenReset, EarlyEndOnly}

// String names an end, for the name of a test.
func (ee EarlyEnd) String() string {
	return [...]string{"reset", "closed unread", "ended and reset", "ended", "read on"}[ee]
}

// LongUpload is the size in bytes of a body that the buffers of a connection cannot hold.
const LongUpload = 12 << 20

// earlyBuffer is the size in bytes of the receive buffer of a peer that answers early.
const earlyBuffer = 64 << 10

// ServeEarly answers each request as soon as its head has arrived, and then ends the connection. It returns the address
// of the peer, which goes on accepting connections until the end of the test.
func ServeEarly(t testing.TB, end EarlyEnd, answer func(rq *http.Request) string) string {
	t.Helper()
	li, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	done := make(chan struct{})
	t.Cleanup(func() {
		close(done)
		li.Close()
	})
	go func() {
		for {
			nc, err := li.Accept()
			if err != nil {
				return
			}
			go answerEarly(nc.(*net.TCPConn), end, answer, done)
		}
	}()
	return li.Addr().String()
}

func answerEarly(tc *net.TCPConn, end EarlyEnd, answer func(rq *http.Request) string, done <-chan struct{}) {
	defer tc.Close()
	_ = tc.SetReadBuffer(earlyBuffer)
	rq, err := http.ReadRequest(bufio.NewReader(tc))
	if err != nil {
		return
	}
	_, _ = io.WriteString(tc, answer(rq))
	if end == EarlyReadOn {
		_, _ = io.Copy(io.Discard, rq.Body)
	}
	if end == EarlyEndThenReset || end == EarlyEndOnly {
		_ = tc.CloseWrite()
	}
	switch end {
	case EarlyReset, EarlyEndThenReset:
		time.Sleep(resetDelay)
		_ = tc.SetLinger(0)
	case EarlyEndOnly:
		<-done
	}
}
