package ratelimit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/ratelimit"
)

var host = core.Host{ID: "up", StartedAt: 7}

// cluster is a number of entries that all know the limit of one upstream.
type cluster struct {
	rate     core.Rate
	trackers []*ratelimit.Tracker
	// lists are the entries that each tracker finds registered.
	lists [][]core.ProcessID
	// silent means that no answer reaches the entries.
	silent   bool
	arrivals []time.Time
}

func newCluster(entries int, ra core.Rate) *cluster {
	cl := &cluster{rate: ra}
	ids := make([]core.ProcessID, entries)
	for i := range ids {
		ids[i] = core.ProcessID(fmt.Sprint("entry-", i))
	}
	for i, id := range ids {
		cl.lists = append(cl.lists, ids)
		tr := ratelimit.New(id, func() []core.ProcessID { return cl.lists[i] })
		tr.Observe(start, ratelimit.Observation{Host: host, Sent: start, Limit: &cl.rate})
		cl.trackers = append(cl.trackers, tr)
	}
	return cl
}

const step = 20 * time.Millisecond

// run lets each entry ask for a request at half of the steps.
func (cl *cluster) run(rnd *rand.Rand, from, to float64) {
	for now := at(from); now.Before(at(to)); now = now.Add(step) {
		for _, tr := range cl.trackers {
			if rnd.Float64() >= 0.5 || !tr.Acquire(now, &host) {
				continue
			}
			cl.arrivals = append(cl.arrivals, now)
			if !cl.silent {
				tr.Observe(now, ratelimit.Observation{Host: host, Sent: now, Limit: &cl.rate})
			}
		}
	}
}

// window is the span over which an upstream counts requests.
const window = 4 * time.Second

func (cl *cluster) allowed() int { return int(1.5*float64(cl.rate)*window.Seconds() + 5) }

func (cl *cluster) mostInWindow() int {
	most, first := 0, 0
	for i, now := range cl.arrivals {
		for now.Sub(cl.arrivals[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against entries that exceed a limit together, and against a limit that is used up by less
// than the upstream accepts although callers ask for more.
func TestEntriesKeepToALimitTogether(t *testing.T) {
	const seconds = 40
	for _, entries := range []int{1, 2, 4, 5, 33, 360} {
		for _, ra := range []core.Rate{0, 0.3, 1, 2.5, 8, 40} {
			t.Run(fmt.Sprint(entries, " entries, ", ra, " a second"), func(t *testing.T) {
				cl := newCluster(entries, ra)
				cl.run(rand.New(rand.NewPCG(1, 2)), 0, seconds)
				assert.Assert(t, cl.mostInWindow() <= cl.allowed(), "%d in a window; allowed %d", cl.mostInWindow(), cl.allowed())
				most := 1.5*float64(ra) + 4 + seconds*float64(ra)
				// A holder of a limit near 0 gets no responses, so it sends trials.
				most += float64(entries) * seconds / 15
				least := 0.8*seconds*min(float64(ra), 20) - 4
				assert.Assert(t, float64(len(cl.arrivals)) <= most && float64(len(cl.arrivals)) >= least, "%d requests; %.0f to %.0f expected", len(cl.arrivals), least, most)
			})
		}
	}
}

// Guards against trials that exceed a limit when no entry gets a confirmation any more.
func TestTrialsKeepToALimit(t *testing.T) {
	for _, entries := range []int{1, 4, 33, 360} {
		for _, ra := range []core.Rate{0, 1, 8} {
			t.Run(fmt.Sprint(entries, " entries, ", ra, " a second"), func(t *testing.T) {
				cl := newCluster(entries, ra)
				cl.silent = true
				cl.run(rand.New(rand.NewPCG(1, 2)), 0, 120)
				assert.Assert(t, cl.mostInWindow() <= cl.allowed(), "%d in a window; allowed %d", cl.mostInWindow(), cl.allowed())
			})
		}
	}
}

// Guards against entries that exceed a limit together while a change of their list, at which one
// leaves and one joins, has reached only some of them.
func TestEntriesThatDisagreeKeepToALimit(t *testing.T) {
	for _, entries := range []int{2, 4, 5, 33, 360} {
		for _, ra := range []core.Rate{0, 0.3, 1, 8} {
			t.Run(fmt.Sprint(entries, " entries, ", ra, " a second"), func(t *testing.T) {
				cl := newCluster(entries, ra)
				rnd := rand.New(rand.NewPCG(3, 4))
				cl.run(rnd, 0, 10)
				changed := append([]core.ProcessID{"joined"}, cl.lists[0][1:]...)
				joined := ratelimit.New("joined", func() []core.ProcessID { return changed })
				joined.Observe(at(10), ratelimit.Observation{Host: host, Sent: at(10), Limit: &cl.rate})
				cl.trackers[0] = joined
				for i := 1; i < entries; i += 2 {
					cl.lists[i] = changed
				}
				cl.run(rnd, 10, 14)
				for i := range cl.lists {
					cl.lists[i] = changed
				}
				cl.run(rnd, 14, 24)
				assert.Assert(t, cl.mostInWindow() <= cl.allowed(), "%d in a window; allowed %d", cl.mostInWindow(), cl.allowed())
			})
		}
	}
}

// Guards against a limit that an entry without a share, which gets no responses, keeps for long after
// its end.
func TestEndOfALimitElsewhere(t *testing.T) {
	cl := newCluster(40, 1)
	holder, other := cl.holder(true), cl.holder(false)
	holder.TakeNotices(at(8))
	assert.Assert(t, !other.Acquire(at(10), &host))
	assert.Equal(t, holder.Observe(at(10), ratelimit.Observation{Host: host, Sent: at(9)}), ratelimit.Lifted)
	other.ReceiveNotices(at(10.1), holder.TakeNotices(at(10.1)))
	assert.Equal(t, other.Count(at(10.1), []core.Host{host}), 1, "a notice alone does not end a limit")
	assert.Assert(t, other.Acquire(at(10.1), &host))
	assert.Assert(t, !other.Acquire(at(10.2), &host), "one trial until its answer arrives")
	assert.Equal(t, other.Observe(at(10.3), ratelimit.Observation{Host: host, Sent: at(10.1)}), ratelimit.Lifted)
}

// Guards against a limit that comes back, or does not end, by a notice from before its end.
func TestLateNoticeOfALimit(t *testing.T) {
	cl := newCluster(40, 1)
	holder, other := cl.holder(true), cl.holder(false)
	late := holder.TakeNotices(at(8))
	assert.Equal(t, holder.Observe(at(10), ratelimit.Observation{Host: host, Sent: at(9)}), ratelimit.Lifted)
	assert.Equal(t, len(holder.ReceiveNotices(at(10.2), late)), 0)
	assert.Equal(t, holder.Count(at(10.2), []core.Host{host}), 0)
	other.ReceiveNotices(at(10.1), holder.TakeNotices(at(10.1)))
	other.ReceiveNotices(at(10.2), late)
	assert.Assert(t, other.Acquire(at(10.3), &host), "a trial is due")
	holder.TakeNotices(at(20))
	assert.Equal(t, len(holder.ReceiveNotices(at(20), late)), 1, "a limit that is reported again later is a new one")
}

// Guards against entries that learn of a limit only by answers of their own: each of many would
// send requests to find out.
func TestNoticeOfALimit(t *testing.T) {
	cl := newCluster(1, 1)
	notices := cl.trackers[0].TakeNotices(start)
	other := ratelimit.New("other", func() []core.ProcessID { return []core.ProcessID{"entry-0", "other"} })
	assert.Equal(t, len(other.ReceiveNotices(at(0.2), notices)), 1)
	assert.Equal(t, len(other.ReceiveNotices(at(0.2), notices)), 0, "known already")
	assert.Equal(t, len(other.Available(at(0.3), []core.Host{host})), 0)
	restarted := host
	restarted.StartedAt++
	assert.Equal(t, len(other.Available(at(0.3), []core.Host{restarted})), 1, "the limit of an earlier incarnation")
	assert.Equal(t, other.Observe(at(0.4), ratelimit.Observation{Host: host, Sent: at(0.1)}), ratelimit.Unchanged, "the request was sent before the notice")
	assert.Equal(t, len(other.Available(at(0.5), []core.Host{host})), 0)
	assert.Equal(t, len(other.Available(at(5), []core.Host{host})), 1, "it has a share of the limit")
}

// holder returns an entry that has a share of the limit, or one that has none.
func (cl *cluster) holder(has bool) *ratelimit.Tracker {
	for _, tr := range cl.trackers {
		if tr.Acquire(at(8), &host) == has {
			return tr
		}
	}
	return nil
}

// Guards against entries that have just started, know nobody else, and take a limit whole.
func TestEntriesThatKnowNobodyKeepToALimit(t *testing.T) {
	for _, entries := range []int{4, 20, 72, 360} {
		for _, ra := range []core.Rate{1, 8, 40} {
			t.Run(fmt.Sprint(entries, " entries, ", ra, " a second"), func(t *testing.T) {
				cl := newCluster(entries, ra)
				for i := range cl.lists {
					cl.lists[i] = nil
				}
				cl.run(rand.New(rand.NewPCG(5, 6)), 0, 10)
				assert.Assert(t, cl.mostInWindow() <= cl.allowed(), "%d in a window; allowed %d", cl.mostInWindow(), cl.allowed())
			})
		}
	}
}
