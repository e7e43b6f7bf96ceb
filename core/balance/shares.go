package balance

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"skylarkstand/core/mechanism"
)

// Share is the work that one entry has at one upstream.
type Share struct {
	// Upstream is the hash of the upstream's id, see [Hash].
	Upstream uint64
	// Own counts the entry's attempts there, Pending is the prefill time of the prompts among them
	// that wait for a response.
	Own     int
	Pending time.Duration
}

// CachedPart is a part of a prompt that an engine has processed since the last announcement.
type CachedPart struct {
	// Upstream is the hash of the upstream's id, Part the hash of the part's id with the model.
	Upstream, Part uint64
}

// RetryBudget is the rest of an entry's retry budget at a service.
type RetryBudget struct {
	// Service is the hash of its id.
	Service uint64
	Left    float64
}

// Load is what an entry announces to its siblings.
type Load struct {
	Shares      []Share
	CachedParts []CachedPart
	Budgets     []RetryBudget
}

// maxUnannounced bounds the records that wait to be announced.
const maxUnannounced = 64

// Hash returns the hash that identifies an upstream, a service, a region or a process in the
// messages between entries.
func Hash[T ~string](id T) uint64 { return xxhash.Sum64String(string(id)) }

// shareTTL is how long another entry's shares count. They come every [ShareInterval] from a few
// entries, and every other second from many.
const shareTTL = 2500 * time.Millisecond

// ShareInterval is how often entries announce their work at upstreams. An engine begins a prompt
// every 50 ms; information older than a few such periods is misleading.
const ShareInterval = 250 * time.Millisecond

// siblingLoad is the work that one other entry announced, by the hash of the upstream's id.
type siblingLoad struct {
	at     time.Time
	shares map[uint64]Share
}

// TakeLoad returns the work that this entry has at upstreams now, and the parts that it has sent
// there since the last invocation.
func (pk *Picker) TakeLoad() Load {
	var out []Share
	for id, pe := range pk.peers {
		if pe.own > 0 {
			out = append(out, Share{Upstream: Hash(id), Own: pe.own, Pending: pe.pending})
		}
	}
	parts := pk.newParts
	// The shares no longer contain the prompts whose prefill ended, so these need no announcement.
	pk.newParts, pk.newPrefills = nil, nil
	return Load{Shares: out, CachedParts: parts}
}

// minAnnouncedPrefill is the least prefill time of a prompt that is announced as soon as it is
// sent.
const minAnnouncedPrefill = 20 * time.Millisecond

// addCall queues a call for immediate announcement.
func (pk *Picker) addCall(rq Request, pe *peer, cost time.Duration) {
	if rq.Engine && cost < minAnnouncedPrefill {
		return
	}
	sh := Share{Upstream: pe.hash, Own: 1, Pending: cost}
	pk.addRemoteCall(pe, sh)
	if len(pk.newCalls) < maxUnannounced {
		pk.newCalls = append(pk.newCalls, sh)
	}
}

// addPrefill queues a prompt whose prefill ended for the announcement with the next call.
func (pk *Picker) addPrefill(fl *Flight) {
	if fl.cost >= minAnnouncedPrefill && len(pk.newPrefills) < maxUnannounced {
		pk.newPrefills = append(pk.newPrefills, Share{Upstream: fl.peer.hash, Pending: fl.cost})
	}
}

// TakeCalls returns the calls to upstreams since its last invocation. Shares with Own 0 are prompts
// whose prefill ended meanwhile.
//
// It is made for many entries in front of one pool. The load from [Picker.TakeLoad] is some hundred
// milliseconds old when it is used; with that alone, all entries would select the same idle engine.
func (pk *Picker) TakeCalls() []Share {
	if len(pk.newCalls) == 0 {
		return nil
	}
	sent := slices.Concat(pk.newCalls, pk.newPrefills)
	pk.newCalls, pk.newPrefills = nil, nil
	return sent
}

// ReceiveCalls adds the calls that another entry has just sent to the load that it announced
// before.
func (pk *Picker) ReceiveCalls(now time.Time, from uint64, sent []Share) {
	if pk.off.Has(mechanism.SiblingLoads) || pk.off.Has(mechanism.SiblingCalls) {
		return
	}
	pk.totals.until = time.Time{}
	to, known := pk.siblings[from]
	if !known {
		to = siblingLoad{at: now, shares: map[uint64]Share{}}
		pk.siblings[from] = to
	}
	for _, sh := range sent {
		old := to.shares[sh.Upstream]
		pending := old.Pending + sh.Pending
		if sh.Own == 0 {
			pending = max(old.Pending-sh.Pending, 0)
		}
		to.shares[sh.Upstream] = Share{sh.Upstream, old.Own + sh.Own, pending}
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
	to := siblingLoad{at: now, shares: make(map[uint64]Share, len(lo.Shares))}
	for _, pa := range lo.CachedParts {
		if pe := pk.byHash[pa.Upstream]; pe != nil {
			pe.recordPart(now, pa.Part)
		}
	}
	for _, sh := range lo.Shares {
		to.shares[sh.Upstream] = sh
	}
	if !pk.off.Has(mechanism.SiblingLoads) {
		pk.siblings[from] = to
	}
	for id, old := range pk.siblings {
		if now.Sub(old.at) > shareTTL {
			delete(pk.siblings, id)
		}
	}
}

// loadTotals is the sum of the loads that the other entries announced, by upstream. It is cached
// between selections, each of which looks up every upstream more than once.
type loadTotals struct {
	shares  map[uint64]Share
	entries int
	// until is when the first of the summed loads expires; zero marks the sums as outdated by a new
	// announcement.
	until time.Time
}

// siblingWork returns the announced work of the other entries at an upstream, and reports whether
// any of them announced anything lately.
func (pk *Picker) siblingWork(now time.Time, hash uint64) (own float64, pending time.Duration, known bool) {
	su := pk.siblingTotals(now)
	sh := su.shares[hash]
	return float64(sh.Own), sh.Pending, su.entries > 0
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

// addShare adds a share to the sum for its upstream.
func addShare(shares map[uint64]Share, sh Share) {
	old := shares[sh.Upstream]
	shares[sh.Upstream] = Share{sh.Upstream, old.Own + sh.Own, old.Pending + sh.Pending}
}

func (pk *Picker) recomputeTotals(now time.Time) {
	su := &pk.totals
	if su.shares == nil {
		su.shares = map[uint64]Share{}
	}
	clear(su.shares)
	su.entries, su.until = 0, now.Add(shareTTL)
	for _, to := range pk.siblings {
		expires := to.at.Add(shareTTL)
		if now.After(expires) {
			continue
		}
		su.entries++
		if expires.Before(su.until) {
			su.until = expires
		}
		for _, sh := range to.shares {
			addShare(su.shares, sh)
		}
	}
}
