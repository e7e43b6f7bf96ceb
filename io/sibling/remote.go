package sibling

import (
	"encoding/binary"
	"net"
	"slices"
	"time"

	"skylarkstand/core/balance"
)

// A datagram of a region's load is a version, the hash of the region, the mean of
// the upstreams that are left out, and the shares of the others.
const (
	regionFormat = 0x83
	regionHead   = 1 + 8 + shareSize
)

// sendRemote tells one entry of each other region, in turn, what this one's
// entries have at upstreams. Few bytes cross: with as many entries in each region,
// each of them hears of each other region once in a round.
func (sh *Sharer) sendRemote(pc net.PacketConn) {
	sh.round++
	regions := sh.remote()
	if len(regions) == 0 {
		return
	}
	lo := sh.ld.RegionLoad(maxShares)
	if len(lo.Shares) == 0 {
		return
	}
	data := encodeRegion(lo)
	first := int(balance.HashOf(sh.self) % (1 << 16)) //nolint:gosec // Below 1<<16.
	for _, addrs := range regions {
		slices.Sort(addrs)
		write(pc, []string{addrs[(first+sh.round)%len(addrs)]}, data)
	}
}

// sendRemoteCalls tells the entries of a region at once what went to its upstreams.
func (sh *Sharer) sendRemoteCalls(pc net.PacketConn) {
	sent := sh.ld.RemoteCalls()
	if len(sent) == 0 {
		return
	}
	for region, addrs := range sh.remote() {
		for _, se := range sent {
			if se.To == balance.HashOf(region) && sh.limit.AllowN(time.Now(), len(addrs)) {
				write(pc, addrs, encodeRemoteCalls(se))
			}
		}
	}
}

// A datagram of work for another region is a version, the hash of the teller's
// region, and the shares.
const (
	callsFormat = 0x85
	callsHead   = 1 + 8
)

func encodeRemoteCalls(se balance.RemoteCalls) []byte {
	shares := se.Shares[:min(len(se.Shares), maxShares)]
	data := make([]byte, 0, callsHead+len(shares)*shareSize)
	data = append(data, callsFormat)
	data = binary.BigEndian.AppendUint64(data, se.From)
	return appendShares(data, shares)
}

// decodeRemoteCalls returns false for a datagram of another kind.
func decodeRemoteCalls(data []byte) (balance.RemoteCalls, bool) {
	if len(data) < callsHead || data[0] != callsFormat || (len(data)-callsHead)%shareSize != 0 {
		return balance.RemoteCalls{}, false
	}
	return balance.RemoteCalls{From: binary.BigEndian.Uint64(data[1:]), Shares: decodeShares(data[callsHead:])}, true
}

func encodeRegion(lo balance.RegionLoad) []byte {
	shares := lo.Shares[:min(len(lo.Shares), maxShares)]
	data := make([]byte, 0, regionHead+len(shares)*shareSize)
	data = append(data, regionFormat)
	data = binary.BigEndian.AppendUint64(data, lo.Region)
	data = appendShares(data, []balance.Share{lo.Rest})
	return appendShares(data, shares)
}

// decodeRegion returns false for a datagram of another kind.
func decodeRegion(data []byte) (balance.RegionLoad, bool) {
	if len(data) < regionHead || data[0] != regionFormat || (len(data)-regionHead)%shareSize != 0 {
		return balance.RegionLoad{}, false
	}
	return balance.RegionLoad{
		Region: binary.BigEndian.Uint64(data[1:]),
		Rest:   decodeShares(data[1+8 : regionHead])[0],
		Shares: decodeShares(data[regionHead:]),
	}, true
}
