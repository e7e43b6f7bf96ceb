package sibling

import (
	"encoding/binary"
	"net"
	"slices"
	"time"

	"skylarkstand/core/balance"
)

// A region-load datagram consists of a format byte, the hash of the region, the mean load
// of the upstreams that are left out, and the loads of the others.
const (
	regionFormat   = 0x94
	regionHeadSize = 1 + 8 + upstreamLoadSize
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
	lo := gs.ld.RegionLoad(maxUpstreamLoads)
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
// the calls sent to upstreams of the receiver's region.
const (
	callsFormat   = 0x93
	callsHeadSize = 1 + 8
)

func encodeRemoteCalls(rc balance.RemoteCalls) []byte {
	loads := rc.Calls[:min(len(rc.Calls), maxUpstreamLoads)]
	data := make([]byte, 0, callsHeadSize+len(loads)*upstreamLoadSize)
	data = append(data, callsFormat)
	data = binary.BigEndian.AppendUint64(data, rc.From)
	return appendLoads(data, loads)
}

// decodeRemoteCalls decodes a remote-calls datagram. It returns false for any other datagram.
func decodeRemoteCalls(data []byte) (balance.RemoteCalls, bool) {
	if len(data) < callsHeadSize || data[0] != callsFormat || (len(data)-callsHeadSize)%upstreamLoadSize != 0 {
		return balance.RemoteCalls{}, false
	}
	return balance.RemoteCalls{From: binary.BigEndian.Uint64(data[1:]), Calls: decodeLoads(data[callsHeadSize:])}, true
}

func encodeRegion(lo balance.RegionLoad) []byte {
	loads := lo.Upstreams[:min(len(lo.Upstreams), maxUpstreamLoads)]
	data := make([]byte, 0, regionHeadSize+len(loads)*upstreamLoadSize)
	data = append(data, regionFormat)
	data = binary.BigEndian.AppendUint64(data, lo.Region)
	data = appendLoads(data, []balance.UpstreamLoad{lo.Others})
	return appendLoads(data, loads)
}

// decodeRegion decodes a region-load datagram. It returns false for any other datagram.
func decodeRegion(data []byte) (balance.RegionLoad, bool) {
	if len(data) < regionHeadSize || data[0] != regionFormat || (len(data)-regionHeadSize)%upstreamLoadSize != 0 {
		return balance.RegionLoad{}, false
	}
	return balance.RegionLoad{
		Region:    binary.BigEndian.Uint64(data[1:]),
		Others:    decodeLoads(data[1+8 : regionHeadSize])[0],
		Upstreams: decodeLoads(data[regionHeadSize:]),
	}, true
}
