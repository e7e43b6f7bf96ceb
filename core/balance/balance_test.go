package balance_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/balance"
)

var start = time.Unix(1_000_000, 0)

func poolHosts(n, slots int) []core.Host {
	var out []core.Host
	for i := range n {
		zone := core.Zone([]string{"muc-a", "muc-b"}[i%2])
		out = append(out, core.Host{ID: core.UpstreamID(fmt.Sprint("up-", i)), Service: "s", Zone: zone, Region: "muc", Slots: slots})
	}
	return out
}

func parts(shared string, own int) []core.Part {
	return []core.Part{{ID: shared, Tokens: 13_000}, {ID: fmt.Sprint("own-", own), Tokens: 3_000}}
}

func draftRequest(shared string, own int) balance.Request {
	return balance.Request{Service: "s", Model: "large", Engine: true, Parts: parts(shared, own), Prompt: 16_000, Route: "draft"}
}

// Prompts share long prefixes. An engine that has one cached answers the next in a fifth of the
// time; sent elsewhere, the prompt occupies another engine for a second, and other callers wait for
// that engine. But when the engine with the cached prefix is full, waiting there would cost more
// than repeating the prefill.
func TestPromptsGoWhereTheyAreCached(t *testing.T) {
	pk := balance.New("muc-a", "muc")
	hosts := poolHosts(12, 64)
	rnd := rand.New(rand.NewPCG(1, 1))
	first, ok := pk.Pick(start, hosts, draftRequest("plan-7", 0), rnd.Float64)
	assert.Assert(t, ok)
	fl := pk.RecordSent(start, first, draftRequest("plan-7", 0))
	pk.RecordHeader(start.Add(time.Second), fl, draftRequest("plan-7", 0), nil)
	pk.RecordEnd(start.Add(2*time.Second), fl, balance.Good)
	second, _ := pk.Pick(start.Add(3*time.Second), hosts, draftRequest("plan-7", 1), rnd.Float64)
	assert.Equal(t, second.ID, first.ID)

	for i := range 40 {
		pk.RecordSent(start.Add(3*time.Second), first, draftRequest("other", i))
	}
	other, _ := pk.Pick(start.Add(3*time.Second), hosts, draftRequest("plan-7", 2), rnd.Float64)
	assert.Assert(t, other.ID != first.ID, "the engine with the cached prefix is full")
}

// Several entries see the same prompts and receive no announcements from one another. They should
// still send each to one engine of their region.
func TestEntriesAgreeOnPreferredUpstream(t *testing.T) {
	hosts := poolHosts(12, 64)
	count := map[core.UpstreamID]int{}
	for i := range 60 {
		shared := fmt.Sprint("plan-", i)
		var preferred []core.UpstreamID
		for entry := range 3 {
			pk := balance.New("muc-a", "muc")
			rnd := rand.New(rand.NewPCG(uint64(entry), 1))
			ho, _ := pk.Pick(start, hosts, draftRequest(shared, entry), rnd.Float64)
			preferred = append(preferred, ho.ID)
		}
		count[preferred[0]]++
		assert.Equal(t, len(slices.Compact(preferred)), 1, "%v", preferred)
	}
	for id, n := range count {
		assert.Assert(t, n <= 14, "%s is the preferred upstream of %d of 60 prompts", id, n)
	}
}

// An upstream fails every other call, although its health check is fine. Callers get errors for as
// long as calls go there; so calls must go elsewhere within a few seconds, and return when the
// upstream recovers.
func TestFailingUpstreamIsAvoidedAndRetried(t *testing.T) {
	for _, once := range []bool{false, true} {
		pk := balance.New("muc-a", "muc")
		hosts := poolHosts(3, 6)
		rnd := rand.New(rand.NewPCG(3, 1))
		rq := balance.Request{Service: "s", Route: "claim", AtMostOnce: once}
		count := func(from, to int, fails bool) (failing int) {
			for i := from; i < to; i++ {
				now := start.Add(time.Duration(i) * 50 * time.Millisecond)
				ho, _ := pk.Pick(now, hosts, rq, rnd.Float64)
				fl := pk.RecordSent(now, ho, rq)
				out := balance.Good
				if ho.ID == "up-0" {
					failing++
					if fails && rnd.Float64() < 0.5 {
						out = balance.Failed
					}
				}
				if out == balance.Good {
					pk.RecordHeader(now.Add(40*time.Millisecond), fl, rq, nil)
				}
				pk.RecordEnd(now.Add(40*time.Millisecond), fl, out)
			}
			return failing
		}
		count(0, 100, false)
		failing := count(100, 400, true)
		assert.Assert(t, failing < 90, "once %v: %d of 300 calls went to the failing upstream", once, failing)
		recovered := count(400, 900, false)
		assert.Assert(t, recovered > 100, "once %v: %d of 500 calls after the recovery", once, recovered)
	}
}

// attemptsAtFirst makes calls to a pool of three, one each 50 ms, where every attempt at the first
// upstream ends with the same bad outcome. It returns the number of attempts there.
func attemptsAtFirst(calls int, bad balance.Outcome) int {
	pk := balance.New("muc-a", "muc")
	hosts := poolHosts(3, 6)
	rnd := rand.New(rand.NewPCG(4, 1))
	rq := balance.Request{Service: "s", Route: "claim"}
	attempts := 0
	for i := range calls {
		now := start.Add(time.Duration(i) * 50 * time.Millisecond)
		ho, _ := pk.Pick(now, hosts, rq, rnd.Float64)
		fl := pk.RecordSent(now, ho, rq)
		if ho.ID == "up-0" {
			attempts++
			pk.RecordEnd(now, fl, bad)
			continue
		}
		pk.RecordHeader(now, fl, rq, nil)
		pk.RecordEnd(now, fl, balance.Good)
	}
	return attempts
}

// A host loses power. Each call that is sent there waits for the full connect timeout; after the
// first one, calls must go elsewhere, and a later one must try whether the host is reachable again.
func TestUnreachableUpstreamIsAvoided(t *testing.T) {
	attempts := attemptsAtFirst(200, balance.Unreachable)
	assert.Assert(t, attempts >= 2 && attempts <= 8, "%d of 200 attempts in ten seconds", attempts)
}

// Upstreams crash behind a network partition from the store and start again under new ids at their
// addresses, so that the host list still has the old ones. Each call sent there is refused by the
// new one; a second must not follow, or a whole service gets more arrivals than its callers'
// requests allow.
func TestReplacedUpstreamIsAvoided(t *testing.T) {
	assert.Equal(t, attemptsAtFirst(100, balance.Replaced), 1)
}

// A pool of three with six slots each gets calls of several entries. An upstream whose slots the
// other entries use, by the load that it reports, must not be selected.
func TestReportedLoadCounts(t *testing.T) {
	pk := balance.New("muc-a", "muc")
	hosts := poolHosts(3, 6)
	rnd := rand.New(rand.NewPCG(5, 1))
	rq := balance.Request{Service: "s", Route: "claim"}
	for i := range hosts {
		fl := pk.RecordSent(start, hosts[i], rq)
		load := core.Load{Running: 1, Slots: 6}
		if i == 0 {
			load = core.Load{Running: 6, Queued: 4, Slots: 6}
		}
		pk.RecordHeader(start.Add(20*time.Millisecond), fl, rq, &load)
		pk.RecordEnd(start.Add(20*time.Millisecond), fl, balance.Good)
	}
	for range 20 {
		ho, _ := pk.Pick(start.Add(100*time.Millisecond), hosts, rq, rnd.Float64)
		assert.Assert(t, ho.ID != "up-0")
	}
}

// Another region has idle upstreams. The link there is paid by volume and costs callers a round
// trip, so calls stay while the local region has capacity, and go there when it has none.
func TestCrossRegionOnlyWhenFull(t *testing.T) {
	pk := balance.New("muc-a", "muc")
	hosts := append(poolHosts(2, 6), core.Host{ID: "far", Service: "s", Zone: "nue-a", Region: "nue", Slots: 6})
	rnd := rand.New(rand.NewPCG(6, 1))
	rq := balance.Request{Service: "s", Route: "claim"}
	calls := map[core.UpstreamID]int{}
	for range 18 {
		ho, _ := pk.Pick(start, hosts, rq, rnd.Float64)
		pk.RecordSent(start, ho, rq)
		calls[ho.ID]++
	}
	assert.Equal(t, calls["far"], 6, "%v", calls)
	_, ok := pk.Pick(start, hosts, balance.Request{Service: "s", Tried: []core.UpstreamID{"up-0", "up-1", "far"}}, rnd.Float64)
	assert.Assert(t, !ok)
}

// An upstream restarts under the same id after a crash. Its recorded failures and its assumed
// prefix cache belong to the old start and must be dropped.
func TestRestartResetsUpstreamState(t *testing.T) {
	pk := balance.New("muc-a", "muc")
	ho := core.Host{ID: "up-0", Service: "s", Zone: "muc-a", Region: "muc", Slots: 64, StartedAt: 1}
	other := core.Host{ID: "up-1", Service: "s", Zone: "muc-a", Region: "muc", Slots: 64, StartedAt: 1}
	rnd := rand.New(rand.NewPCG(7, 1))
	for i := range 20 {
		fl := pk.RecordSent(start, ho, draftRequest("plan", i))
		pk.RecordEnd(start, fl, balance.Failed)
	}
	got, _ := pk.Pick(start, []core.Host{ho, other}, draftRequest("plan", 99), rnd.Float64)
	assert.Equal(t, got.ID, other.ID)
	ho.StartedAt = 2
	counts := map[core.UpstreamID]int{}
	for i := range 20 {
		got, _ := pk.Pick(start, []core.Host{ho, other}, draftRequest(fmt.Sprint("p", i), i), rnd.Float64)
		counts[got.ID]++
	}
	assert.Assert(t, counts[ho.ID] > 5, "%v", counts)
}

// Eight entries send to twelve engines, and receive each other's load only by announcements.
// Without these they all select the engines that look idle to them; the longest queue is several
// times the mean, and its callers wait.
func TestAnnouncedLoadsSpreadWork(t *testing.T) {
	alone, announced := longestQueue(false), longestQueue(true)
	assert.Assert(t, announced < 0.7*alone, "longest queue above the mean by %.1f with announcements, %.1f without", announced, alone)
}

// queued is a prompt that waits at an engine.
type queuedPrompt struct {
	entry  *balance.Picker
	flight *balance.Flight
	rq     balance.Request
}

// longestQueue simulates 50 prompts a second from eight entries, before twelve engines with a
// prefill time of 200 ms each, and returns by how much the longest queue was above the mean.
func longestQueue(announce bool) float64 {
	rnd := rand.New(rand.NewPCG(8, 1))
	hosts := poolHosts(12, 64)
	entries := make([]*balance.Picker, 8)
	for i := range entries {
		entries[i] = balance.New("muc-a", "muc")
	}
	queues := map[core.UpstreamID][]queuedPrompt{}
	worst := 0.0
	for n := range 400 {
		now := start.Add(time.Duration(n) * 20 * time.Millisecond)
		pk := entries[rnd.IntN(len(entries))]
		rq := draftRequest(fmt.Sprint("plan-", rnd.IntN(300)), n)
		rq.Slack = 4 * time.Second
		ho, _ := pk.Pick(now, hosts, rq, rnd.Float64)
		queues[ho.ID] = append(queues[ho.ID], queuedPrompt{pk, pk.RecordSent(now, ho, rq), rq})
		if n%10 == 0 {
			finishPrefills(now, hosts, queues)
		}
		if announce && n%12 == 0 {
			announceAll(now, entries)
		}
		if n > 100 {
			worst = max(worst, excessQueue(queues))
		}
	}
	return worst
}

// finishPrefills has each engine finish the first prompt of its queue.
func finishPrefills(now time.Time, hosts []core.Host, queues map[core.UpstreamID][]queuedPrompt) {
	for _, ho := range hosts {
		if qu := queues[ho.ID]; len(qu) > 0 {
			qu[0].entry.RecordHeader(now, qu[0].flight, qu[0].rq, nil)
			qu[0].entry.RecordEnd(now, qu[0].flight, balance.Good)
			queues[ho.ID] = qu[1:]
		}
	}
}

func announceAll(now time.Time, entries []*balance.Picker) {
	for i, pk := range entries {
		lo := pk.TakeLoad()
		for j, other := range entries {
			if i != j {
				other.ReceiveLoad(now, uint64(i), lo)
			}
		}
	}
}

// excessQueue is by how much the longest queue is above the mean.
func excessQueue(queues map[core.UpstreamID][]queuedPrompt) float64 {
	sum, most := 0, 0
	for _, qu := range queues {
		sum += len(qu)
		most = max(most, len(qu))
	}
	return float64(most) - float64(sum)/12
}

// An entry has announced the prompt that it sent to an engine. Another entry must send the next
// request with that prompt there, and drop the announced load of an entry that is gone.
func TestAnnouncedPromptsAndExpiredLoads(t *testing.T) {
	hosts := poolHosts(12, 64)
	rnd := rand.New(rand.NewPCG(9, 1))
	one, two := balance.New("muc-a", "muc"), balance.New("muc-a", "muc")
	for _, ho := range hosts {
		two.Pick(start, []core.Host{ho}, draftRequest("x", 0), rnd.Float64)
	}
	engine := hosts[5]
	one.RecordSent(start, engine, draftRequest("plan-7", 0))
	two.ReceiveLoad(start, 1, one.TakeLoad())
	ho, _ := two.Pick(start.Add(3*time.Second), hosts, draftRequest("plan-7", 1), rnd.Float64)
	assert.Equal(t, ho.ID, engine.ID, "the prompt is cached there, and the announced load there has expired")
}

// An engine has reported its cached parts to an entry that has just started. The prompt must go
// there and not need prefill elsewhere; a part counts only while all parts before it are cached,
// for the same model.
func TestPromptsReportedByEngine(t *testing.T) {
	hosts := poolHosts(12, 64)
	rnd := rand.New(rand.NewPCG(9, 1))
	rq := draftRequest("plan-7", 0)
	held := func(mo core.ModelID, parts []core.Part) []core.CachedPart {
		var out []core.CachedPart
		for _, pa := range parts {
			out = append(out, core.CachedPart{Model: mo, Part: pa})
		}
		return out
	}
	pk := balance.New("muc-a", "muc")
	pk.RecordCached(start, hosts[7], held(rq.Model, rq.Parts))
	pk.RecordCached(start, hosts[2], held("other", rq.Parts))
	pk.RecordCached(start, hosts[3], held(rq.Model, rq.Parts[1:]))
	ho, ok := pk.Pick(start.Add(time.Second), hosts, rq, rnd.Float64)
	assert.Assert(t, ok)
	assert.Equal(t, ho.ID, hosts[7].ID)
	assert.Equal(t, pk.RecordSent(start, hosts[3], rq).Basis().CachedTokens, core.Tokens(0))
}

// TestNoPreferredUpstreamWithSiblingLoads guards against a prompt that waits at the engine which all
// entries prefer for it, though nobody has sent its prefix there.
func TestNoPreferredUpstreamWithSiblingLoads(t *testing.T) {
	rnd := rand.New(rand.NewPCG(5, 1))
	hosts := poolHosts(8, 64)
	rq := balance.Request{Service: "s", Model: "large", Engine: true, Prompt: 16_000, Parts: parts("plan", 1), Route: "draft"}
	alone, informed := balance.New("muc-a", "muc"), balance.New("muc-a", "muc")
	preferred, _ := alone.Pick(start, hosts, rq, rnd.Float64)
	busy := balance.Load{Upstreams: []balance.UpstreamLoad{{Upstream: balance.Hash(preferred.ID), Own: 1, Pending: 200 * time.Millisecond}}}
	informed.ReceiveLoad(start, 7, busy)
	for range 20 {
		ho, _ := informed.Pick(start, hosts, rq, rnd.Float64)
		assert.Assert(t, ho.ID != preferred.ID)
	}
}
