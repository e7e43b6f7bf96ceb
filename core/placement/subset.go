package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"skylarkstand/core"
)

const (
	// farPart of a subset is for other regions: enough to draw two from.
	farPart = MaxSubset / 8
	// zonePart is what the own availability zone may fill at most, so that
	// losing it leaves the entry the rest of the region.
	zonePart = (MaxSubset - farPart) * 3 / 4
)

// Subset returns the hosts that an entry works with, of those that serve one
// version: by rendezvous hashing, the own availability zone first, then the
// region, then a few of the others. Hosts that come and go change only their
// own places in it.
//
// It is made for a version with thousands of upstreams. An entry that spread
// its attempts over all of them would know of each only what it was minutes
// ago, and would warm no cache; different entries get different subsets, so
// that all upstreams are used. A pool of up to [MaxSubset] is taken whole.
func Subset(self core.ProcessID, zo core.Zone, re core.Region, hosts []core.Host) []core.Host {
	if len(hosts) <= MaxSubset {
		return hosts
	}
	seed := xxhash.Sum64String(string(self))
	var zone, region, far []core.Host
	for _, ho := range hosts {
		switch {
		case ho.Zone == zo && ho.Region == re:
			zone = append(zone, ho)
		case ho.Region == re:
			region = append(region, ho)
		default:
			far = append(far, ho)
		}
	}
	for _, tier := range [][]core.Host{zone, region, far} {
		slices.SortFunc(tier, func(aa, bb core.Host) int {
			return cmp.Compare(rank(seed, string(bb.ID)), rank(seed, string(aa.ID)))
		})
	}
	fars := min(len(far), max(farPart, MaxSubset-len(zone)-len(region)))
	regions := min(len(region), max(MaxSubset-fars-zonePart, MaxSubset-fars-len(zone)))
	zones := min(len(zone), MaxSubset-fars-regions)
	return slices.Concat(zone[:zones], region[:regions], far[:fars])
}

// Room returns how many attempts of this entry the candidates take at once:
// the slots that other entries leave free, and at least an even part of all.
//
// The slots alone would let each entry of several send a full pool's worth. The
// free ones alone would starve an entry that comes to a pool the others have
// filled. With the even part as a floor its work waits a little in the agents'
// queues, the others see that in the reports, and the parts even out.
//
// Far upstreams count only while the link between regions has budget, or when
// the region has none of its own.
func (pk *Picker) Room(cands []core.Upstream, entries int, crossing bool) int {
	near, slots, far, farSlots := 0, 0, 0, 0
	for ix := range cands {
		up := &cands[ix]
		if !up.Up || up.Leaving {
			continue
		}
		all := max(up.Load.Slots, 1)
		free := max(all-max(up.Load.Running+up.Load.Queued-up.OwnThen, 0), 0)
		if up.Host.Region == pk.region {
			near, slots = near+free, slots+all
		} else {
			far, farSlots = far+free, farSlots+all
		}
	}
	if slots == 0 {
		near, slots, far = far, farSlots, 0
	}
	room := max(near, (slots+max(entries, 1)-1)/max(entries, 1))
	if crossing {
		room += int(float64(far) * farFree)
	}
	return room
}
