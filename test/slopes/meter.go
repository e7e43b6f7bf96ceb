package main

import (
	"encoding/binary"
	"net"
	"sync/atomic"
)

// meter counts the bytes, frames and connections of a listener.
type meter struct {
	received, sent atomic.Int64
	// data and probes count yamux frames of both directions: frames that carry messages, and
	// keep-alives.
	data, probes atomic.Int64
	conns        atomic.Int64
}

// traffic is a snapshot of a meter, or the difference of two.
type traffic struct{ received, sent, data, probes float64 }

func (mt *meter) read() traffic {
	return traffic{float64(mt.received.Load()), float64(mt.sent.Load()), float64(mt.data.Load()), float64(mt.probes.Load())}
}

// since returns the traffic after an earlier snapshot.
func (tr traffic) since(old traffic) traffic {
	return traffic{tr.received - old.received, tr.sent - old.sent, tr.data - old.data, tr.probes - old.probes}
}

func (tr traffic) bytes() float64 { return tr.received + tr.sent }

// meteredListener counts the traffic of the connections it accepts.
type meteredListener struct {
	net.Listener
	mt *meter
}

func (ml meteredListener) Accept() (net.Conn, error) {
	co, err := ml.Listener.Accept()
	if err != nil {
		return nil, err
	}
	ml.mt.conns.Add(1)
	return &meteredConn{Conn: co, mt: ml.mt, in: frameScanner{mt: ml.mt}, out: frameScanner{mt: ml.mt}}, nil
}

// meteredConn counts the traffic of one connection. Its scanners need no lock, since yamux reads from
// a single goroutine and writes from a single goroutine.
type meteredConn struct {
	net.Conn
	mt      *meter
	in, out frameScanner
}

func (mc *meteredConn) Read(buf []byte) (int, error) {
	n, err := mc.Conn.Read(buf)
	mc.mt.received.Add(int64(n))
	mc.in.scan(buf[:n])
	return n, err
}

func (mc *meteredConn) Write(buf []byte) (int, error) {
	n, err := mc.Conn.Write(buf)
	mc.mt.sent.Add(int64(n))
	mc.out.scan(buf[:n])
	return n, err
}

// frameScanner parses the yamux frames of one direction: a header of 12 bytes with the type in the
// second byte and the length in the last four, followed in data frames by that many bytes.
type frameScanner struct {
	mt   *meter
	head [yamuxHeader]byte
	have int // bytes of the current header
	skip int // remaining bytes of the current payload
}

const (
	yamuxHeader = 12
	yamuxData   = 0
	yamuxPing   = 2
)

func (sc *frameScanner) scan(buf []byte) {
	for len(buf) > 0 {
		if sc.skip > 0 {
			n := min(sc.skip, len(buf))
			sc.skip, buf = sc.skip-n, buf[n:]
			continue
		}
		n := copy(sc.head[sc.have:], buf)
		sc.have, buf = sc.have+n, buf[n:]
		if sc.have < yamuxHeader {
			return
		}
		sc.have = 0
		switch sc.head[1] {
		case yamuxData:
			if sc.skip = int(binary.BigEndian.Uint32(sc.head[8:])); sc.skip > 0 {
				sc.mt.data.Add(1)
			}
		case yamuxPing:
			sc.mt.probes.Add(1)
		}
	}
}
