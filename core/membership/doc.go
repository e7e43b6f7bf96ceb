// Package membership keeps the list of entries in the store and chooses the readers of a region.
//
// The readers of a region are a few entries that watch the store for all others, so that the store's
// load does not grow with the entries. Every entry sends heartbeats to the readers of its region, which
// acknowledge them with the state of their replica. An entry that does not acknowledge, or whose
// replica is outdated, is passed over for some seconds, and the next one in rendezvous order takes its
// place. The choice is a hint: entries that disagree have a few more readers for a while, and an entry
// without contact to any reader watches the store itself.
//
// The readers also write the list of entries: they add the entries that send heartbeats and remove
// those that have stopped, many in one transaction. Everything that depends on the list follows its
// revision in the store, as before; heartbeats alone change nothing.
//
// # Usage
//
//	rd := membership.NewReaders(self, region, entries)
//	rg := membership.NewRegistrar(deps, store, rd, self, listed)
//	supervisor.Add(rg)
//	for _, addr := range rd.Addrs(now) { … send a heartbeat … }
package membership
