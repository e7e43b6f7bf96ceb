package balance

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"skylarkstand/core/mechanism"
)

// RegionLoad is what all entries of one region have at upstreams, as one of them
// knows it.
//
// It is made for a region that has lost a part of its engines: work may go to
// another region, whose entries tell theirs what waits there. Guessed from the own
// waits, remote engines look as busy as the own ones although they are idle.
type RegionLoad struct {
	// Region is the hash of its name, see [HashOf].
	Region uint64
	// Shares are the upstreams with the most work, and Rest the mean of the others
	// that have any.
	Shares []Share
	Rest   Share
}

// remoteLife is how long a region's load counts; it comes every [RemoteEvery] from
// one entry or another.
const remoteLife = 2500 * time.Millisecond

// RemoteEvery is how often an entry tells one of each other region.
const RemoteEvery = time.Second

// remoteLoad is the load of another region.
type remoteLoad struct {
	at     time.Time
	shares map[uint64]Share
	rest   Share
}

// RegionLoad returns what this entry knows of its region, with at most so many
// upstreams in full.
func (pk *Picker) RegionLoad(now time.Time, most int) RegionLoad {
	sum := maps.Clone(pk.toldSums(now).shares)
	for _, pe := range pk.peers {
		if pe.own > 0 {
			addShare(sum, Share{pe.hash, pe.own, pe.pending})
		}
	}
	lo := RegionLoad{Region: HashOf(pk.region), Shares: slices.Collect(maps.Values(sum))}
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
	rl := remoteLoad{at: now, shares: make(map[uint64]Share, len(lo.Shares)), rest: lo.Rest}
	for _, sh := range lo.Shares {
		rl.shares[sh.Upstream] = sh
	}
	pk.remote[lo.Region] = rl
}

// RemoteCalls is work that went to upstreams of another region.
type RemoteCalls struct {
	// To is the hash of that region's name, and From that of the teller's.
	To, From uint64
	Shares   []Share
}

// noteRemoteCall notes work that the entries of its upstream's region are to be told of.
func (pk *Picker) noteRemoteCall(pe *peer, sh Share) {
	if pe.far && len(pk.remoteCalls[pe.region]) < maxRecent {
		pk.remoteCalls[pe.region] = append(pk.remoteCalls[pe.region], sh)
	}
}

// RemoteCalls returns the work that went to other regions since the last call. A long
// prompt there holds up all that come after it, and what a region tells once a second
// is too late for them.
func (pk *Picker) RemoteCalls() []RemoteCalls {
	var out []RemoteCalls
	for region, shares := range pk.remoteCalls {
		out = append(out, RemoteCalls{To: region, From: HashOf(pk.region), Shares: shares})
	}
	clear(pk.remoteCalls)
	return out
}

// ToldRemoteCalls adds what an entry of another region has just sent here to what that
// region told before. Where it has told nothing lately, it is passed over.
func (pk *Picker) ToldRemoteCalls(now time.Time, sent RemoteCalls) {
	rl, known := pk.remote[sent.From]
	if !known || now.Sub(rl.at) > remoteLife {
		return
	}
	for _, sh := range sent.Shares {
		addShare(rl.shares, sh)
	}
}

// atRemoteEntries returns what the entries of other regions have at an upstream, and
// reports whether those of its own region have told.
func (pk *Picker) atRemoteEntries(now time.Time, pe *peer) (own float64, pending time.Duration, known bool) {
	for region, rl := range pk.remote {
		if now.Sub(rl.at) > remoteLife {
			continue
		}
		sh, listed := rl.shares[pe.hash]
		if !listed && region == pe.region {
			sh = rl.rest
		}
		own += float64(sh.Own)
		pending += sh.Pending
		known = known || region == pe.region
	}
	return own, pending, known
}
