package main

import (
	"encoding/binary"
	"net"
	"sync/atomic"
)

// meter counts what passes over the connections of a listener.
type meter struct {
	received, sent atomic.Int64
	// data and probes count yamux frames of both directions: those that carry
	// messages, and the keep-alives.
	data, probes atomic.Int64
	conns        atomic.Int64
}

// traffic is a reading of a meter.
type traffic struct{ received, sent, data, probes float64 }

func (mt *meter) read() traffic {
	return traffic{float64(mt.received.Load()), float64(mt.sent.Load()), float64(mt.data.Load()), float64(mt.probes.Load())}
}

// since subtracts an earlier reading.
func (tr traffic) since(old traffic) traffic {
	return traffic{tr.received - old.received, tr.sent - old.sent, tr.data - old.data, tr.probes - old.probes}
}

func (tr traffic) bytes() float64 { return tr.received + tr.sent }

// meteredListener wraps accepted connections.
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
	return &meteredConn{Conn: co, mt: ml.mt, in: scanner{mt: ml.mt}, out: scanner{mt: ml.mt}}, nil
}

// meteredConn is used by yamux, which reads from one goroutine and writes from
// one.
type meteredConn struct {
	net.Conn
	mt      *meter
	in, out scanner
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

// scanner follows the yamux frames of one direction: a header of 12 bytes
// with the type in the second and the length in the last four, and for frames
// of data that many bytes.
type scanner struct {
	mt   *meter
	head [yamuxHeader]byte
	have int
	skip int
}

const (
	yamuxHeader = 12
	yamuxData   = 0
	yamuxPing   = 2
)

func (sc *scanner) scan(buf []byte) {
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
