package feed_test

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/feed"
)

// TestProcessTakesThePlaceOfTheOneBefore guards against entries that are told of
// everything twice after a restart, at the address of the process that is gone and of
// the new one, and add up what they hear.
func TestProcessTakesThePlaceOfTheOneBefore(t *testing.T) {
	wo := newWorld("self", layout{}, false)
	register := func(id, addr string, re core.Revision) core.Item {
		raw, err := json.Marshal(feed.Member{Addr: addr, Zone: "a"})
		assert.NilError(t, err)
		return core.Item{Key: feed.PrefixEntries + id, Value: raw, Revision: re}
	}
	ids := func() []string {
		var out []string
		for _, me := range wo.fd.Members() {
			out = append(out, string(me.ID))
		}
		slices.Sort(out)
		return out
	}
	now := time.Now()
	wo.mi.Replace([]core.Item{register("old-1", "one", 1), register("old-2", "two", 2)}, 2, now)
	assert.DeepEqual(t, ids(), []string{"old-1", "old-2"})
	again := register("new-1", "one", 5)
	wo.mi.Apply([]core.Change{{Item: again}}, 5, now)
	assert.DeepEqual(t, ids(), []string{"new-1", "old-2"})
	assert.Equal(t, wo.fd.Entries(), 3, "its repeats count until its lease has ended")
	wo.mi.Apply([]core.Change{{Item: core.Item{Key: feed.PrefixEntries + "old-1", Revision: 6}, Gone: true}}, 6, now)
	assert.DeepEqual(t, ids(), []string{"new-1", "old-2"})
}
