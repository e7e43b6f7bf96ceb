package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"skylarkstand/core"
	"skylarkstand/core/placement"
)

func upstream(id string, zo core.Zone, re core.Region, running int) core.Upstream {
	return core.Upstream{
		Host: core.Host{ID: core.UpstreamID(id), Zone: zo, Region: re}, Connected: true,
		Load: core.Load{Running: running, Slots: 8},
	}
}

// Pick never returns an upstream that is leaving, whose link is down, or that was
// tried already. Its caller would lose the response midway, or wait for one that never
// arrives.
func TestPickTakesOnlyAvailableUpstreams(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var cands []core.Upstream
		var tried []core.UpstreamID
		available := map[core.UpstreamID]bool{}
		for ix := range rapid.IntRange(0, 70).Draw(rt, "upstreams") {
			re := rapid.SampledFrom([]core.Region{"muc", "nue"}).Draw(rt, "region")
			up := upstream(fmt.Sprint(ix), rapid.SampledFrom([]core.Zone{"a", "b"}).Draw(rt, "zone"), re, rapid.IntRange(0, 20).Draw(rt, "running"))
			up.Connected, up.Leaving = rapid.Bool().Draw(rt, "up"), rapid.Bool().Draw(rt, "leaving")
			if rapid.IntRange(0, 4).Draw(rt, "tried") == 0 {
				tried = append(tried, up.Host.ID)
			} else if up.Connected && !up.Leaving && ix < placement.MaxSubset {
				available[up.Host.ID] = true
			}
			cands = append(cands, up)
		}
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0))
		pk := placement.New("a", "muc")
		rq := placement.Request{Prefix: rapid.Uint64().Draw(rt, "prefix"), CrossRegion: rapid.Bool().Draw(rt, "cross"), Tried: tried}
		ch, ok := pk.Pick(time.Unix(1, 0), rq, cands, rnd.IntN)
		assert.Equal(rt, ok, len(available) > 0)
		assert.Assert(rt, !ok || available[ch.ID])
	})
}

// countPicks counts the picks per upstream over 1000 attempts.
func countPicks(pk *placement.Picker, rq placement.Request, cands []core.Upstream) map[core.UpstreamID]int {
	rnd := rand.New(rand.NewPCG(1, 1))
	got := map[core.UpstreamID]int{}
	for range 1000 {
		if ch, ok := pk.Pick(time.Unix(1, 0), rq, cands, rnd.IntN); ok {
			got[ch.ID]++
		}
	}
	return got
}

func TestPickByDistanceAndLoad(t *testing.T) {
	scenarios := []struct {
		testName string
		loads    [3]int // of the upstreams near, neighbour and far
		rq       placement.Request
		want     core.UpstreamID
	}{
		{"the local zone while it has free slots", [3]int{4, 0, 0}, placement.Request{}, "near"},
		{"the region once the zone is full", [3]int{8, 2, 0}, placement.Request{}, "neighbour"},
		{"no other region without admission there", [3]int{12, 9, 0}, placement.Request{}, "neighbour"},
		{"another region if admitted there", [3]int{8, 8, 2}, placement.Request{CrossRegion: true}, "far"},
		{"not another region that has filled up", [3]int{9, 8, 8}, placement.Request{CrossRegion: true}, "neighbour"},
		{"not an upstream that was tried already", [3]int{0, 0, 0}, placement.Request{Tried: []core.UpstreamID{"near"}}, "neighbour"},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			pk := placement.New("a", "muc", placement.CrossRegionBudget(1<<40))
			got := countPicks(pk, sc.rq, []core.Upstream{
				upstream("near", "a", "muc", sc.loads[0]), upstream("neighbour", "b", "muc", sc.loads[1]), upstream("far", "c", "nue", sc.loads[2]),
			})
			assert.Equal(t, got[sc.want], 1000)
		})
	}
}

// A region stays full and its requests go to another one. Without a budget, the paid
// link would fill up as well: the cost grows, and the store's traffic waits behind
// responses, so that configuration updates are delayed.
func TestCrossRegionBudget(t *testing.T) {
	const rate = 100 << 10
	pk := placement.New("a", "muc", placement.CrossRegionBudget(rate))
	cands := []core.Upstream{upstream("far", "c", "nue", 0)}
	rnd := rand.New(rand.NewPCG(1, 1))
	sent := 0
	for step := range 600 {
		now := time.Unix(1, 0).Add(time.Duration(step) * 100 * time.Millisecond)
		for range 10 {
			if ch, ok := pk.Pick(now, placement.Request{Body: 8 << 10, CrossRegion: true}, cands, rnd.IntN); ok && ch.CrossRegion {
				pk.ChargeCrossRegion(now, 20<<10)
				sent += 28 << 10
			}
		}
	}
	assert.Assert(t, sent <= 62*rate, "%d bytes crossed regions in a minute", sent)
	assert.Assert(t, sent >= 50*rate, "%d bytes crossed regions in a minute", sent)
	_, ok := placement.New("a", "muc", placement.CrossRegionBudget(0)).Pick(time.Unix(1, 0), placement.Request{}, cands, rnd.IntN)
	assert.Assert(t, !ok, "an attempt crossed regions without a budget")
}

// All callers of a workspace share a prompt prefix. With unbounded affinity, they would
// all queue at one upstream while others are idle.
func TestAffinityIsBounded(t *testing.T) {
	var cands []core.Upstream
	for ix := range 8 {
		cands = append(cands, upstream(fmt.Sprint(ix), "a", "muc", 1))
	}
	rq := placement.Request{Prefix: 42}
	got := countPicks(placement.New("a", "muc"), rq, cands)
	assert.Equal(t, len(got), 1, "an idle pool must send all attempts with one prefix to one upstream")
	for ix := range cands {
		if got[cands[ix].Host.ID] > 0 {
			cands[ix].OwnAttempts = 7
		}
	}
	for id := range countPicks(placement.New("a", "muc"), rq, cands) {
		assert.Assert(t, got[id] == 0, "an attempt went to the full upstream")
	}
}

// An upstream becomes slow and later recovers. It must get only probes while it is
// slow, and its share of the attempts afterwards; otherwise the pool would lose it.
func TestSlowUpstreamIsProbedAndRecovers(t *testing.T) {
	pk := placement.New("a", "muc")
	var cands []core.Upstream
	for ix := range 8 {
		cands = append(cands, upstream(fmt.Sprint(ix), "a", "muc", 0))
	}
	rnd := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(1, 0)
	run := func(slowTime time.Duration) (toSlow int) {
		for range 4000 {
			ch, _ := pk.Pick(now, placement.Request{}, cands, rnd.IntN)
			pk.RecordSent(now, ch.ID)
			pk.RecordFirstChunk(now.Add(time.Millisecond), placement.Pool{}, ch.ID, now)
			took := 10 * time.Millisecond
			if ch.ID == "0" {
				took = slowTime
				toSlow++
			}
			pk.RecordChunks(placement.Pool{}, ch.ID, took, 1)
			now = now.Add(20 * time.Millisecond)
		}
		return toSlow
	}
	assert.Assert(t, run(10*time.Millisecond) > 300)
	assert.Assert(t, run(100*time.Millisecond) < 30)
	assert.Assert(t, run(10*time.Millisecond) > 100)
}

// A version has a thousand hosts. Each entry uses its own subset, and removing one host
// must change at most one place in it; otherwise the prefix caches would be lost.
func TestSubset(t *testing.T) {
	var hosts []core.Host
	for ix := range 1000 {
		ho := core.Host{ID: core.UpstreamID(fmt.Sprint(ix)), Zone: core.Zone("z" + fmt.Sprint(ix%4)), Region: "muc"}
		if ix%4 == 3 {
			ho.Region = "nue"
		}
		hosts = append(hosts, ho)
	}
	count := func(sub []core.Host) (zone, region, remote int) {
		for _, ho := range sub {
			switch {
			case ho.Zone == "z0":
				zone++
			case ho.Region == "muc":
				region++
			default:
				remote++
			}
		}
		return zone, region, remote
	}
	one := placement.Subset("entry-1", "z0", "muc", hosts)
	assert.Equal(t, len(one), placement.MaxSubset)
	zone, region, remote := count(one)
	assert.Assert(t, zone > region && region > 0 && remote > 0, "%d %d %d", zone, region, remote)
	kept := map[core.UpstreamID]bool{}
	for _, ho := range one {
		kept[ho.ID] = true
	}
	common := 0
	for _, ho := range placement.Subset("entry-1", "z0", "muc", hosts[1:]) {
		if kept[ho.ID] {
			common++
		}
	}
	assert.Assert(t, common >= placement.MaxSubset-1)
}

// Two entries share a region. An entry gets all free slots, and at least its even share
// even if the other entry has filled the pool.
func TestCapacityIsSharedAmongEntries(t *testing.T) {
	pk := placement.New("a", "muc")
	cands := []core.Upstream{upstream("1", "a", "muc", 0), upstream("2", "a", "muc", 0)}
	assert.Equal(t, pk.Capacity(cands, 2), placement.Capacity{EntrySlots: 16, TotalSlots: 16})
	cands[0].Load.Running, cands[1].Load.Running = 8, 8
	assert.Equal(t, pk.Capacity(cands, 2), placement.Capacity{EntrySlots: 8, TotalSlots: 16})
	cands[0].OwnAttempts, cands[0].OwnAtReport = 8, 8
	assert.Equal(t, pk.Capacity(cands, 2), placement.Capacity{EntrySlots: 8, TotalSlots: 16})
}
