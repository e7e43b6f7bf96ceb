package answers

import (
	"bufio"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// resetDelay lets the bytes before a reset arrive: it discards those that were not read yet.
const resetDelay = 5 * time.Millisecond

// Play draws answers with fixed seeds and calls do with each, and with the address of a peer that gives it to all
// requests.
func Play(t testing.TB, draws int, co Content, do func(addr string, an Answer)) {
	t.Helper()
	var current atomic.Pointer[Answer]
	addr := Serve(t, func(*http.Request) Answer { return *current.Load() })
	for seed := range uint64(draws) {
		an := Draw(rand.New(rand.NewPCG(seed, 0)), co)
		current.Store(&an)
		do(addr, an)
	}
}

// Serve gives each request the answer that answer returns for it, once it has been read. It returns the address of the
// peer, which goes on accepting connections until the end of the test.
func Serve(t testing.TB, answer func(rq *http.Request) Answer) string {
	t.Helper()
	li, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { li.Close() })
	go func() {
		for {
			nc, err := li.Accept()
			if err != nil {
				return
			}
			go give(nc.(*net.TCPConn), answer)
		}
	}()
	return li.Addr().String()
}

func give(tc *net.TCPConn, answer func(rq *http.Request) Answer) {
	defer tc.Close()
	br := bufio.NewReader(tc)
	for {
		rq, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, rq.Body); err != nil {
			return
		}
		an := answer(rq)
		_, _ = io.WriteString(tc, an.Text)
		switch an.End {
		case Closed:
			return
		case Reset:
			time.Sleep(resetDelay)
			_ = tc.SetLinger(0)
			return
		case Kept:
		}
	}
}
