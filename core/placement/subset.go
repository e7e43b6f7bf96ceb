package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"skylarkstand/core"
)

const (
	// remoteHosts is the number of hosts of other regions in a subset: enough to draw
	// two from.
	remoteHosts = MaxSubset / 8
	// maxZoneHosts bounds the hosts of the local availability zone in a subset if the
	// region has others, so that the entry can use those when the zone is lost.
	maxZoneHosts = (MaxSubset - remoteHosts) * 3 / 4
)

// Subset returns the hosts that an entry uses, of those that serve one version. It
// selects them by rendezvous hashing: most from the local availability zone, then
// from the region, then a few from other regions. A host that is added or removed
// changes only its own place in the subset.
//
// It is designed for versions with thousands of upstreams. An entry that spread its
// attempts over all of them would see the state of each one minutes late, and would
// get no prefix cache hits. Different entries get different subsets, so that all
// upstreams are used. A pool of up to [MaxSubset] hosts is used entirely.
func Subset(self core.ProcessID, zo core.Zone, re core.Region, hosts []core.Host) []core.Host {
	if len(hosts) <= MaxSubset {
		return hosts
	}
	seed := xxhash.Sum64String(string(self))
	var zone, region, remote []core.Host
	for _, ho := range hosts {
		switch {
		case ho.Zone == zo && ho.Region == re:
			zone = append(zone, ho)
		case ho.Region == re:
			region = append(region, ho)
		default:
			remote = append(remote, ho)
		}
	}
	for _, group := range [][]core.Host{zone, region, remote} {
		slices.SortFunc(group, func(aa, bb core.Host) int {
			return cmp.Compare(mix(seed^Hash(bb.ID)), mix(seed^Hash(aa.ID)))
		})
	}
	remoteCount := min(len(remote), max(remoteHosts, MaxSubset-len(zone)-len(region)))
	regionCount := min(len(region), max(MaxSubset-remoteCount-maxZoneHosts, MaxSubset-remoteCount-len(zone)))
	zoneCount := min(len(zone), MaxSubset-remoteCount-regionCount)
	return slices.Concat(zone[:zoneCount], region[:regionCount], remote[:remoteCount])
}

// Capacity is the capacity of a pool.
type Capacity struct {
	// EntrySlots is the number of attempts of this entry that the pool can run
	// concurrently, TotalSlots the number of attempts of all entries.
	EntrySlots, TotalSlots int
}

// Capacity returns the capacity of the local region's candidates, shared by a number of
// entries. EntrySlots is the number of slots that other entries leave free, but at
// least an even share of all slots.
//
// If each entry got all slots, several of them together would overload the pool. If
// it got the free slots only, an entry would starve in a pool that the others have
// filled. With the even share as a lower bound, its attempts wait a little in the
// agents' queues, the other entries see that in the load reports, and the shares
// converge.
//
// A region without any available upstream uses those of the other regions.
func (pk *Picker) Capacity(cands []core.Upstream, entries int) Capacity {
	free, slots := pk.freeSlots(cands, true)
	if slots == 0 {
		free, slots = pk.freeSlots(cands, false)
	}
	evenShare := (slots + max(entries, 1) - 1) / max(entries, 1)
	return Capacity{EntrySlots: max(free, evenShare, 1), TotalSlots: max(slots, 1)}
}

// CrossRegionCapacity returns the capacity of the other regions' candidates for this entry. It
// leaves a quarter of their slots as a reserve for bursts in their own regions. It is
// zero without link budget.
func (pk *Picker) CrossRegionCapacity(now time.Time, cands []core.Upstream) Capacity {
	if !pk.HasCrossRegionBudget(now, 0) {
		return Capacity{}
	}
	free, slots := pk.freeSlots(cands, false)
	return Capacity{EntrySlots: max(free-int(float64(slots)*(1-remoteMaxLoad)), 0), TotalSlots: slots}
}

func (pk *Picker) freeSlots(cands []core.Upstream, local bool) (free, slots int) {
	for ix := range cands {
		up := &cands[ix]
		if !up.Connected || up.Leaving || local != (up.Host.Region == pk.region) {
			continue
		}
		all := max(up.Load.Slots, 1)
		free += max(all-max(up.Load.Running+up.Load.Queued-up.OwnAtReport, 0), 0)
		slots += all
	}
	return free, slots
}
