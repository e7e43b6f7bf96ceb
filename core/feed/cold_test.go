package feed_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/feed"
	"skylarkstand/core/warmup"
)

// coldLayout is a platform whose lines of upstreams hold how long they stay cold.
type coldLayout struct{}

func (coldLayout) Decode(it core.Item) (feed.Entry, error) {
	if it.Key == "out/z" {
		return feed.Entry{Evacuated: "z"}, nil
	}
	id := core.UpstreamID(it.Key[3:])
	var left time.Duration
	if len(it.Value) > 0 {
		if err := json.Unmarshal(it.Value, &left); err != nil {
			return feed.Entry{Upstream: id}, err
		}
	}
	return feed.Entry{Upstream: id, Host: &core.Host{ID: id, Service: "pool", Zone: "z", Region: "r", Warming: left}}, nil
}

// coldBound allows twelve requests in one second.
var coldBound = warmup.Bound{Rate: 5.2, Duration: 3 * time.Second}

const permits = 12

// coldEntry is one entry with its own copy of the store.
type coldEntry struct {
	world
	next int           // the next change of the log
	lag  time.Duration // how late it hears of changes
	// until is when a pause ends.
	until time.Time
}

func newColdEntry(id core.ProcessID, lag time.Duration) *coldEntry {
	return &coldEntry{world: newWorld(id, coldLayout{}, false), lag: lag}
}

// logged is a change of the store and when it was made.
type logged struct {
	change core.Change
	at     time.Time
}

// coldWorld is a store, entries that press on one upstream, and what it gets.
type coldWorld struct {
	rng      *rand.Rand
	log      []logged
	entries  []*coldEntry
	arrivals []time.Time
	begins   []begin
	loose    bool
	// started counts the entries that started meanwhile.
	started int
	// end is when the upstream is warm.
	end time.Time
}

// begin is a request under way, and when its upstream begins to answer.
type begin struct {
	at     time.Time
	permit *warmup.Permit
}

func (wo *coldWorld) write(key string, val any, gone bool) {
	raw, _ := json.Marshal(val)
	re := core.Revision(len(wo.log) + 1)
	wo.log = append(wo.log, logged{core.Change{Item: core.Item{Key: key, Value: raw, Revision: re}, Gone: gone}, time.Now()})
}

func (wo *coldWorld) join(id string) {
	wo.write(feed.PrefixEntries+id, feed.Member{Zone: "z"}, false)
}

// copyOf returns the store's content after so many changes.
func (wo *coldWorld) copyOf(n int) ([]core.Item, core.Revision) {
	items := map[string]core.Item{}
	for _, lo := range wo.log[:n] {
		items[lo.change.Key] = lo.change.Item
		if lo.change.Gone {
			delete(items, lo.change.Key)
		}
	}
	var out []core.Item
	for _, it := range items {
		out = append(out, it)
	}
	return out, core.Revision(n)
}

// hear has an entry take in the changes that have reached it, at times by a new
// copy.
func (wo *coldWorld) hear(en *coldEntry) {
	now, first := time.Now(), en.next
	for en.next < len(wo.log) && !now.Before(wo.log[en.next].at.Add(en.lag)) {
		en.next++
	}
	if en.next == first {
		return
	}
	if wo.rng.IntN(12) == 0 && !wo.loose || en.mi.Revision() == 0 {
		items, re := wo.copyOf(en.next)
		en.mi.Replace(items, re, now)
		return
	}
	var batch []core.Change
	for _, lo := range wo.log[first:en.next] {
		batch = append(batch, lo.change)
	}
	en.mi.Apply(batch, core.Revision(en.next), now)
}

// press sends as many requests as an entry may.
func (wo *coldWorld) press(en *coldEntry) {
	now := time.Now()
	for _, ho := range en.fl.Serving("pool", now, core.Regions{}) {
		for range permits {
			pe, ok := en.wu.Take(now, &ho, coldBound, false)
			if !ok {
				break
			}
			arrives := now.Add(time.Duration(wo.rng.IntN(1500)) * time.Millisecond)
			wo.arrivals = append(wo.arrivals, arrives)
			if wo.loose {
				arrives = now // The permit is given back before the request arrives.
			}
			wo.begins = append(wo.begins, begin{arrives.Add(time.Duration(wo.rng.IntN(400)) * time.Millisecond), pe})
		}
	}
}

func (wo *coldWorld) step() {
	now := time.Now()
	wo.begins = slices.DeleteFunc(wo.begins, func(be begin) bool {
		if now.Before(be.at) {
			return false
		}
		be.permit.Release(now)
		return true
	})
	for _, en := range wo.entries {
		if now.Before(en.until) {
			continue
		}
		if wo.rng.IntN(2000) == 0 {
			en.until = now.Add(time.Duration(wo.rng.IntN(3000)) * time.Millisecond)
		}
		wo.hear(en)
		wo.press(en)
	}
}

// most returns the most arrivals in any second in which the upstream is cold.
func (wo *coldWorld) most() int {
	slices.SortFunc(wo.arrivals, time.Time.Compare)
	most, first := 0, 0
	for i, at := range wo.arrivals {
		if at.After(wo.end) {
			break
		}
		for at.Sub(wo.arrivals[first]) > time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// playCold plays three seconds of a cold upstream before forty entries, of which
// some start, leave, pause and hear late.
func playCold(seed uint64, evacuated, loose bool) *coldWorld {
	wo := &coldWorld{rng: rand.New(rand.NewPCG(seed, 1)), loose: loose}
	for i := range 40 {
		wo.join(fmt.Sprint("p", i))
	}
	if evacuated {
		wo.write("up/1", 0, false)
		wo.write("out/z", nil, false)
	}
	for i := range 40 {
		en := newColdEntry(core.ProcessID(fmt.Sprint("p", i)), time.Duration(wo.rng.IntN(1500))*time.Millisecond)
		if wo.rng.IntN(10) == 0 {
			en.lag = time.Hour // It is cut off from the store and the others.
		}
		items, re := wo.copyOf(len(wo.log))
		en.mi.Replace(items, re, time.Now())
		en.next = len(wo.log)
		wo.entries = append(wo.entries, en)
	}
	for range wo.rng.IntN(6) {
		wo.write(feed.PrefixEntries+fmt.Sprint("p", wo.rng.IntN(40)), nil, true)
	}
	if evacuated {
		wo.write("out/z", nil, true)
	} else {
		wo.write("up/1", 3*time.Second, false)
	}
	cold := time.Now().Add(3 * time.Second)
	for now := time.Now(); now.Before(cold); now = time.Now() {
		switch wo.rng.IntN(120) {
		case 0:
			wo.write(feed.PrefixEntries+fmt.Sprint("p", wo.rng.IntN(40)), nil, true)
		case 1:
			id := fmt.Sprint("q", len(wo.log))
			wo.entries = append(wo.entries, newColdEntry(core.ProcessID(id), 0))
			wo.started++
			wo.join(id)
		case 2:
			wo.write("up/1", cold.Sub(now), false)
		}
		wo.step()
		time.Sleep(10 * time.Millisecond)
	}
	wo.end = cold
	return wo
}

// TestColdUpstreamGetsWhatItBears guards against a herd at a cold upstream, by
// entries that start, leave, pause, are cut off, skip changes and send late.
func TestColdUpstreamGetsNoMoreThanItCanTake(t *testing.T) {
	for _, evacuated := range []bool{false, true} {
		for seed := range uint64(20) {
			synctest.Test(t, func(t *testing.T) {
				wo := playCold(seed, evacuated, false)
				most := permits
				if evacuated {
					most += wo.started // They cannot know of the evacuation that is over.
				}
				assert.Assert(t, wo.most() <= most, "seed %d: %d in a second", seed, wo.most())
				assert.Assert(t, len(wo.arrivals) >= permits/2, "seed %d: it got %d requests in all", seed, len(wo.arrivals))
			})
		}
	}
}

// TestPermitsGivenBackEarlyAreNoticed keeps the test above honest: where permits
// do not wait for their requests to arrive, it must see more than the upstream
// can take.
func TestPermitsGivenBackEarlyAreNoticed(t *testing.T) {
	over := 0
	for seed := range uint64(20) {
		synctest.Test(t, func(*testing.T) {
			if playCold(seed, false, true).most() > permits {
				over++
			}
		})
	}
	assert.Assert(t, over > 0)
}

// TestUpstreamThatIsColdAgain guards against new work beyond the limit at an
// upstream that tells that it is cold once more, or has started under its old id.
func TestUpstreamThatIsColdAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wo := &coldWorld{rng: rand.New(rand.NewPCG(1, 1))}
		wo.join("p0")
		wo.write("up/1", 0, false)
		en := newColdEntry("p0", 0)
		en.mi.Replace(nil, 0, time.Now())
		hear := func() {
			for ; en.next < len(wo.log); en.next++ {
				en.mi.Apply([]core.Change{wo.log[en.next].change}, core.Revision(en.next+1), time.Now())
			}
		}
		cold := func() bool { return en.wu.Cold(time.Now(), "1", coldBound) }
		hear()
		assert.Assert(t, !cold())
		wo.write("up/1", 2*time.Second, false)
		hear()
		assert.Assert(t, cold())
		wo.write("up/1", time.Second, false)
		hear()
		time.Sleep(time.Second)
		assert.Assert(t, !cold())
		wo.write("out/z", nil, false)
		wo.write("out/z", nil, true)
		hear()
		assert.Assert(t, cold(), "it is back from an evacuation")
		time.Sleep(coldBound.Duration)
		assert.Assert(t, !cold())
	})
}
