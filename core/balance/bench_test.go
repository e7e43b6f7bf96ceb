package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"skylarkstand/core/balance"
)

// BenchmarkPick measures one selection at an entry that receives the loads of 150 others at 1,500
// engines.
func BenchmarkPick(b *testing.B) {
	const entries, engines, each = 150, 1500, 12
	rnd := rand.New(rand.NewPCG(1, 1))
	hosts := poolHosts(engines, 64)
	pk := balance.New("muc-a", "muc")
	announce := func(from uint64) {
		var lo balance.Load
		for range each {
			lo.Upstreams = append(lo.Upstreams, balance.UpstreamLoad{Upstream: balance.Hash(hosts[rnd.IntN(engines)].ID), Own: 1})
		}
		pk.ReceiveLoad(start, from, lo)
	}
	for i := range entries {
		announce(uint64(i))
	}
	n := 0
	for b.Loop() {
		n++
		announce(uint64(n % entries))
		rq := draftRequest(fmt.Sprint("plan-", n%200), n)
		ho, _ := pk.Pick(start, hosts, rq, rnd.Float64)
		pk.RecordEnd(start, pk.RecordSent(start, ho, rq), balance.Good)
	}
}
