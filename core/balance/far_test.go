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

// twoRegions are engines here and in another region, of which entries here hear
// nothing but what answers report.
func twoRegions() []core.Host {
	hosts := pool(4, 64)
	for i := range 4 {
		hosts = append(hosts, core.Host{ID: core.UpstreamID(fmt.Sprint("far-", i)), Service: "s", Zone: "nue-a", Region: "nue", Slots: 64})
	}
	return hosts
}

// busyHere tells that prompts wait at the engines of the own region.
func busyHere(pk *balance.Picker, wait time.Duration) {
	var lo balance.Load
	for _, ho := range pool(4, 64) {
		lo.Shares = append(lo.Shares, balance.Share{Upstream: balance.HashOf(ho.ID), Own: 2, Pending: wait})
	}
	pk.Told(start, 7, lo)
}

// Guards against herds that cross to another region, whose engines look idle since
// its entries tell nobody here what they have there.
func TestEnginesOfAnotherRegionAreNotTakenForIdle(t *testing.T) {
	rnd := rand.New(rand.NewPCG(5, 1))
	pk := balance.New("muc-a", "muc")
	busyHere(pk, 800*time.Millisecond)
	for range 20 {
		// Its prompt shares nothing, so that no engine is preferred for it.
		rq := balance.Request{Service: "s", Model: "large", Engine: true, Prompt: 1000, Pool: "ask"}
		ho, _ := pk.Pick(start, twoRegions(), rq, rnd.Float64)
		assert.Equal(t, ho.Region, core.Region("muc"))
	}
}

// Guards against a gate that lets everybody in while engines of another region look
// idle.
func TestWaitIsThatOfTheOwnRegion(t *testing.T) {
	pk := balance.New("muc-a", "muc")
	busyHere(pk, 900*time.Millisecond)
	hosts := twoRegions()
	assert.Equal(t, pk.Wait(start, hosts), 900*time.Millisecond)
	hosts[0], hosts[5] = hosts[5], hosts[0]
	assert.Equal(t, pk.Wait(start, hosts), 900*time.Millisecond)
	assert.Assert(t, pk.Wait(start, hosts[6:]) <= 900*time.Millisecond, "there is no other")
}
