package topology_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/topology"
)

// fleet returns entries distributed evenly over zones, four zones a region.
func fleet(zones, each int) []core.Host {
	var out []core.Host
	for zo := range zones {
		for i := range each {
			out = append(out, core.Host{
				Role: core.RoleEntry, Addr: fmt.Sprintf("10.%d.0.%d:1", zo, i),
				Zone: core.Zone(fmt.Sprintf("zone-%d", zo)), Region: core.Region(fmt.Sprintf("region-%d", zo/4)),
			})
		}
	}
	return out
}

// If each of 360 entries watched the store, the watches alone would take a fifth of its reads, and
// a mass restart far more.
func TestFewEntriesWatchTheStore(t *testing.T) {
	hosts := fleet(16, 22)
	readers := 0
	for _, ho := range hosts {
		if topology.WatchesStore(hosts, ho, true) {
			readers++
		}
	}
	assert.Equal(t, readers, 32)
}

// A preferred reader that has lost its connection to the store sends no updates. An entry that kept
// relying on it would use an outdated configuration indefinitely.
func TestEntryWithoutUpdatesWatchesTheStore(t *testing.T) {
	for _, ho := range fleet(2, 5) {
		assert.Assert(t, topology.WatchesStore(fleet(2, 5), ho, false))
	}
}

// Every entry must receive a change although few watch the store: from each reader a path over the
// links must lead to every other entry, also when any one entry is gone.
func TestEveryEntryReceivesAChange(t *testing.T) {
	all := fleet(16, 5)
	for gone := range all {
		hosts := append(append([]core.Host{}, all[:gone]...), all[gone+1:]...)
		links := map[string][]string{}
		for _, ho := range hosts {
			for _, pe := range topology.Peers(hosts, ho) {
				assert.Assert(t, pe.Addr != ho.Addr)
				links[ho.Addr] = append(links[ho.Addr], pe.Addr)
				links[pe.Addr] = append(links[pe.Addr], ho.Addr)
			}
		}
		start := topology.Readers(hosts, hosts[0].Zone)[0].Addr
		seen := map[string]bool{start: true}
		for queue := []string{start}; len(queue) > 0; queue = queue[1:] {
			for _, next := range links[queue[0]] {
				if !seen[next] {
					seen[next] = true
					queue = append(queue, next)
				}
			}
		}
		assert.Equal(t, len(seen), len(hosts))
	}
}
