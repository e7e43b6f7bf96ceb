package app

import (
	"testing"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/watch"
)

// Guards against a region without a reader because each entry assumes that another one is the
// reader, and against a process that relies on others before it is registered.
func TestRegionHasItsNumberOfReaders(t *testing.T) {
	regions := map[core.Zone]core.Region{"muc-a": "muc", "muc-b": "muc", "nue-a": "nue"}
	me := newMembers()
	var all []watch.Member
	for _, id := range []core.ProcessID{"p1", "p2", "p3", "p4", "p5", "p6"} {
		all = append(all, watch.Member{ID: id, Zone: "muc-a"}, watch.Member{ID: id + "-far", Zone: "nue-a"})
	}
	me.list = func() []watch.Member { return all }
	readers := 0
	for _, mb := range all {
		if regions[mb.Zone] == "muc" && me.isReader(mb.ID, regions, "muc") {
			readers++
		}
	}
	assert.Equal(t, readers, readersPerRegion)
	assert.Assert(t, me.isReader("new", regions, "muc"), "an unregistered process must read the store itself")
	all = all[:4]
	assert.Assert(t, me.isReader("p1", regions, "muc") && me.isReader("p2", regions, "muc"), "with fewer entries than readersPerRegion, all must be readers")
}

// Guards against a process that gossips to itself because another process was registered at its
// address before.
func TestOtherEntriesExcludeOwnAddress(t *testing.T) {
	regions := map[core.Zone]core.Region{"muc-a": "muc", "nue-a": "nue"}
	me := newMembers()
	me.list = func() []watch.Member {
		return []watch.Member{{ID: "gone", Addr: "one", Zone: "muc-a"}, {ID: "p2", Addr: "two", Zone: "muc-a"}, {ID: "p3", Addr: "three", Zone: "nue-a"}}
	}
	assert.DeepEqual(t, me.othersInRegion("one", regions, "muc"), []string{"two"})
	assert.DeepEqual(t, me.others("one"), []string{"two", "three"})
}
