package balance

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"skylarkstand/core/mechanism"
)

// Share is what one entry has at one upstream.
type Share struct {
	// Upstream is the hash of the upstream's id, see [HashOf].
	Upstream uint64
	// Own counts the entry's attempts there, Pending is the time that the
	// prompts among them need that were not begun.
	Own     int
	Pending time.Duration
}

// Kept is a part of a prompt that an engine has read since the last telling.
type Kept struct {
	// Upstream is the hash of its id, Part that of the part with its model.
	Upstream, Part uint64
}

// Budget is what an entry has left of the repeats at a service.
type Budget struct {
	// Service is the hash of its id.
	Service uint64
	Left    float64
}

// Load is what an entry tells the others.
type Load struct {
	Shares  []Share
	Kept    []Kept
	Budgets []Budget
}

// maxRecent bounds the parts that wait to be told.
const maxRecent = 64

// HashOf returns the hash that names an upstream, a service or a process in what
// entries tell one another.
func HashOf[T ~string](id T) uint64 { return xxhash.Sum64String(string(id)) }

// shareLife is how long another entry's shares count. They come every
// [ShareEvery] from a few entries, and every other second from many.
const shareLife = 2500 * time.Millisecond

// ShareEvery is how often entries tell one another what they have where. An
// engine begins a prompt every 50 ms; what is older than a few of them misleads.
const ShareEvery = 250 * time.Millisecond

// told is the shares of one entry.
type told struct {
	at     time.Time
	shares map[uint64]Share
}

// Load returns what this entry has at upstreams now, and what it has sent there
// since the last time.
func (pk *Picker) Load() Load {
	var out []Share
	for id, pe := range pk.peers {
		if pe.own > 0 {
			out = append(out, Share{Upstream: HashOf(id), Own: pe.own, Pending: pe.pending})
		}
	}
	recent := pk.recent
	// What was read is in the shares.
	pk.recent, pk.read = nil, nil
	return Load{Shares: out, Kept: recent}
}

// tellFrom is the least reading time of a prompt that is told the moment that it
// is sent.
const tellFrom = 20 * time.Millisecond

// sentNow notes work that is to be told at once.
func (pk *Picker) sentNow(rq Request, pe *peer, cost time.Duration) {
	if rq.Engine && cost < tellFrom {
		return
	}
	sh := Share{Upstream: pe.hash, Own: 1, Pending: cost}
	pk.noteRemoteCall(pe, sh)
	if len(pk.sent) < maxRecent {
		pk.sent = append(pk.sent, sh)
	}
}

// readNow notes a prompt that was read, to be told with the next call.
func (pk *Picker) readNow(fl *Flight) {
	if fl.cost >= tellFrom && len(pk.read) < maxRecent {
		pk.read = append(pk.read, Share{Upstream: fl.peer.hash, Pending: fl.cost})
	}
}

// SentNow returns the work that went to upstreams since the last call. Shares of no
// call are prompts that were read meanwhile.
//
// It is made for many entries before one pool. What [Picker.Load] tells is some
// hundred milliseconds old; by that alone, all entries take the same idle engine.
func (pk *Picker) SentNow() []Share {
	if len(pk.sent) == 0 {
		return nil
	}
	sent := slices.Concat(pk.sent, pk.read)
	pk.sent, pk.read = nil, nil
	return sent
}

// ToldSent adds what another entry has just sent to what it told before.
func (pk *Picker) ToldSent(now time.Time, from uint64, sent []Share) {
	if pk.off.Has(mechanism.ToldLoads) || pk.off.Has(mechanism.ToldCalls) {
		return
	}
	pk.sums.until = time.Time{}
	to, known := pk.told[from]
	if !known {
		to = told{at: now, shares: map[uint64]Share{}}
		pk.told[from] = to
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

// Told takes in what another entry told.
//
// With many entries before a pool, each of them hears an upstream's load only
// with its own few answers, seconds apart; all of them take the upstream that
// looked idle then. What the others have there at this moment is known best by
// themselves.
func (pk *Picker) Told(now time.Time, from uint64, lo Load) {
	if pk.off.Has(mechanism.ToldPrompts) {
		lo.Kept = nil
	}
	pk.sums.until = time.Time{}
	to := told{at: now, shares: make(map[uint64]Share, len(lo.Shares))}
	for _, ke := range lo.Kept {
		if pe := pk.hashed[ke.Upstream]; pe != nil {
			pe.keepPart(now, ke.Part)
		}
	}
	for _, sh := range lo.Shares {
		to.shares[sh.Upstream] = sh
	}
	if !pk.off.Has(mechanism.ToldLoads) {
		pk.told[from] = to
	}
	for id, old := range pk.told {
		if now.Sub(old.at) > shareLife {
			delete(pk.told, id)
		}
	}
}

// sums is what all other entries together told, by upstream. It is kept between
// choices, each of which looks at every upstream more than once.
type sums struct {
	shares  map[uint64]Share
	entries int
	// until is when the first of the entries is forgotten; zero is that something
	// was told since.
	until time.Time
}

// others returns what the other entries have at an upstream as they told, and
// reports whether any of them told anything lately.
func (pk *Picker) others(now time.Time, hash uint64) (own float64, pending time.Duration, known bool) {
	su := pk.toldSums(now)
	sh := su.shares[hash]
	return float64(sh.Own), sh.Pending, su.entries > 0
}

// hears reports whether any other entry told anything lately.
func (pk *Picker) hears(now time.Time) bool { return pk.toldSums(now).entries > 0 }

// toldSums returns what all other entries of the region told lately, added up.
func (pk *Picker) toldSums(now time.Time) *sums {
	if now.After(pk.sums.until) {
		pk.sumUp(now)
	}
	return &pk.sums
}

// addShare adds to what is known of an upstream.
func addShare(shares map[uint64]Share, sh Share) {
	old := shares[sh.Upstream]
	shares[sh.Upstream] = Share{sh.Upstream, old.Own + sh.Own, old.Pending + sh.Pending}
}

func (pk *Picker) sumUp(now time.Time) {
	su := &pk.sums
	if su.shares == nil {
		su.shares = map[uint64]Share{}
	}
	clear(su.shares)
	su.entries, su.until = 0, now.Add(shareLife)
	for _, to := range pk.told {
		ends := to.at.Add(shareLife)
		if now.After(ends) {
			continue
		}
		su.entries++
		if ends.Before(su.until) {
			su.until = ends
		}
		for _, sh := range to.shares {
			addShare(su.shares, sh)
		}
	}
}
