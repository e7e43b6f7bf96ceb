package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/claim"
)

// Two entries list the upstreams of a service in different orders, and one of them lacks an
// upstream. If their choices differed, agents would conflict on the same buckets and callers
// would wait. If an upstream were selected twice for one request, it would refuse twice.
func TestPreferredUpstreamAgreesAcrossEntries(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	ups := []core.Upstream{{Host: core.Host{ID: "down"}}, {Host: core.Host{ID: "leaving"}, Connected: true, Leaving: true}}
	for i := range 7 {
		ups = append(ups, core.Upstream{Host: core.Host{ID: core.UpstreamID(fmt.Sprint("booking-", i))}, Connected: true})
	}
	for i := range 100 {
		ke := claim.Key{Service: "booking", Idempotency: fmt.Sprint(i)}
		first := preferenceOrder(ke, ups)
		assert.Equal(t, len(first), 7)
		rnd.Shuffle(len(ups), func(aa, bb int) { ups[aa], ups[bb] = ups[bb], ups[aa] })
		assert.DeepEqual(t, preferenceOrder(ke, ups), first)
		lost := ups[0].Host.ID
		left := slices.DeleteFunc(first, func(id core.UpstreamID) bool { return id == lost })
		assert.DeepEqual(t, preferenceOrder(ke, ups[1:]), left)
	}
}

func preferenceOrder(ke claim.Key, ups []core.Upstream) []core.UpstreamID {
	var tried []core.UpstreamID
	for got := preferred(ke, ups, nil); len(got) > 0; got = preferred(ke, ups, tried) {
		tried = append(tried, got[0].Host.ID)
	}
	return tried
}
