package upstream

import (
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"skylarkstand/test/cut"
)

// Guards against a part of an answer that is taken for whole: the upstream ended its side in order and then reset the
// connection, which no read reports any more.
func TestResetAfterTheEndOfAnUnframedAnswer(t *testing.T) {
	for _, sc := range []struct {
		end   cut.EarlyEnd
		reset bool
	}{{cut.EarlyEndThenReset, true}, {cut.EarlyEndOnly, false}} {
		t.Run(sc.end.String(), func(t *testing.T) {
			addr := cut.ServeEarly(t, sc.end, func(*http.Request) string { return "HTTP/1.1 200 OK\r\n\r\ndo" })
			cl, cleanup := New()
			defer cleanup()
			rs, err := cl.Do(t.Context(), addr, &Request{Method: http.MethodGet, Target: "/", Host: "a", Header: http.Header{}})
			assert.NilError(t, err)
			defer rs.Body.Close()
			nc := rs.Body.(*body).co.Conn
			for state := connectionState(t, nc); state != unix.BPF_TCP_CLOSE && (sc.reset || state != unix.BPF_TCP_CLOSE_WAIT); state = connectionState(t, nc) {
				time.Sleep(time.Millisecond)
			}
			_, err = io.ReadAll(rs.Body)
			if sc.reset {
				assert.ErrorIs(t, err, ErrBrokenOff)
			} else {
				assert.NilError(t, err)
			}
		})
	}
}

// connectionState returns the state of a connection, one of unix.BPF_TCP_*.
func connectionState(t *testing.T, nc net.Conn) uint8 {
	t.Helper()
	rc, err := nc.(syscall.Conn).SyscallConn()
	assert.NilError(t, err)
	var info *unix.TCPInfo
	var opt error
	assert.NilError(t, rc.Control(func(fd uintptr) { info, opt = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }))
	assert.NilError(t, opt)
	return info.State
}
