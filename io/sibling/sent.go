package sibling

import (
	"encoding/binary"
	"time"

	"skylarkstand/core/balance"
)

// A datagram of calls is a version, the hash of its sender's process, and the calls:
// the upstream's hash, how many, and the time that their prompts need, in
// pendingUnit.
const (
	sentFormat = 0x82
	sentHead   = 1 + 8
	// sentRate and sentBurst bound the datagrams beside the rounds, a second and at
	// once: of some 30 bytes each, 5 kB a second however many siblings and calls.
	sentRate  = 160
	sentBurst = 160
)

func encodeSent(self uint64, sent []balance.Share) []byte {
	sent = sent[:min(len(sent), maxShares)]
	data := make([]byte, 0, sentHead+len(sent)*shareSize)
	data = append(data, sentFormat)
	data = binary.BigEndian.AppendUint64(data, self)
	return appendShares(data, sent)
}

// decodeSent returns false for a datagram of another kind.
func decodeSent(data []byte) (from uint64, sent []balance.Share, ok bool) {
	if len(data) < sentHead || data[0] != sentFormat || (len(data)-sentHead)%shareSize != 0 {
		return 0, nil, false
	}
	return binary.BigEndian.Uint64(data[1:]), decodeShares(data[sentHead:]), true
}

func appendShares(data []byte, shares []balance.Share) []byte {
	for _, sr := range shares {
		data = binary.BigEndian.AppendUint64(data, sr.Upstream)
		data = binary.BigEndian.AppendUint16(data, uint16(min(sr.Own, maxUnits)))
		data = binary.BigEndian.AppendUint16(data, uint16(min(sr.Pending/pendingUnit, maxUnits)))
	}
	return data
}

func decodeShares(data []byte) []balance.Share {
	var out []balance.Share
	for row := data; len(row) > 0; row = row[shareSize:] {
		out = append(out, balance.Share{
			Upstream: binary.BigEndian.Uint64(row),
			Own:      int(binary.BigEndian.Uint16(row[8:])),
			Pending:  time.Duration(binary.BigEndian.Uint16(row[10:])) * pendingUnit,
		})
	}
	return out
}
