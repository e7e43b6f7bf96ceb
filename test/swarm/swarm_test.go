//go:build !race

package swarm_test

import (
	"flag"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/test/swarm"
)

// The bounds of the users: a configuration is in force everywhere within four seconds also while the
// store rejects entries, and entries serve again ten seconds after the loss of all.
const (
	inForce = 4 * time.Second
	again   = 10 * time.Second
	// maxCopies bounds how many copies of a change one entry sends, whatever the number of entries.
	maxCopies = 60
)

// large plays the sizes of whole fleets as well, which takes some minutes.
var large = flag.Bool("large", false, "also play 360 and 720 entries")

// sizes returns the numbers of entries that are played: three sizes, each twice the one before.
func sizes() []int {
	if *large {
		return []int{180, 360, 720}
	}
	return []int{24, 48, 96}
}

// run runs a swarm of a number of entries that have started and are listed.
func run(t *testing.T, n int, test func(t *testing.T, sw *swarm.Swarm)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		sw := swarm.New(swarm.Entries(n))
		defer sw.Close()
		sw.StartAll()
		took, ok := sw.AwaitListed(12 * time.Second)
		assert.Assert(t, ok, "%d entries", n)
		t.Logf("%d entries: listed after %s, %+v", n, took, sw.Usage())
		test(t, sw)
	})
}

// TestStoreCallsDoNotGrowWithTheEntries guards against calls that each entry makes of the store, at its
// start and while nothing happens.
func TestStoreCallsDoNotGrowWithTheEntries(t *testing.T) {
	calls := map[int]int{}
	for _, n := range sizes() {
		synctest.Test(t, func(t *testing.T) {
			sw := swarm.New(swarm.Entries(n))
			defer sw.Close()
			sw.StartAll()
			_, ok := sw.AwaitListed(12 * time.Second)
			assert.Assert(t, ok)
			start := sw.Usage()
			time.Sleep(30 * time.Second)
			us := sw.Usage()
			t.Logf("%d entries: start %+v, 30 s %+v", n, start, us)
			calls[n] = start.StoreCalls + us.StoreCalls
		})
	}
	last := sizes()[2]
	assert.Assert(t, calls[last] <= 600, "%v", calls)
	assert.Assert(t, float64(calls[last])/2 <= 1.2*float64(calls[last/2]), "%v", calls)
}

// TestChangeReachesAllEntries guards against a reader that every entry of its region gets a change from:
// the time would grow with their number.
func TestChangeReachesAllEntries(t *testing.T) {
	for _, n := range sizes() {
		run(t, n, func(t *testing.T, sw *swarm.Swarm) {
			took, ok := sw.AwaitVersion(sw.Configure(), time.Second)
			us := sw.Usage()
			t.Logf("%d entries: in force after %s, %+v", n, took, us)
			assert.Assert(t, ok)
			assert.Assert(t, us.MostBytes < maxCopies*us.Bytes/n, "one entry sends %d of %d bytes", us.MostBytes, us.Bytes)
		})
	}
}

// TestStormOfChangesWhileTheStoreRejectsEntries guards against configurations that come into force late
// because a third of the entries, and the readers among them, get nothing from the store.
func TestStormOfChangesWhileTheStoreRejectsEntries(t *testing.T) {
	for _, n := range sizes() {
		run(t, n, func(t *testing.T, sw *swarm.Swarm) {
			for _, reject := range []func(){func() { sw.Reject(3) }, sw.RejectReaders} {
				reject()
				longest := time.Duration(0)
				for range 12 {
					version := sw.Configure()
					took, ok := sw.AwaitVersion(version, inForce)
					assert.Assert(t, ok, "%d entries", n)
					longest = max(longest, took)
					time.Sleep(max(330*time.Millisecond-took, 0))
				}
				us := sw.Usage()
				t.Logf("%d entries: in force after %s at most, %+v", n, longest, us)
				assert.Assert(t, us.StoreCalls <= 600, "%d calls", us.StoreCalls)
				sw.Reject(0)
				time.Sleep(10 * time.Second)
			}
		})
	}
}

// TestLossOfAllEntries guards against a start of all entries that does not end: each of them would list
// the store at the same moment, over the one link between the regions.
func TestLossOfAllEntries(t *testing.T) {
	for _, n := range sizes() {
		run(t, n, func(t *testing.T, sw *swarm.Swarm) {
			version := sw.Configure()
			sw.Stop(0, n)
			time.Sleep(1200 * time.Millisecond)
			sw.Usage()
			sw.StartAll()
			took, ok := sw.AwaitVersion(version, again)
			us := sw.Usage()
			t.Logf("%d entries: in force after %s, %+v", n, took, us)
			assert.Assert(t, ok)
			assert.Assert(t, us.StoreCalls <= 60+n/10, "%d calls", us.StoreCalls)
		})
	}
}

// TestLossOfMostEntriesAndTheSeeds guards against entries that depend on a few others for their first
// copy: the seeds stay away, and more than half of the rest start again.
func TestLossOfMostEntriesAndTheSeeds(t *testing.T) {
	run(t, 2*sizes()[0], func(t *testing.T, sw *swarm.Swarm) {
		version := sw.Configure()
		most := 11 * sizes()[0] / 10
		sw.Stop(0, most)
		time.Sleep(2 * time.Second)
		sw.Start(3, most)
		took, ok := sw.AwaitVersion(version, again)
		t.Logf("in force after %s, %+v", took, sw.Usage())
		assert.Assert(t, ok)
	})
}
