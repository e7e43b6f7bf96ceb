package membership_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/membership"
	"skylarkstand/core/watch"
)

var (
	regions = map[core.Zone]core.Region{"muc-a": "muc", "muc-b": "muc", "nue-a": "nue"}
	start   = time.Unix(1_000_000, 0)
)

// group lists a number of entries in two zones of one region, and as many in another region.
func group(n int) []watch.Member {
	var out []watch.Member
	for i := range n {
		id := core.ProcessID(fmt.Sprint("p", i))
		out = append(out,
			watch.Member{ID: id, Addr: "addr-" + string(id), Zone: []core.Zone{"muc-a", "muc-b"}[i%2], Heartbeats: true},
			watch.Member{ID: id + "-far", Addr: "addr-far-" + string(id), Zone: "nue-a", Heartbeats: true})
	}
	return out
}

func newReaders(self watch.Member, all []watch.Member) *membership.Readers {
	return membership.NewReaders(self, regions, func() []watch.Member { return append([]watch.Member(nil), all...) })
}

func countReaders(now time.Time, views []*membership.Readers) int {
	sum := 0
	for _, rd := range views {
		if rd.IsReader(now) {
			sum++
		}
	}
	return sum
}

func viewsOf(all []watch.Member, zones ...core.Zone) []*membership.Readers {
	var out []*membership.Readers
	for _, me := range all {
		for _, zo := range zones {
			if me.Zone == zo {
				out = append(out, newReaders(me, all))
			}
		}
	}
	return out
}

// TestRegionHasItsNumberOfReaders guards against a region without a reader because each entry assumes
// that another one is the reader.
func TestRegionHasItsNumberOfReaders(t *testing.T) {
	for _, n := range []int{1, 2, 3, 33, 180, 360} {
		views := viewsOf(group(n), "muc-a", "muc-b")
		assert.Equal(t, countReaders(start, views), min(n, membership.PerRegion), "%d entries", n)
	}
}

// TestEntryWithoutContactIsAReader guards against a process that relies on others although it knows of
// none: it must read the store itself.
func TestEntryWithoutContactIsAReader(t *testing.T) {
	self := watch.Member{ID: "new", Addr: "addr-new", Zone: "muc-a"}
	rd := newReaders(self, nil)
	assert.Assert(t, rd.IsReader(start))
	rd.SetSponsor("addr-sponsor")
	assert.Assert(t, !rd.IsReader(start), "the sponsor serves it until it is listed")
	rd.HeartbeatSent(start, "addr-sponsor")
	assert.Assert(t, rd.IsReader(start.Add(time.Second)), "the sponsor does not answer")
}

// TestRestartedEntryIsAReaderInPlaceOfItsPredecessor guards against a region without a reader after all
// its entries have restarted: the list still holds their ended processes at the same addresses.
func TestRestartedEntryIsAReaderInPlaceOfItsPredecessor(t *testing.T) {
	all := group(40)
	readers := 0
	for _, me := range all {
		if regions[me.Zone] != "muc" {
			continue
		}
		me.ID += "-restarted"
		if newReaders(me, all).IsReader(start) {
			readers++
		}
	}
	assert.Equal(t, readers, membership.PerRegion)
}

// TestReadersWithoutTheStoreAreReplaced guards against a region that gets no changes because the store
// rejects all its readers, and against all its entries reading the store for that.
func TestReadersWithoutTheStoreAreReplaced(t *testing.T) {
	all := group(90)
	views := viewsOf(all, "muc-a", "muc-b")
	first := views[0].Addrs(start)
	for _, rd := range views {
		for _, addr := range first {
			rd.HeartbeatSent(start, addr)
			rd.AckReceived(start, addr, false)
		}
	}
	assert.Equal(t, countReaders(start, views), 2*membership.PerRegion, "the first ones go on trying, the next ones take over")
	assert.Equal(t, countReaders(start.Add(6*time.Second), views), membership.PerRegion)
}

// TestSilentReaderIsReplaced guards against relying on a reader that has ended, while its listing lasts.
func TestSilentReaderIsReplaced(t *testing.T) {
	all := group(90)
	rd := newReaders(all[0], all)
	first := rd.Addrs(start)
	now := start
	answer := func(addrs ...string) {
		for _, addr := range addrs {
			rd.HeartbeatSent(now, addr)
			rd.AckReceived(now, addr, true)
		}
	}
	answer(first...)
	for range 4 {
		now = now.Add(time.Second)
		rd.HeartbeatSent(now, first[0])
		answer(first[1:]...)
	}
	assert.DeepEqual(t, rd.Addrs(now)[:2], first[1:])
}
