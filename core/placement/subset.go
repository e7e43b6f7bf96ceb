package placement

import (
	"cmp"
	"slices"
	"time"

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
			return cmp.Compare(mix(seed^Hash(bb.ID)), mix(seed^Hash(aa.ID)))
		})
	}
	fars := min(len(far), max(farPart, MaxSubset-len(zone)-len(region)))
	regions := min(len(region), max(MaxSubset-fars-zonePart, MaxSubset-fars-len(zone)))
	zones := min(len(zone), MaxSubset-fars-regions)
	return slices.Concat(zone[:zones], region[:regions], far[:fars])
}

// Room is what a pool takes.
type Room struct {
	// Places is how many attempts of this entry it takes at once, Slots how
	// many of all entries.
	Places, Slots int
}

// Room returns what the region's candidates take. This entry's places are the
// slots that other entries leave free, and at least an even part of all.
//
// All slots for each entry would let several of them send a full pool's worth.
// The free ones alone would starve an entry that comes to a pool the others
// have filled. With the even part as a floor its work waits a little in the
// agents' queues, the others see that in the reports, and the parts even out.
//
// A region without any upstream lives on those of the others.
func (pk *Picker) Room(cands []core.Upstream, entries int) Room {
	free, slots := pk.free(cands, true)
	if slots == 0 {
		free, slots = pk.free(cands, false)
	}
	even := (slots + max(entries, 1) - 1) / max(entries, 1)
	return Room{Places: max(free, even, 1), Slots: max(slots, 1)}
}

// FarRoom returns what the other regions' candidates take. A quarter of their
// slots is left to their own region, whose burst may be on its way.
func (pk *Picker) FarRoom(now time.Time, cands []core.Upstream) Room {
	if !pk.MayCross(now, 0) {
		return Room{}
	}
	free, slots := pk.free(cands, false)
	return Room{Places: max(free-int(float64(slots)*(1-farFree)), 0), Slots: slots}
}

func (pk *Picker) free(cands []core.Upstream, near bool) (free, slots int) {
	for ix := range cands {
		up := &cands[ix]
		if !up.Up || up.Leaving || near != (up.Host.Region == pk.region) {
			continue
		}
		all := max(up.Load.Slots, 1)
		free += max(all-max(up.Load.Running+up.Load.Queued-up.OwnThen, 0), 0)
		slots += all
	}
	return free, slots
}
