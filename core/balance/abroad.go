package balance

import (
	"cmp"
	"slices"
	"time"

	"skylarkstand/core/mechanism"
)

// RegionLoad is what all entries of one region have at upstreams, as one of them
// knows it.
//
// It is made for a region that has lost a part of its engines: work may go to
// another region, whose entries tell theirs what waits there. Guessed from the own
// waits, engines abroad look as busy as the own ones although they are idle.
type RegionLoad struct {
	// Region is the hash of its name, see [HashOf].
	Region uint64
	// Shares are the upstreams with the most work, and Rest the mean of the others
	// that have any.
	Shares []Share
	Rest   Share
}

// abroadLife is how long a region's load counts; it comes every [AbroadEvery] from
// one entry or another.
const abroadLife = 2500 * time.Millisecond

// AbroadEvery is how often an entry tells one of each other region.
const AbroadEvery = time.Second

// abroad is the load of another region.
type abroad struct {
	at     time.Time
	shares map[uint64]Share
	rest   Share
}

// RegionLoad returns what this entry knows of its region, with at most so many
// upstreams in full.
func (pk *Picker) RegionLoad(now time.Time, most int) RegionLoad {
	sum := map[uint64]Share{}
	add := func(sh Share) {
		old := sum[sh.Upstream]
		sum[sh.Upstream] = Share{sh.Upstream, old.Own + sh.Own, old.Pending + sh.Pending}
	}
	for _, pe := range pk.peers {
		if pe.own > 0 {
			add(Share{pe.hash, pe.own, pe.pending})
		}
	}
	for _, to := range pk.told {
		if now.Sub(to.at) > shareLife {
			continue
		}
		for _, sh := range to.shares {
			add(sh)
		}
	}
	lo := RegionLoad{Region: HashOf(pk.region)}
	for _, sh := range sum {
		lo.Shares = append(lo.Shares, sh)
	}
	slices.SortFunc(lo.Shares, func(a, b Share) int {
		return cmp.Or(cmp.Compare(b.Pending, a.Pending), cmp.Compare(b.Own, a.Own), cmp.Compare(a.Upstream, b.Upstream))
	})
	if len(lo.Shares) > most {
		lo.Rest = mean(lo.Shares[most:])
		lo.Shares = lo.Shares[:most]
	}
	return lo
}

func mean(shares []Share) Share {
	var sum Share
	for _, sh := range shares {
		sum.Own += sh.Own
		sum.Pending += sh.Pending
	}
	return Share{Own: sum.Own / len(shares), Pending: sum.Pending / time.Duration(len(shares))}
}

// ToldRegion takes in another region's load.
func (pk *Picker) ToldRegion(now time.Time, lo RegionLoad) {
	if pk.off.Has(mechanism.ToldRegions) || lo.Region == HashOf(pk.region) {
		return
	}
	ab := abroad{at: now, shares: make(map[uint64]Share, len(lo.Shares)), rest: lo.Rest}
	for _, sh := range lo.Shares {
		ab.shares[sh.Upstream] = sh
	}
	pk.abroad[lo.Region] = ab
}

// SentAbroad is work that went to upstreams of another region.
type SentAbroad struct {
	// To is the hash of that region's name, and From that of the teller's.
	To, From uint64
	Shares   []Share
}

// sentAbroad notes work that the entries of its upstream's region are to be told of.
func (pk *Picker) sentAbroad(pe *peer, sh Share) {
	if pe.far && len(pk.abroadSent[pe.region]) < maxRecent {
		pk.abroadSent[pe.region] = append(pk.abroadSent[pe.region], sh)
	}
}

// SentAbroad returns the work that went to other regions since the last call. A long
// prompt there holds up all that come after it, and what a region tells once a second
// is too late for them.
func (pk *Picker) SentAbroad() []SentAbroad {
	var out []SentAbroad
	for region, shares := range pk.abroadSent {
		out = append(out, SentAbroad{To: region, From: HashOf(pk.region), Shares: shares})
	}
	clear(pk.abroadSent)
	return out
}

// ToldSentAbroad adds what an entry of another region has just sent here to what that
// region told before. Where it has told nothing lately, it is passed over.
func (pk *Picker) ToldSentAbroad(now time.Time, sent SentAbroad) {
	ab, known := pk.abroad[sent.From]
	if !known || now.Sub(ab.at) > abroadLife {
		return
	}
	for _, sh := range sent.Shares {
		old := ab.shares[sh.Upstream]
		ab.shares[sh.Upstream] = Share{sh.Upstream, old.Own + sh.Own, old.Pending + sh.Pending}
	}
}

// fromAbroad returns what the entries of other regions have at an upstream, and
// reports whether those of its own region have told.
func (pk *Picker) fromAbroad(now time.Time, pe *peer) (own float64, pending time.Duration, known bool) {
	for region, ab := range pk.abroad {
		if now.Sub(ab.at) > abroadLife {
			continue
		}
		sh, listed := ab.shares[pe.hash]
		if !listed && region == pe.region {
			sh = ab.rest
		}
		own += float64(sh.Own)
		pending += sh.Pending
		known = known || region == pe.region
	}
	return own, pending, known
}
