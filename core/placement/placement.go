// Package placement chooses the upstream that an attempt goes to.
//
// The choice is between two candidates drawn at random, the less loaded one
// (the power of two choices, Mitzenmacher 2001), first in the own availability
// zone, then in the region. The paid link between regions is taken only by
// attempts for which the admission found the region full. Load reports lag, so they are discounted by their age
// and this entry's own attempts are counted at once.
//
// All of it is pure: time and randomness come in as arguments.
//
// # Usage
//
//	pk := placement.New(zone, region)
//	ch, ok := pk.Pick(now, placement.Request{Pool: po, Prefix: hash}, cands, rand.IntN)
//	pk.Sent(now, ch.ID)
//	pk.Heard(now, po, ch.ID, sent)        // at the answer's first piece
//	pk.Paced(po, ch.ID, took, pieces)     // a little later
package placement

import (
	"slices"
	"time"

	"skylarkstand/core"
)

// Pool is what may stand in for one another: the upstreams of a model version
// or of a plain service.
type Pool struct {
	Target  core.ModelVersion
	Service core.ServiceID
	// Whole marks attempts whose answer comes in one piece. Their first piece
	// comes late, so their times are kept apart.
	Whole bool
}

// Request is what a choice depends on.
type Request struct {
	Pool Pool
	// Prefix is a hash of the prompt's beginning; 0 is none.
	Prefix uint64
	// Body is the size of the request in bytes.
	Body int
	// Cross says that the own region is full and the attempt was admitted to
	// another one.
	Cross bool
	// Tried are upstreams that are not asked again.
	Tried []core.UpstreamID
}

// Choice is the chosen upstream.
type Choice struct {
	ID core.UpstreamID
	// Crossing says that the attempt goes over the link between regions. Its
	// bytes are charged with Crossed.
	Crossing bool
}

// Picker chooses. It belongs to one goroutine at a time.
type Picker struct {
	zone   core.Zone
	region core.Region
	link   budget
	pools  map[Pool]*pool
	peers  map[core.UpstreamID]*peer
}

// Option changes a Picker at construction.
type Option func(*Picker)

// CrossingBudget sets the bytes per second that this entry may send and
// receive over the link between regions.
func CrossingBudget(rate int64) Option {
	return func(pk *Picker) { pk.link = newBudget(float64(rate)) }
}

// DefaultCrossing is the budget of one entry. The link carries 30 Mbit/s, 3.75
// MB a second, each way. Half of it is left to the store's traffic and the
// configuration; four entries share the rest.
const DefaultCrossing = 450 << 10

// New returns a picker for an entry's place.
func New(zo core.Zone, re core.Region, opts ...Option) *Picker {
	pk := &Picker{zone: zo, region: re, pools: map[Pool]*pool{}, peers: map[core.UpstreamID]*peer{}}
	CrossingBudget(DefaultCrossing)(pk)
	for _, opt := range opts {
		opt(pk)
	}
	return pk
}

const (
	// MaxSubset bounds the candidates of a decision.
	MaxSubset = 64
	// zoneFull is the load above which the own availability zone is no longer
	// preferred. Zones of a region are close together, so the preference is
	// worth little, and a full zone beside an idle one costs a whole wait.
	zoneFull = 0.75
	// slotFree is the load up to which an upstream has a slot for the attempt.
	slotFree = 1.0
	// farFree is the load below which another region takes work from here.
	// Above it that region is about to fill up by itself.
	farFree = 0.75
	// redraws bounds the pairs drawn when all drawn so far are slow or full.
	// One pair is enough almost always; a few more find the last free slots of
	// a pool that is nearly full.
	redraws = 4
)

// field is the candidates of one decision, sorted by distance, without
// allocation.
type field struct {
	cands []core.Upstream
	pl    *pool
	now   time.Time
	mean  float64
	near  [MaxSubset]uint8
	far   [MaxSubset]uint8
	zones int // near[:zones] stand in the own availability zone.
	nears int
	fars  int
}

// Pick returns the upstream for an attempt, or false when there is none. At
// most [MaxSubset] candidates are looked at; no more than their hash is filled in. Draw
// returns a number from 0 to n-1.
//
// The load it is made for is a pool of which every entry sees only its own
// attempts and old reports. Were all entries to take the least loaded upstream
// of the last report, they would all take the same one.
func (pk *Picker) Pick(now time.Time, rq Request, cands []core.Upstream, draw func(n int) int) (Choice, bool) {
	fi := field{cands: cands[:min(len(cands), MaxSubset)], pl: pk.pool(rq.Pool), now: now}
	pk.sort(&fi, rq.Tried)
	fi.pl.picks++
	fi.pl.size = fi.nears + fi.fars
	if fi.nears == 0 {
		return pk.cross(&fi, rq, draw, 0)
	}
	if rq.Cross {
		if ch, ok := pk.cross(&fi, rq, draw, slotFree); ok {
			return ch, true
		}
	}
	if rq.Prefix != 0 {
		if ix, ok := pk.affine(&fi, rq.Prefix); ok {
			return Choice{ID: cands[ix].Host.ID}, true
		}
	}
	best, load := pk.twoChoices(&fi, fi.near[:fi.zones], draw, zoneFull)
	if load > zoneFull && fi.zones < fi.nears {
		other, lo := pk.twoChoices(&fi, fi.near[:fi.nears], draw, slotFree)
		if lo < load {
			best = other
		}
	}
	return Choice{ID: cands[best].Host.ID}, true
}

// sort keeps the candidates that take work: their link stands, and neither
// they nor the host list say that they are leaving.
func (pk *Picker) sort(fi *field, tried []core.UpstreamID) {
	var slots, work int
	for ix := range fi.cands {
		up := &fi.cands[ix]
		if !up.Up || up.Leaving || len(tried) > 0 && slices.Contains(tried, up.Host.ID) {
			continue
		}
		if up.Host.Region != pk.region {
			fi.far[fi.fars] = uint8(ix)
			fi.fars++
			continue
		}
		slots += max(up.Load.Slots, 1)
		work += max(up.Load.Running+up.Load.Queued-up.OwnThen, 0) + up.Own
		fi.near[fi.nears] = uint8(ix)
		if up.Host.Zone == pk.zone {
			// The own availability zone goes to the front.
			fi.near[fi.nears], fi.near[fi.zones] = fi.near[fi.zones], uint8(ix)
			fi.zones++
		}
		fi.nears++
	}
	if slots > 0 {
		fi.mean = float64(work) / float64(slots)
	}
}

// twoChoices draws pairs until one has an upstream that is not slow and whose
// load is at most enough, and returns the best seen. Without candidates the
// load is beyond all.
func (pk *Picker) twoChoices(fi *field, among []uint8, draw func(n int) int, enough float64) (best int, load float64) {
	best, load = -1, beyond
	for range redraws {
		if len(among) == 0 || load <= enough {
			break
		}
		one := draw(len(among))
		two := one
		if len(among) > 1 {
			two = (one + 1 + draw(len(among)-1)) % len(among)
		}
		for _, at := range [2]int{one, two} {
			ix := int(among[at])
			lo, probe := pk.load(fi, ix)
			if probe {
				return ix, 0
			}
			if lo < load {
				best, load = ix, lo
			}
		}
	}
	return best, load
}

// beyond is above any load; slowLoad is added to that of a slow upstream, so
// that it is taken only when nothing else is there.
const (
	beyond   = 1e9
	slowLoad = 1e6
)

// load is the share of an upstream's slots that is taken once the attempt runs
// there, less a little so that a last free slot counts as free; and whether
// the attempt may go there to find out whether it is still slow.
func (pk *Picker) load(fi *field, ix int) (lo float64, probe bool) {
	up := &fi.cands[ix]
	lo = utilisation(fi.now, up, fi.mean)
	pe := pk.peers[up.Host.ID]
	if pe == nil || !pe.slow(fi.now, fi.pl) {
		return lo, false
	}
	if pe.mayProbe(fi.now, fi.pl) {
		return lo, true
	}
	return lo + slowLoad, false
}

// halfAge is the age at which a report counts half. Attempts of a second or
// two are the usual case, so after a second about half of what the report
// counted has ended.
const halfAge = time.Second

// utilisation is the work at an upstream, with the new attempt, over its
// slots. The work of other entries is known only from the report; as that
// ages, it is taken to be nearer to the mean of the region. An old report of
// an idle upstream then attracts no more than its part, and an old report of a
// full one repels no longer than needed.
func utilisation(now time.Time, up *core.Upstream, mean float64) float64 {
	slots := float64(max(up.Load.Slots, 1))
	others := float64(max(up.Load.Running+up.Load.Queued-up.OwnThen, 0))
	if age := now.Sub(up.Reported); age > 0 && !up.Reported.IsZero() {
		trust := float64(halfAge) / float64(halfAge+age)
		expected := max(mean*slots-float64(up.Own), 0)
		others = trust*others + (1-trust)*min(others, expected)
	}
	return (others + float64(up.Own) + 1) / slots
}
