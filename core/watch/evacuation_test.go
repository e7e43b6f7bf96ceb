package watch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/watch"
)

// layout decodes the keys of a platform with one upstream in each of two zones.
type layout struct{}

func (layout) Decode(it core.Item) (watch.Record, error) {
	switch it.Key {
	case "out/a", "out/b":
		return watch.Record{Evacuated: core.Zone(it.Key[4:])}, nil
	case "up/a", "up/b":
		id := core.UpstreamID(it.Key[3:])
		return watch.Record{Upstream: id, Host: &core.Host{ID: id, Service: "desk", Zone: core.Zone(id)}}, nil
	}
	return watch.Record{}, nil
}

func (wo fixture) serving() string {
	out := ""
	for _, ho := range wo.fl.Serving("desk", time.Now(), core.Regions{}) {
		out += string(ho.ID)
	}
	return out
}

func item(key string, re core.Revision) core.Item { return core.Item{Key: key, Revision: re} }

// TestEvacuationLastsUntilItsKeyIsRemoved guards against an evacuation that ends because of
// an older copy, a dropped history, or upstream listings that are removed and written again.
func TestEvacuationLastsUntilItsKeyIsRemoved(t *testing.T) {
	wo, now := newFixture("self", layout{}, true), time.Now()
	before := []core.Item{item("up/a", 1), item("up/b", 2)}
	wo.mi.Replace(before, 2, now)
	assert.Equal(t, wo.serving(), "ab")
	wo.mi.Apply([]core.Change{{Item: item("out/b", 5)}}, 5, now)
	assert.Equal(t, wo.serving(), "a")
	wo.mi.Replace(before, 2, now)
	assert.Equal(t, wo.serving(), "a", "an older copy")
	wo.mi.Apply([]core.Change{{Item: item("out/b", 4), Removed: true}}, 5, now)
	assert.Equal(t, wo.serving(), "a", "an older removal")
	wo.mi.Replace(append(before, item("out/b", 5)), 9, now)
	assert.Equal(t, wo.serving(), "a", "dropped history")
	wo.mi.Apply([]core.Change{{Item: item("up/b", 10), Removed: true}, {Item: item("up/b", 11)}}, 11, now)
	assert.Equal(t, wo.serving(), "a", "expired leases")
	wo.mi.Apply([]core.Change{{Item: item("out/b", 12), Removed: true}}, 12, now)
	assert.Equal(t, wo.serving(), "ab")
}

// TestEvacuationInTheFirstCopy guards against an entry that sends work to an evacuated zone
// right after its start, for any order of keys in the first copy.
func TestEvacuationInTheFirstCopy(t *testing.T) {
	wo := newFixture("self", layout{}, true)
	wo.mi.Replace([]core.Item{item("up/a", 7), item("up/b", 8), item("out/b", 5)}, 9, time.Now())
	assert.Equal(t, wo.serving(), "a")
}
