package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/balance"
)

// twoRegions returns engines of the local and of another region. Entries here get the load of the
// others only from responses.
func twoRegions() []core.Host {
	hosts := poolHosts(4, 64)
	for i := range 4 {
		hosts = append(hosts, core.Host{ID: core.UpstreamID(fmt.Sprint("far-", i)), Service: "s", Zone: "nue-a", Region: "nue", Slots: 64})
	}
	return hosts
}

// announceLocalWait announces that prompts wait at the engines of the local region.
func announceLocalWait(pk *balance.Picker, wait time.Duration) {
	var lo balance.Load
	for _, ho := range poolHosts(4, 64) {
		lo.Upstreams = append(lo.Upstreams, balance.UpstreamLoad{Upstream: balance.Hash(ho.ID), Own: 2, Pending: wait})
	}
	pk.ReceiveLoad(start, 7, lo)
}

// The entries of another region announce no load here. Guards against taking the engines there as
// idle: many entries would send their work there at once.
func TestRemoteEnginesAreNotAssumedIdle(t *testing.T) {
	rnd := rand.New(rand.NewPCG(5, 1))
	pk := balance.New("muc-a", "muc")
	announceLocalWait(pk, 800*time.Millisecond)
	for range 20 {
		// The prompt shares nothing, so that no engine is preferred for it.
		rq := balance.Request{Service: "s", Model: "large", Engine: true, Prompt: 1000, Route: "ask"}
		ho, _ := pk.Pick(start, twoRegions(), rq, rnd.Float64)
		assert.Equal(t, ho.Region, core.Region("muc"))
	}
}

// Guards against admitting everything because engines of another region look idle.
func TestMinWaitUsesLocalRegion(t *testing.T) {
	pk := balance.New("muc-a", "muc")
	announceLocalWait(pk, 900*time.Millisecond)
	hosts := twoRegions()
	assert.Equal(t, pk.MinWait(start, hosts), 900*time.Millisecond)
	hosts[0], hosts[5] = hosts[5], hosts[0]
	assert.Equal(t, pk.MinWait(start, hosts), 900*time.Millisecond)
	assert.Assert(t, pk.MinWait(start, hosts[6:]) <= 900*time.Millisecond, "the list has no local engine")
}

// unsharedRequest has a prompt that shares nothing, so that no engine is preferred for it.
var unsharedRequest = balance.Request{Service: "s", Model: "large", Engine: true, Prompt: 1000, Route: "ask"}

// regionLoad returns a region's load, the same at each of its engines.
func regionLoad(region core.Region, wait time.Duration) balance.RegionLoad {
	lo := balance.RegionLoad{Region: balance.Hash(region)}
	for i := range 4 {
		id := core.UpstreamID(fmt.Sprint("far-", i))
		lo.Upstreams = append(lo.Upstreams, balance.UpstreamLoad{Upstream: balance.Hash(id), Own: 2, Pending: wait})
	}
	return lo
}

// TestWorkGoesToRegionThatAnnouncesIdleEngines guards against callers that wait in a region that
// has lost engines while those of another one are idle, and against many entries that move to one
// that is busier still.
func TestWorkGoesToRegionThatAnnouncesIdleEngines(t *testing.T) {
	scenarios := []struct {
		testName  string
		announced balance.RegionLoad
		age       time.Duration
		want      core.Region
	}{
		{"idle", regionLoad("nue", 0), 0, "nue"},
		{"busier", regionLoad("nue", 2*time.Second), 0, "muc"},
		{"idle in an expired announcement", regionLoad("nue", 0), 3 * time.Second, "muc"},
		{"announced by the local region only", regionLoad("muc", 0), 0, "muc"},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(5, 1))
			pk := balance.New("muc-a", "muc")
			announceLocalWait(pk, 800*time.Millisecond)
			pk.ReceiveRegionLoad(start.Add(-sc.age), sc.announced)
			for range 20 {
				ho, _ := pk.Pick(start, twoRegions(), unsharedRequest, rnd.Float64)
				assert.Equal(t, ho.Region, sc.want)
			}
		})
	}
}

// TestRegionLoadSumsAllEntries guards against a region that announces the load of one entry as its
// own, and against datagrams that grow with the number of its upstreams.
func TestRegionLoadSumsAllEntries(t *testing.T) {
	pk := balance.New("muc-a", "muc")
	hosts := poolHosts(4, 64)
	for i := range hosts {
		_ = pk.RecordSent(start, hosts[i], unsharedRequest)
	}
	announceLocalWait(pk, 400*time.Millisecond)
	lo := pk.RegionLoad(start, 3)
	assert.Equal(t, lo.Region, balance.Hash(core.Region("muc")))
	assert.Equal(t, len(lo.Upstreams), 3)
	for _, ul := range append(lo.Upstreams, lo.Others) {
		assert.Equal(t, ul.Own, 3)
		assert.Assert(t, ul.Pending > 400*time.Millisecond)
	}
	lo = pk.RegionLoad(start.Add(time.Minute), 64)
	for _, ul := range lo.Upstreams {
		assert.Equal(t, ul.Own, 1, "the announced loads have expired")
	}
}

// TestRemoteCallsAreAnnouncedThere guards against a long prompt that goes to another region and is
// unknown there, so that other prompts are sent to wait behind it.
func TestRemoteCallsAreAnnouncedThere(t *testing.T) {
	here, there := balance.New("muc-a", "muc"), balance.New("nue-a", "nue")
	hosts := twoRegions()
	far := hosts[len(hosts)-1]
	_ = here.RecordSent(start, far, draftRequest("plan-1", 1))
	_ = here.RecordSent(start, hosts[0], draftRequest("plan-2", 2))
	sent := here.TakeRemoteCalls()
	assert.Equal(t, len(sent), 1)
	assert.Equal(t, sent[0].To, balance.Hash(core.Region("nue")))
	assert.Equal(t, len(sent[0].Calls), 1)
	assert.Equal(t, len(here.TakeRemoteCalls()), 0, "calls are announced once")

	wait := func() time.Duration { return there.MinWait(start, []core.Host{far}) }
	there.ReceiveRemoteCalls(start, sent[0])
	assert.Equal(t, wait(), time.Duration(0), "the region has announced no load")
	there.ReceiveLoad(start, 7, balance.Load{})
	there.ReceiveRegionLoad(start, balance.RegionLoad{Region: sent[0].From})
	there.ReceiveRemoteCalls(start, sent[0])
	assert.Assert(t, wait() > 500*time.Millisecond, "%s", wait())
	there.ReceiveRegionLoad(start, balance.RegionLoad{Region: sent[0].From, Upstreams: sent[0].Calls})
	assert.Equal(t, wait(), sent[0].Calls[0].Pending, "the call counts once")
}

// TestRemoteOnlyPromptsAreNotAnnounced guards against hashes of a prompt that are sent to entries of
// a region in which its request must not be served.
func TestRemoteOnlyPromptsAreNotAnnounced(t *testing.T) {
	pk := balance.New("muc-a", "muc")
	rq := draftRequest("plan-1", 1)
	rq.RemoteOnly = true
	_ = pk.RecordSent(start, twoRegions()[5], rq)
	assert.Equal(t, len(pk.TakeLoad().CachedParts), 0)
	rq.RemoteOnly = false
	_ = pk.RecordSent(start, twoRegions()[0], rq)
	assert.Assert(t, len(pk.TakeLoad().CachedParts) > 0)
}
