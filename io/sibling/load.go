package sibling

import (
	"encoding/binary"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/balance"
	"skylarkstand/core/replica"
)

// A load datagram consists of, in this order: a format byte; the hash of the sender's
// process; the replica's revision, its age and the time since the store last answered, both
// in digestUnit, and 1 if the replica is settled; the numbers of upstream loads and of budgets; the upstream loads, each with
// the upstream's hash, the attempts there, the pending prefill time in pendingUnit, and the slowdown
// in slowdownUnit, 0 if it is unknown; the budgets, each with the service's hash and the retries left; and in the remaining bytes the
// prefixes cached by engines, each with the upstream's hash and the hash of the prompt part.
const (
	loadFormat       = 7
	digestSize       = 8 + 2 + 2 + 1
	loadHeadSize     = 1 + 8 + digestSize + 1 + 1
	budgetSize       = 8 + 2
	digestUnit       = 10 * time.Millisecond
	noContact        = maxUnits
	upstreamLoadSize = 8 + 2 + 2 + 1
	cachedPartSize   = 8 + 8
	pendingUnit      = 10 * time.Millisecond
	slowdownUnit     = 1.0 / 32
	// maxUpstreamLoads and maxCachedParts keep a datagram below the usual packet size of 1,500 bytes.
	// An entry has attempts at more upstreams only in installations so large that a
	// subset suffices.
	maxUpstreamLoads = 64
	maxCachedParts   = 36
	maxBudgets       = 4
	maxUnits         = 1<<16 - 1
)

func encodeLoad(self uint64, di replica.Digest, lo balance.Load) []byte {
	loads, cached := lo.Upstreams[:min(len(lo.Upstreams), maxUpstreamLoads)], lo.CachedParts[:min(len(lo.CachedParts), maxCachedParts)]
	data := make([]byte, 0, loadHeadSize+len(loads)*upstreamLoadSize+len(cached)*cachedPartSize)
	data = append(data, loadFormat)
	data = binary.BigEndian.AppendUint64(data, self)
	data = appendDigest(data, di)
	budgets := lo.Budgets[:min(len(lo.Budgets), maxBudgets)]
	data = append(data, byte(len(loads)), byte(len(budgets)))
	data = appendLoads(data, loads)
	data = appendBudgets(data, budgets)
	for _, cp := range cached {
		data = binary.BigEndian.AppendUint64(data, cp.Upstream)
		data = binary.BigEndian.AppendUint64(data, cp.Part)
	}
	return data
}

func appendDigest(data []byte, di replica.Digest) []byte {
	data = binary.BigEndian.AppendUint64(data, uint64(di.Revision))
	data = binary.BigEndian.AppendUint16(data, uint16(min(max(di.Age, 0)/digestUnit, maxUnits)))
	data = binary.BigEndian.AppendUint16(data, contactUnits(di.Contact))
	if di.Settled {
		return append(data, 1)
	}
	return append(data, 0)
}

// digestFormat is the format byte of a datagram that contains only a digest.
const digestFormat = 0x95

func encodeDigest(di replica.Digest) []byte { return appendDigest([]byte{digestFormat}, di) }

// decodeDigestDatagram decodes a digest datagram. It returns false for any other datagram.
func decodeDigestDatagram(data []byte) (replica.Digest, bool) {
	if len(data) != 1+digestSize || data[0] != digestFormat {
		return replica.Digest{}, false
	}
	di := decodeDigest(data[1:])
	return di, di.Revision <= core.MaxRevision
}

func contactUnits(contact time.Duration) uint16 {
	if contact < 0 {
		return noContact
	}
	return uint16(min(contact/digestUnit, noContact-1))
}

// decodeLoad decodes a load datagram. It returns false for any other datagram, including those
// of other releases.
func decodeLoad(data []byte) (from uint64, di replica.Digest, lo balance.Load, ok bool) {
	if len(data) < loadHeadSize || data[0] != loadFormat {
		return 0, di, lo, false
	}
	from = binary.BigEndian.Uint64(data[1:])
	di = decodeDigest(data[9:])
	loads, budgets, payload := int(data[loadHeadSize-2])*upstreamLoadSize, int(data[loadHeadSize-1])*budgetSize, data[loadHeadSize:]
	if di.Revision > core.MaxRevision || len(payload) < loads+budgets || (len(payload)-loads-budgets)%cachedPartSize != 0 {
		return 0, di, lo, false
	}
	lo.Upstreams = decodeLoads(payload[:loads])
	lo.Budgets = decodeBudgets(payload[loads : loads+budgets])
	for row := payload[loads+budgets:]; len(row) > 0; row = row[cachedPartSize:] {
		lo.CachedParts = append(lo.CachedParts, balance.CachedPart{Upstream: binary.BigEndian.Uint64(row), Part: binary.BigEndian.Uint64(row[8:])})
	}
	return from, di, lo, true
}

func decodeDigest(data []byte) replica.Digest {
	di := replica.Digest{
		Revision: core.Revision(binary.BigEndian.Uint64(data)),
		Age:      time.Duration(binary.BigEndian.Uint16(data[8:])) * digestUnit,
		Contact:  replica.NoContact,
		Settled:  data[12] == 1,
	}
	if units := binary.BigEndian.Uint16(data[10:]); units != noContact {
		di.Contact = time.Duration(units) * digestUnit
	}
	return di
}
