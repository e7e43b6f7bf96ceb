package app

import (
	"testing"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/feed"
)

// Guards against a region whose entries all take another one for its reader, and
// against a process that relies on others before these can know of it.
func TestReadersOfARegion(t *testing.T) {
	regions := map[core.Zone]core.Region{"muc-a": "muc", "muc-b": "muc", "nue-a": "nue"}
	me := newMembers()
	var all []feed.Member
	for _, id := range []core.ProcessID{"p1", "p2", "p3", "p4", "p5", "p6"} {
		all = append(all, feed.Member{ID: id, Zone: "muc-a"}, feed.Member{ID: id + "-far", Zone: "nue-a"})
	}
	me.list = func() []feed.Member { return all }
	readers := 0
	for _, mb := range all {
		if regions[mb.Zone] == "muc" && me.reads(mb.ID, regions, "muc") {
			readers++
		}
	}
	assert.Equal(t, readers, readersPerRegion)
	assert.Assert(t, me.reads("new", regions, "muc"), "it is not registered yet")
	all = all[:4]
	assert.Assert(t, me.reads("p1", regions, "muc") && me.reads("p2", regions, "muc"), "there are few")
}

// Guards against a process that tells itself what it has sent, since another one was
// registered at its address before.
func TestOwnAddressIsNoOtherEntry(t *testing.T) {
	regions := map[core.Zone]core.Region{"muc-a": "muc", "nue-a": "nue"}
	me := newMembers()
	me.list = func() []feed.Member {
		return []feed.Member{{ID: "gone", Addr: "one", Zone: "muc-a"}, {ID: "p2", Addr: "two", Zone: "muc-a"}, {ID: "p3", Addr: "three", Zone: "nue-a"}}
	}
	assert.DeepEqual(t, me.near("one", regions, "muc"), []string{"two"})
	assert.DeepEqual(t, me.others("one"), []string{"two", "three"})
}
