package sibling

import (
	"encoding/binary"
	"math"
	"net"
	"slices"

	"skylarkstand/core/balance"
	"skylarkstand/core/ratelimit"
)

// A rate-limits datagram consists of a format byte and the notices, each with the upstream's
// hash, its start, and the limit in thousandths of a request a second, or noLimit for one that has
// ended.
const (
	rateLimitsFormat = 0x86
	rateLimitSize    = 8 + 2 + 4
	noLimit          = math.MaxUint32
	// maxRateLimits keeps a datagram below the usual packet size.
	maxRateLimits = 100
)

// sendRateLimits announces rate limits to the entries of all regions, which share them.
func (gs *Gossiper) sendRateLimits(pc net.PacketConn) {
	notices := gs.ld.TakeRateLimits()
	for part := range slices.Chunk(notices, maxRateLimits) {
		sendDatagrams(pc, gs.allAddrs(), encodeRateLimits(part))
	}
}

func encodeRateLimits(notices []ratelimit.Notice) []byte {
	data := make([]byte, 0, 1+len(notices)*rateLimitSize)
	data = append(data, rateLimitsFormat)
	for _, no := range notices {
		data = binary.BigEndian.AppendUint64(data, no.Upstream)
		data = binary.BigEndian.AppendUint16(data, no.Start)
		limit := uint32(noLimit)
		if no.Limit != nil {
			limit = ratelimit.Thousandths(*no.Limit)
		}
		data = binary.BigEndian.AppendUint32(data, limit)
	}
	return data
}

// decodeRateLimits decodes a rate-limits datagram. It returns false for any other datagram.
func decodeRateLimits(data []byte) ([]ratelimit.Notice, bool) {
	if len(data) == 0 || data[0] != rateLimitsFormat || (len(data)-1)%rateLimitSize != 0 {
		return nil, false
	}
	var out []ratelimit.Notice
	for row := data[1:]; len(row) > 0; row = row[rateLimitSize:] {
		no := ratelimit.Notice{Incarnation: balance.Incarnation{Upstream: binary.BigEndian.Uint64(row), Start: binary.BigEndian.Uint16(row[8:])}}
		if limit := binary.BigEndian.Uint32(row[10:]); limit != noLimit {
			rate := ratelimit.FromThousandths(limit)
			no.Limit = &rate
		}
		out = append(out, no)
	}
	return out, true
}
