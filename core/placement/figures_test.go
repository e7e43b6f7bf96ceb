package placement_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/placement"
	"skylarkstand/test/figure"
)

func TestFiguresLoadPlacementCost(t *testing.T) {
	if os.Getenv("SKYLARKSTAND_MEASURE") != "1" {
		t.Skip("set SKYLARKSTAND_MEASURE=1 or run make measure to print the figures")
	}
	for _, prefix := range []uint64{0, 1} {
		res := testing.Benchmark(func(bb *testing.B) { benchmarkPick(bb, prefix) })
		if res.N == 0 {
			t.Fatal("the benchmark of Pick failed before it finished")
		}
		name := "placement-subset-of-64"
		if prefix != 0 {
			name += "-with-prefix"
		}
		figure.AtMost(name, float64(res.NsPerOp())/1000, "us", 2)
		figure.AtMost(name+"-allocations", float64(res.AllocsPerOp()), "count", 0)
	}
}

// benchmarkPick measures one decision among 64 upstreams with recorded responses.
func benchmarkPick(bb *testing.B, prefix uint64) {
	now := time.Unix(100, 0)
	pk := placement.New("muc-a", "muc")
	po := placement.Pool{Target: core.ModelVersion{Model: "drafter", Version: "v1"}}
	cands := make([]core.Upstream, placement.MaxSubset)
	for ix := range cands {
		cands[ix] = upstream(fmt.Sprintf("drafter-%d", ix), []core.Zone{"muc-a", "muc-b"}[ix%2], "muc", ix%8)
		cands[ix].IDHash = placement.Hash(cands[ix].Host.ID)
		cands[ix].ReportedAt = now.Add(-time.Duration(ix) * time.Millisecond)
		pk.RecordSent(now, cands[ix].Host.ID)
		pk.RecordFirstChunk(now.Add(time.Millisecond), po, cands[ix].Host.ID, now)
		pk.RecordChunks(po, cands[ix].Host.ID, time.Millisecond, 1)
	}
	rnd := rand.New(rand.NewPCG(1, 2))
	rq := placement.Request{Pool: po, Body: 1000}
	draw := rnd.IntN
	bb.ReportAllocs()
	bb.ResetTimer()
	for ix := range bb.N {
		if prefix != 0 {
			rq.Prefix = uint64(ix + 1)
		}
		if _, ok := pk.Pick(now, rq, cands, draw); !ok {
			bb.Fatal("Pick found no upstream")
		}
	}
}
