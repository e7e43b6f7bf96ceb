package sibling

import (
	"encoding/binary"
	"time"

	"skylarkstand/core/balance"
)

// A facts datagram consists of a format byte and the facts, each with the upstream's hash,
// its start, the cooldown in cooldownUnit, and the number of consecutive failed connects.
const (
	factsFormat  = 0x81
	factSize     = 8 + 2 + 2 + 1
	cooldownUnit = 10 * time.Millisecond
	// maxFacts keeps a datagram below the usual packet size. More upstreams fail at once
	// only when an availability zone fails, and those left out are reported when they are
	// tried again.
	maxFacts          = 100
	maxFailedConnects = 1<<8 - 1
)

func encodeFacts(facts []balance.Fact) []byte {
	facts = facts[:min(len(facts), maxFacts)]
	data := make([]byte, 0, 1+len(facts)*factSize)
	data = append(data, factsFormat)
	for _, fa := range facts {
		data = binary.BigEndian.AppendUint64(data, fa.Upstream)
		data = binary.BigEndian.AppendUint16(data, fa.Start)
		data = binary.BigEndian.AppendUint16(data, uint16(min((fa.DownFor+cooldownUnit-1)/cooldownUnit, maxUnits)))
		data = append(data, byte(min(fa.FailedConnects, maxFailedConnects)))
	}
	return data
}

// decodeFacts decodes a facts datagram. It returns false for any other datagram.
func decodeFacts(data []byte) ([]balance.Fact, bool) {
	if len(data) == 0 || data[0] != factsFormat || (len(data)-1)%factSize != 0 {
		return nil, false
	}
	var out []balance.Fact
	for row := data[1:]; len(row) > 0; row = row[factSize:] {
		out = append(out, balance.Fact{
			Upstream:       binary.BigEndian.Uint64(row),
			Start:          binary.BigEndian.Uint16(row[8:]),
			DownFor:        time.Duration(binary.BigEndian.Uint16(row[10:])) * cooldownUnit,
			FailedConnects: int(row[12]),
		})
	}
	return out, true
}
