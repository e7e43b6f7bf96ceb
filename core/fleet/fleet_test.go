package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/fleet"
)

var start = time.Unix(1_000_000, 0)

func ids(hosts []core.Host) string {
	out := ""
	for _, ho := range hosts {
		out += string(ho.ID)
	}
	return out
}

func listed(fl *fleet.Fleet, names string) {
	for _, na := range names {
		fl.Put(core.Host{ID: core.UpstreamID(na), Service: "desk"})
	}
}

// The store was away, all leases ran out, and at its return every upstream
// vanishes from the list although all of them run; they write themselves back
// within two seconds. Were they taken for gone, callers would be refused by a
// service that is idle. One that does not come back must be gone then.
func TestLapsedLeases(t *testing.T) {
	fl := fleet.New()
	listed(fl, "abc")
	for _, id := range []core.UpstreamID{"a", "b", "c"} {
		fl.Remove(id, start, true)
	}
	assert.Equal(t, ids(fl.Serving("desk", start.Add(time.Second))), "abc")
	listed(fl, "ab")
	assert.Equal(t, ids(fl.Serving("desk", start.Add(2400*time.Millisecond))), "abc")
	assert.Equal(t, ids(fl.Serving("desk", start.Add(2600*time.Millisecond))), "ab")
	assert.Equal(t, ids(fl.Serving("desk", start.Add(time.Hour))), "ab")
}

// An upstream leaves: it says so first, or its line just goes. It must get no
// new work from the moment that this is heard, also when the store is in trouble
// and it had said so before.
func TestLeaving(t *testing.T) {
	scenarios := []struct {
		testName string
		leave    func(fl *fleet.Fleet)
	}{
		{"says so", func(fl *fleet.Fleet) { fl.Put(core.Host{ID: "b", Service: "desk", Leaving: true}) }},
		{"is gone", func(fl *fleet.Fleet) { fl.Remove("b", start, false) }},
		{"says so and is gone in doubt", func(fl *fleet.Fleet) {
			fl.Put(core.Host{ID: "b", Service: "desk", Leaving: true})
			fl.Remove("b", start, true)
		}},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			fl := fleet.New()
			listed(fl, "abc")
			assert.Equal(t, ids(fl.Serving("desk", start)), "abc")
			sc.leave(fl)
			assert.Equal(t, ids(fl.Serving("desk", start)), "ac")
		})
	}
}

// An address is given to an upstream of another service under a new id. Work for
// the old service must not go there.
func TestServicesAreKeptApart(t *testing.T) {
	fl := fleet.New()
	listed(fl, "ab")
	fl.Remove("b", start, false)
	fl.Put(core.Host{ID: "c", Service: "drafter", Addr: "b"})
	assert.Equal(t, ids(fl.Serving("desk", start)), "a")
	assert.Equal(t, ids(fl.Serving("drafter", start)), "c")
	assert.Equal(t, fmt.Sprint(fl.Len()), "2")
}
