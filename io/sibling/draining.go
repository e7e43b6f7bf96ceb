package sibling

import (
	"encoding/binary"
	"net"
	"slices"

	"skylarkstand/core/balance"
)

// A draining datagram consists of a format byte and the draining upstreams, each with its hash and
// its start.
const (
	drainingFormat = 0x87
	drainingSize   = 8 + 2
	// maxDraining keeps a datagram below the usual packet size.
	maxDraining = 140
	// drainingRounds is the number of rounds in which a draining upstream is announced, since
	// datagrams may be lost.
	drainingRounds = 3
)

// sendDraining announces draining upstreams to the entries of all regions.
func (gs *Gossiper) sendDraining(pc net.PacketConn) {
	for part := range slices.Chunk(gs.draining.next(gs.ld.TakeDraining()), maxDraining) {
		sendDatagrams(pc, gs.allAddrs(), encodeDraining(part))
	}
}

// allAddrs returns the addresses of the other entries of all regions.
func (gs *Gossiper) allAddrs() []string {
	addrs := slices.Clone(gs.addrs())
	for _, remote := range gs.remote() {
		addrs = append(addrs, remote...)
	}
	return addrs
}

func encodeDraining(ups []balance.Incarnation) []byte {
	data := make([]byte, 0, 1+len(ups)*drainingSize)
	data = append(data, drainingFormat)
	for _, in := range ups {
		data = binary.BigEndian.AppendUint64(data, in.Upstream)
		data = binary.BigEndian.AppendUint16(data, in.Start)
	}
	return data
}

// decodeDraining decodes a draining datagram. It returns false for any other datagram.
func decodeDraining(data []byte) ([]balance.Incarnation, bool) {
	if len(data) == 0 || data[0] != drainingFormat || (len(data)-1)%drainingSize != 0 {
		return nil, false
	}
	var out []balance.Incarnation
	for row := data[1:]; len(row) > 0; row = row[drainingSize:] {
		out = append(out, balance.Incarnation{Upstream: binary.BigEndian.Uint64(row), Start: binary.BigEndian.Uint16(row[8:])})
	}
	return out, true
}
