package sibling

import (
	"encoding/binary"
	"time"

	"skylarkstand/core/balance"
)

// A datagram of facts is a version and the facts: the upstream's hash, its start,
// how long it rests, in restUnit, and how often nobody was found there.
const (
	factsFormat = 0x81
	factSize    = 8 + 2 + 2 + 1
	restUnit    = 10 * time.Millisecond
	// maxFacts keeps a datagram below the usual packet. More upstreams than that are
	// lost at once only with a zone, and are told of as they are tried again.
	maxFacts = 100
	maxAway  = 1<<8 - 1
)

func encodeFacts(facts []balance.Fact) []byte {
	facts = facts[:min(len(facts), maxFacts)]
	data := make([]byte, 0, 1+len(facts)*factSize)
	data = append(data, factsFormat)
	for _, fa := range facts {
		data = binary.BigEndian.AppendUint64(data, fa.Upstream)
		data = binary.BigEndian.AppendUint16(data, fa.Start)
		data = binary.BigEndian.AppendUint16(data, uint16(min((fa.Rest+restUnit-1)/restUnit, maxUnits)))
		data = append(data, byte(min(fa.Away, maxAway)))
	}
	return data
}

// decodeFacts returns false for a datagram of another kind.
func decodeFacts(data []byte) ([]balance.Fact, bool) {
	if len(data) == 0 || data[0] != factsFormat || (len(data)-1)%factSize != 0 {
		return nil, false
	}
	var out []balance.Fact
	for row := data[1:]; len(row) > 0; row = row[factSize:] {
		out = append(out, balance.Fact{
			Upstream: binary.BigEndian.Uint64(row),
			Start:    binary.BigEndian.Uint16(row[8:]),
			Rest:     time.Duration(binary.BigEndian.Uint16(row[10:])) * restUnit,
			Away:     int(row[12]),
		})
	}
	return out, true
}
