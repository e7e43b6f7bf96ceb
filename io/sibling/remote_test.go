package sibling

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core/balance"
)

// TestRegionDatagram guards against an encoding that alters a region's load or exceeds the packet
// size, and against decoding it as another kind of datagram.
func TestRegionDatagram(t *testing.T) {
	lo := balance.RegionLoad{
		Region: 1 << 60, Others: balance.UpstreamLoad{Own: 1, Pending: 30 * time.Millisecond},
		Upstreams: []balance.UpstreamLoad{{Upstream: 9, Own: 3, Pending: 250 * time.Millisecond}},
	}
	data := encodeRegion(lo)
	got, ok := decodeRegion(data)
	assert.Assert(t, ok)
	assert.DeepEqual(t, got, lo)
	for n := range data {
		_, ok := decodeRegion(data[:n])
		assert.Assert(t, !ok || n == regionHeadSize, "%d bytes", n)
	}
	_, _, _, ok = decodeLoad(data)
	assert.Assert(t, !ok)
	_, ok = decodeFacts(data)
	assert.Assert(t, !ok)
	_, _, ok = decodeSent(data)
	assert.Assert(t, !ok)
	for range 500 {
		lo.Upstreams = append(lo.Upstreams, balance.UpstreamLoad{Upstream: 7})
	}
	data = encodeRegion(lo)
	assert.Assert(t, len(data) <= 1472, "%d", len(data))
	_, ok = decodeRegion(data)
	assert.Assert(t, ok)
}
