package sibling

import (
	"encoding/binary"
	"net"
	"slices"
	"time"

	"skylarkstand/core/balance"
)

// A region-load datagram consists of a format byte, the hash of the region, the mean share
// of the upstreams that are left out, and the shares of the others.
const (
	regionFormat   = 0x83
	regionHeadSize = 1 + 8 + shareSize
)

// sendRegionLoad sends the load of the local region's entries to one entry of each other
// region, in rotation. This keeps cross-region traffic low: if the regions have the same
// number of entries, each entry receives one datagram per other region and round.
func (gs *Gossiper) sendRegionLoad(pc net.PacketConn) {
	gs.remoteRound++
	regions := gs.remote()
	if len(regions) == 0 {
		return
	}
	lo := gs.ld.RegionLoad(maxShares)
	if len(lo.Upstreams) == 0 {
		return
	}
	data := encodeRegion(lo)
	first := int(balance.Hash(gs.self) % (1 << 16)) //nolint:gosec // Below 1<<16.
	for _, addrs := range regions {
		slices.Sort(addrs)
		sendDatagrams(pc, []string{addrs[(first+gs.remoteRound)%len(addrs)]}, data)
	}
}

// sendRemoteCalls immediately reports cross-region calls to the entries of the region whose
// upstreams received them.
func (gs *Gossiper) sendRemoteCalls(pc net.PacketConn) {
	sent := gs.ld.TakeRemoteCalls()
	if len(sent) == 0 {
		return
	}
	for region, addrs := range gs.remote() {
		for _, rc := range sent {
			if rc.To == balance.Hash(region) && gs.limiter.AllowN(time.Now(), len(addrs)) {
				sendDatagrams(pc, addrs, encodeRemoteCalls(rc))
			}
		}
	}
}

// A remote-calls datagram consists of a format byte, the hash of the sender's region, and
// the shares sent to upstreams of the receiver's region.
const (
	callsFormat   = 0x85
	callsHeadSize = 1 + 8
)

func encodeRemoteCalls(rc balance.RemoteCalls) []byte {
	shares := rc.Calls[:min(len(rc.Calls), maxShares)]
	data := make([]byte, 0, callsHeadSize+len(shares)*shareSize)
	data = append(data, callsFormat)
	data = binary.BigEndian.AppendUint64(data, rc.From)
	return appendShares(data, shares)
}

// decodeRemoteCalls decodes a remote-calls datagram. It returns false for any other datagram.
func decodeRemoteCalls(data []byte) (balance.RemoteCalls, bool) {
	if len(data) < callsHeadSize || data[0] != callsFormat || (len(data)-callsHeadSize)%shareSize != 0 {
		return balance.RemoteCalls{}, false
	}
	return balance.RemoteCalls{From: binary.BigEndian.Uint64(data[1:]), Calls: decodeShares(data[callsHeadSize:])}, true
}

func encodeRegion(lo balance.RegionLoad) []byte {
	shares := lo.Upstreams[:min(len(lo.Upstreams), maxShares)]
	data := make([]byte, 0, regionHeadSize+len(shares)*shareSize)
	data = append(data, regionFormat)
	data = binary.BigEndian.AppendUint64(data, lo.Region)
	data = appendShares(data, []balance.UpstreamLoad{lo.Others})
	return appendShares(data, shares)
}

// decodeRegion decodes a region-load datagram. It returns false for any other datagram.
func decodeRegion(data []byte) (balance.RegionLoad, bool) {
	if len(data) < regionHeadSize || data[0] != regionFormat || (len(data)-regionHeadSize)%shareSize != 0 {
		return balance.RegionLoad{}, false
	}
	return balance.RegionLoad{
		Region:    binary.BigEndian.Uint64(data[1:]),
		Others:    decodeShares(data[1+8 : regionHeadSize])[0],
		Upstreams: decodeShares(data[regionHeadSize:]),
	}, true
}
