package upstream

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

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
