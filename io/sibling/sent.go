package sibling

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"net"
	"time"

	"skylarkstand/core/balance"
)

// A sent-calls datagram consists of a format byte, the hash of the sender's process, and the
// calls, each with the upstream's hash, the number of attempts, and the prefill time of
// their prompts in pendingUnit.
const (
	sentFormat   = 0x92
	sentHeadSize = 1 + 8
	// sentRate (per second) and sentBurst bound the datagrams sent outside gossip rounds:
	// at about 30 bytes each, 5 kB a second for any number of siblings and calls.
	sentRate  = 160
	sentBurst = 160
)

// sendSentCalls immediately reports calls sent to upstreams to as many siblings as the rate limit
// allows, in random order; the next gossip rounds carry them to the others. A limit that held for all
// siblings or none would end these reports at a certain number of siblings.
func (gs *Gossiper) sendSentCalls(pc net.PacketConn) {
	sent := gs.ld.TakeCalls()
	if len(sent) == 0 {
		return
	}
	sendDatagrams(pc, gs.takeAllowed(gs.addrs()), encodeSent(balance.Hash(gs.self), sent))
}

// takeAllowed takes tokens for as many of the addresses as the rate limit allows, and returns these in
// random order.
func (gs *Gossiper) takeAllowed(addrs []string) []string {
	now := time.Now()
	n := min(len(addrs), int(gs.limiter.TokensAt(now)))
	if n <= 0 || !gs.limiter.AllowN(now, n) {
		return nil
	}
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	return addrs[:n]
}

func encodeSent(self uint64, sent []balance.UpstreamLoad) []byte {
	sent = sent[:min(len(sent), maxUpstreamLoads)]
	data := make([]byte, 0, sentHeadSize+len(sent)*upstreamLoadSize)
	data = append(data, sentFormat)
	data = binary.BigEndian.AppendUint64(data, self)
	return appendLoads(data, sent)
}

// decodeSent decodes a sent-calls datagram. It returns false for any other datagram.
func decodeSent(data []byte) (from uint64, sent []balance.UpstreamLoad, ok bool) {
	if len(data) < sentHeadSize || data[0] != sentFormat || (len(data)-sentHeadSize)%upstreamLoadSize != 0 {
		return 0, nil, false
	}
	return binary.BigEndian.Uint64(data[1:]), decodeLoads(data[sentHeadSize:]), true
}

func appendLoads(data []byte, loads []balance.UpstreamLoad) []byte {
	for _, ul := range loads {
		data = binary.BigEndian.AppendUint64(data, ul.Upstream)
		data = binary.BigEndian.AppendUint16(data, uint16(min(ul.Own, maxUnits)))
		data = binary.BigEndian.AppendUint16(data, uint16(min(ul.Pending/pendingUnit, maxUnits)))
		data = append(data, byte(min(math.Round(ul.Slowdown/slowdownUnit), math.MaxUint8)))
	}
	return data
}

func decodeLoads(data []byte) []balance.UpstreamLoad {
	var out []balance.UpstreamLoad
	for row := data; len(row) > 0; row = row[upstreamLoadSize:] {
		out = append(out, balance.UpstreamLoad{
			Upstream: binary.BigEndian.Uint64(row),
			Own:      int(binary.BigEndian.Uint16(row[8:])),
			Pending:  time.Duration(binary.BigEndian.Uint16(row[10:])) * pendingUnit,
			Slowdown: float64(row[12]) * slowdownUnit,
		})
	}
	return out
}
