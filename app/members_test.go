package app

import (
	"testing"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/watch"
)

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
