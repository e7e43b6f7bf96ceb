package balance

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"skylarkstand/core/mechanism"
)

// UpstreamLoad is the work that one entry has at one upstream.
type UpstreamLoad struct {
	// Upstream is the hash of the upstream's id, see [Hash].
	Upstream uint64
	// Own counts the entry's attempts there, Pending is the prefill time of the prompts among them
	// that wait for a response.
	Own     int
	Pending time.Duration
	// Slowdown is how long work takes there, as a multiple of the usual time; 0 if that is unknown.
	Slowdown float64
}

// CachedPart is a part of a prompt that an engine has processed since the last announcement.
type CachedPart struct {
	// Upstream is the hash of the upstream's id, Part the hash of the part's id with the model.
	Upstream, Part uint64
}

// RetryBudget is the rest of an entry's retry budget at a service.
type RetryBudget struct {
	// Service is the hash of the service's id.
	Service uint64
	Left    float64
}

// Load is what an entry announces to its siblings.
type Load struct {
	Upstreams   []UpstreamLoad
	CachedParts []CachedPart
	Budgets     []RetryBudget
}

// maxUnannounced bounds the records that wait to be announced.
const maxUnannounced = 64

// Hash returns the hash that identifies an upstream, a service, a region or a process in the
// messages between entries.
func Hash[T ~string](id T) uint64 { return xxhash.Sum64String(string(id)) }

// loadTTL is how long a sibling entry's announced load counts. A few entries announce theirs every
// [AnnounceInterval], many entries every other second.
const loadTTL = 2500 * time.Millisecond

// AnnounceInterval is how often entries announce their work at upstreams. An engine begins a prompt
// every 50 ms; information older than a few such periods is misleading.
const AnnounceInterval = 250 * time.Millisecond

// siblingLoad is the work that one other entry announced, by the hash of the upstream's id.
type siblingLoad struct {
	at        time.Time
	upstreams map[uint64]UpstreamLoad
	// recent are the calls that it announced lately, the oldest first.
	recent []recentCall
	// longCalls counts the calls at each upstream that took longer than usual at the last announcement.
	longCalls map[uint64]int
}

// TakeLoad returns the work that this entry has at upstreams now, and the prompt parts that it has
// sent there since the last call. It clears these parts, and the ended prefills that wait for
// [Picker.TakeCalls].
func (pk *Picker) TakeLoad() Load {
	var out []UpstreamLoad
	for id, us := range pk.states {
		if us.own > 0 {
			out = append(out, UpstreamLoad{Upstream: Hash(id), Own: us.own, Pending: us.pending, Slowdown: us.slowdown.mean})
		}
	}
	parts := pk.newParts
	// The load no longer contains the prompts whose prefill ended, so these need no announcement.
	pk.newParts, pk.newPrefills = nil, nil
	return Load{Upstreams: out, CachedParts: parts}
}

// minAnnouncedPrefill is the least prefill time of a prompt that is announced as soon as it is
// sent.
const minAnnouncedPrefill = 20 * time.Millisecond

// addCall queues a call for immediate announcement.
func (pk *Picker) addCall(rq Request, us *upstreamState, cost time.Duration) {
	if rq.Engine && cost < minAnnouncedPrefill {
		return
	}
	ul := UpstreamLoad{Upstream: us.hash, Own: 1, Pending: cost}
	pk.addRemoteCall(us, ul)
	if len(pk.newCalls) < maxUnannounced {
		pk.newCalls = append(pk.newCalls, ul)
	}
}

// addPrefill queues a prompt whose prefill ended for the announcement with the next call.
func (pk *Picker) addPrefill(fl *Flight) {
	if fl.cost >= minAnnouncedPrefill && len(pk.newPrefills) < maxUnannounced {
		pk.newPrefills = append(pk.newPrefills, UpstreamLoad{Upstream: fl.state.hash, Pending: fl.cost})
	}
}

// TakeCalls returns the calls to upstreams since the last call of TakeCalls, and clears them. Those
// with Own 0 are prompts whose prefill ended meanwhile.
//
// It is made for many entries in front of one pool. The load from [Picker.TakeLoad] is some hundred
// milliseconds old when it is used; with that alone, all entries would select the same idle engine.
func (pk *Picker) TakeCalls() []UpstreamLoad {
	if len(pk.newCalls) == 0 {
		return nil
	}
	sent := slices.Concat(pk.newCalls, pk.newPrefills)
	pk.newCalls, pk.newPrefills = nil, nil
	return sent
}

// ReceiveCalls adds the calls that another entry has just sent to the load that it announced
// before.
func (pk *Picker) ReceiveCalls(now time.Time, from uint64, sent []UpstreamLoad) {
	if pk.off.Has(mechanism.SiblingLoads) || pk.off.Has(mechanism.SiblingCalls) {
		return
	}
	pk.totals.until = time.Time{}
	sl, known := pk.siblings[from]
	if !known {
		sl = siblingLoad{at: now, upstreams: map[uint64]UpstreamLoad{}}
	}
	sl.remember(now, sent)
	pk.siblings[from] = sl
	for _, ul := range sent {
		old := sl.upstreams[ul.Upstream]
		pending := old.Pending + ul.Pending
		if ul.Own == 0 {
			pending = max(old.Pending-ul.Pending, 0)
		}
		sl.upstreams[ul.Upstream] = UpstreamLoad{Upstream: ul.Upstream, Own: old.Own + ul.Own, Pending: pending}
	}
}

// ReceiveLoad applies the load that another entry announced.
//
// With many entries in front of a pool, the responses that each of them gets from one upstream are
// few and seconds apart. By the load that these report, all entries would select the upstream that
// looked idle last. Each entry itself has the most accurate count of its work there.
func (pk *Picker) ReceiveLoad(now time.Time, from uint64, lo Load) {
	if pk.off.Has(mechanism.SiblingPrompts) {
		lo.CachedParts = nil
	}
	pk.totals.until = time.Time{}
	sl := siblingLoad{at: now, upstreams: make(map[uint64]UpstreamLoad, len(lo.Upstreams)), recent: pk.siblings[from].recent}
	for _, pa := range lo.CachedParts {
		if us := pk.byHash[pa.Upstream]; us != nil {
			us.recordPart(now, pa.Part)
		}
	}
	for _, ul := range lo.Upstreams {
		sl.upstreams[ul.Upstream] = ul
		if us := pk.byHash[ul.Upstream]; us != nil {
			us.slowdown.receive(ul.Slowdown)
		}
	}
	sl.findLongCalls(now)
	if !pk.off.Has(mechanism.SiblingLoads) {
		pk.siblings[from] = sl
	}
	for id, old := range pk.siblings {
		if now.Sub(old.at) > loadTTL {
			delete(pk.siblings, id)
		}
	}
}

// loadTotals is the sum of the loads that the other entries announced, by upstream. It is cached
// between selections, each of which looks up every upstream more than once.
type loadTotals struct {
	upstreams map[uint64]UpstreamLoad
	entries   int
	// until is when the first of the summed loads expires; zero marks the sums as outdated by a new
	// announcement.
	until time.Time
}

// siblingWork returns the announced work of the other entries at an upstream, and reports whether
// any of them announced anything lately.
func (pk *Picker) siblingWork(now time.Time, hash uint64) (own float64, pending time.Duration, known bool) {
	lt := pk.siblingTotals(now)
	ul := lt.upstreams[hash]
	return float64(ul.Own), ul.Pending, lt.entries > 0
}

// hasSiblingLoads reports whether any other entry announced anything lately.
func (pk *Picker) hasSiblingLoads(now time.Time) bool { return pk.siblingTotals(now).entries > 0 }

// siblingTotals returns the sum of what all other entries of the region announced lately.
func (pk *Picker) siblingTotals(now time.Time) *loadTotals {
	if now.After(pk.totals.until) {
		pk.recomputeTotals(now)
	}
	return &pk.totals
}

// addLoad adds the load of one entry at an upstream to the sum for this upstream.
func addLoad(sums map[uint64]UpstreamLoad, ul UpstreamLoad) {
	old := sums[ul.Upstream]
	sums[ul.Upstream] = UpstreamLoad{Upstream: ul.Upstream, Own: old.Own + ul.Own, Pending: old.Pending + ul.Pending}
}

func (pk *Picker) recomputeTotals(now time.Time) {
	lt := &pk.totals
	if lt.upstreams == nil {
		lt.upstreams = map[uint64]UpstreamLoad{}
	}
	clear(lt.upstreams)
	lt.entries, lt.until = 0, now.Add(loadTTL)
	for _, sl := range pk.siblings {
		expires := sl.at.Add(loadTTL)
		if now.After(expires) {
			continue
		}
		lt.entries++
		if expires.Before(lt.until) {
			lt.until = expires
		}
		for _, ul := range sl.upstreams {
			addLoad(lt.upstreams, ul)
		}
	}
}
