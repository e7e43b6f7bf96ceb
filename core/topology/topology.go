// Package topology determines how an accepted configuration reaches every entry: which entries
// watch the platform's store, and which entries the others receive it from.
//
// A waiting watch counts as a call of the store, so 360 entries must not all watch it. In each
// availability zone two entries, the preferred readers, do; the others keep links to them. Agents
// receive the configuration from the entries that they are linked with.
//
// # Usage
//
//	if topology.WatchesStore(hosts, self, fresh) { follow the store }
//	for _, ho := range topology.Peers(hosts, self) { keep a link to ho }
package topology

import (
	"slices"

	"skylarkstand/core"
	"skylarkstand/core/rendezvous"
)

// readersPerZone is how many entries of a zone watch the store. A single one would leave its zone
// without updates while it restarts; with two, updates continue through one restart, and a zone
// that loses both is detected by the limit on the age of updates. At 16 zones this makes 32 waiting
// watches.
const readersPerZone = 2

// peersPerOtherZone is how many readers of each other zone of the region an entry links with. They
// are needed while the store is unavailable or the entry's own zone has just started and has no
// configuration.
const peersPerOtherZone = 1

// crossRegionPeers is how many readers in other regions an entry links with, in case its own region
// cannot reach the store, which is located in one region only. An idle link uses a few bytes a
// second of the metered cross-region link.
const crossRegionPeers = 1

func addr(ho core.Host) string { return ho.Addr }

// entries returns the entries that are not leaving and that keep accepts.
func entries(hosts []core.Host, keep func(core.Host) bool) []core.Host {
	var out []core.Host
	for _, ho := range hosts {
		if ho.Role == core.RoleEntry && ho.Addr != "" && !ho.Leaving && keep(ho) {
			out = append(out, ho)
		}
	}
	return out
}

// Readers returns the preferred readers of a zone.
func Readers(hosts []core.Host, zo core.Zone) []core.Host {
	return rendezvous.Top(string(zo), entries(hosts, func(ho core.Host) bool { return ho.Zone == zo }), readersPerZone, addr)
}

// WatchesStore reports whether an entry watches the store itself: if it is a preferred reader, if
// the host list does not contain it, or if fresh is false, which means that it has received no
// recent update from its readers. A wrong result costs only an additional watch.
func WatchesStore(hosts []core.Host, self core.Host, fresh bool) bool {
	readers := Readers(hosts, self.Zone)
	listed := slices.ContainsFunc(hosts, func(ho core.Host) bool { return ho.Role == core.RoleEntry && ho.Addr == self.Addr })
	preferred := slices.ContainsFunc(readers, func(ho core.Host) bool { return ho.Addr == self.Addr })
	return preferred || !listed || !fresh
}

// Peers returns the entries that an entry keeps links with: the readers of its own zone, of the
// other zones of its region, and some in other regions.
func Peers(hosts []core.Host, self core.Host) []core.Host {
	peers := Readers(hosts, self.Zone)
	var otherRegions []core.Host
	for _, zo := range zones(hosts) {
		switch {
		case zo.zone == self.Zone:
		case zo.region == self.Region:
			readers := Readers(hosts, zo.zone)
			peers = append(peers, readers[:min(len(readers), peersPerOtherZone)]...)
		default:
			otherRegions = append(otherRegions, Readers(hosts, zo.zone)...)
		}
	}
	peers = append(peers, rendezvous.Top(self.Addr, otherRegions, crossRegionPeers, addr)...)
	return slices.DeleteFunc(peers, func(ho core.Host) bool { return ho.Addr == self.Addr })
}

type location struct {
	zone   core.Zone
	region core.Region
}

func zones(hosts []core.Host) []location {
	var out []location
	for _, ho := range entries(hosts, func(core.Host) bool { return true }) {
		lo := location{ho.Zone, ho.Region}
		if !slices.Contains(out, lo) {
			out = append(out, lo)
		}
	}
	return out
}
