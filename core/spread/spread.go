// Package spread decides how an accepted configuration reaches every entry:
// who waits on the platform's store, and whom the others listen to.
//
// A waiting watch counts as a call of the store, so 360 entries must not all
// wait. In each availability zone two preferred readers do; the others link to
// them. Agents hear it from the entries that they are linked with.
//
// # Usage
//
//	if spread.Reads(hosts, self, fresh) { follow the store }
//	for _, ho := range spread.Peers(hosts, self) { keep a link to ho }
package spread

import (
	"slices"

	"skylarkstand/core"
	"skylarkstand/core/rendezvous"
)

// readersPerZone is how many entries of a zone wait on the store. One would
// leave its zone without news while it restarts; with two, news come through
// one restart, and a zone that loses both is noticed by the bound on silence.
// At 16 zones it makes 32 waiting watches.
const readersPerZone = 2

// peersPerForeignZone is how many readers of each other zone of the region an
// entry links with. They matter when the store is away or the own zone has
// just started and knows nothing.
const peersPerForeignZone = 1

// peersAbroad is how many readers in other regions an entry links with, for
// the case that its own region cannot reach the store, which stands in one
// region alone. An idle link costs a few bytes a second of the paid link.
const peersAbroad = 1

func addr(ho core.Host) string { return ho.Addr }

// entries lists the entries that are not leaving.
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

// Reads reports whether an entry waits on the store itself: when it is a
// preferred reader, when the list does not name it, or when it has had no
// fresh word from its readers. A wrong answer costs a watch, nothing else.
func Reads(hosts []core.Host, self core.Host, fresh bool) bool {
	readers := Readers(hosts, self.Zone)
	listed := slices.ContainsFunc(hosts, func(ho core.Host) bool { return ho.Role == core.RoleEntry && ho.Addr == self.Addr })
	preferred := slices.ContainsFunc(readers, func(ho core.Host) bool { return ho.Addr == self.Addr })
	return preferred || !listed || !fresh
}

// Peers returns the entries that an entry keeps links with: the readers of its
// own zone, of the other zones of its region, and some abroad.
func Peers(hosts []core.Host, self core.Host) []core.Host {
	peers := Readers(hosts, self.Zone)
	var abroad []core.Host
	for _, zo := range zones(hosts) {
		switch {
		case zo.zone == self.Zone:
		case zo.region == self.Region:
			readers := Readers(hosts, zo.zone)
			peers = append(peers, readers[:min(len(readers), peersPerForeignZone)]...)
		default:
			abroad = append(abroad, Readers(hosts, zo.zone)...)
		}
	}
	peers = append(peers, rendezvous.Top(self.Addr, abroad, peersAbroad, addr)...)
	return slices.DeleteFunc(peers, func(ho core.Host) bool { return ho.Addr == self.Addr })
}

type place struct {
	zone   core.Zone
	region core.Region
}

func zones(hosts []core.Host) []place {
	var out []place
	for _, ho := range entries(hosts, func(core.Host) bool { return true }) {
		pl := place{ho.Zone, ho.Region}
		if !slices.Contains(out, pl) {
			out = append(out, pl)
		}
	}
	return out
}
