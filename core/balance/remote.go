package balance

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"skylarkstand/core/mechanism"
)

// RegionLoad is the work that all entries of one region have at upstreams, as recorded by one of
// them.
//
// It is made for a region that has lost a part of its engines: work may go to another region, whose
// entries report their queues to the entries here. If that load were derived from the local waits,
// remote engines would look as busy as the local ones although they are idle.
type RegionLoad struct {
	// Region is the hash of its name, see [Hash].
	Region uint64
	// Shares are the upstreams with the most work, and Others the mean of the others that have any.
	Shares []Share
	Others Share
}

// remoteLoadTTL is how long a region's load counts; one entry or another announces it every
// [RemoteInterval].
const remoteLoadTTL = 2500 * time.Millisecond

// RemoteInterval is how often an entry announces its region's load to one entry of each other
// region.
const RemoteInterval = time.Second

// remoteLoad is the announced load of another region.
type remoteLoad struct {
	at     time.Time
	shares map[uint64]Share
	others Share
}

// RegionLoad returns the known load of the local region, with at most the given number of upstreams
// listed individually.
func (pk *Picker) RegionLoad(now time.Time, most int) RegionLoad {
	sum := maps.Clone(pk.siblingTotals(now).shares)
	for _, pe := range pk.peers {
		if pe.own > 0 {
			addShare(sum, Share{pe.hash, pe.own, pe.pending})
		}
	}
	lo := RegionLoad{Region: Hash(pk.region), Shares: slices.Collect(maps.Values(sum))}
	slices.SortFunc(lo.Shares, func(a, b Share) int {
		return cmp.Or(cmp.Compare(b.Pending, a.Pending), cmp.Compare(b.Own, a.Own), cmp.Compare(a.Upstream, b.Upstream))
	})
	if len(lo.Shares) > most {
		lo.Others = meanShare(lo.Shares[most:])
		lo.Shares = lo.Shares[:most]
	}
	return lo
}

func meanShare(shares []Share) Share {
	var sum Share
	for _, sh := range shares {
		sum.Own += sh.Own
		sum.Pending += sh.Pending
	}
	return Share{Own: sum.Own / len(shares), Pending: sum.Pending / time.Duration(len(shares))}
}

// ReceiveRegionLoad applies the load that another region announced.
func (pk *Picker) ReceiveRegionLoad(now time.Time, lo RegionLoad) {
	if pk.off.Has(mechanism.RegionLoads) || lo.Region == Hash(pk.region) {
		return
	}
	rl := remoteLoad{at: now, shares: make(map[uint64]Share, len(lo.Shares)), others: lo.Others}
	for _, sh := range lo.Shares {
		rl.shares[sh.Upstream] = sh
	}
	pk.remote[lo.Region] = rl
}

// RemoteCalls are the calls to upstreams of another region.
type RemoteCalls struct {
	// To is the hash of that region's name, and From that of the sender's.
	To, From uint64
	Shares   []Share
}

// addRemoteCall queues a call for the announcement to the entries of its upstream's region.
func (pk *Picker) addRemoteCall(pe *peer, sh Share) {
	if pe.remote && len(pk.newRemoteCalls[pe.region]) < maxUnannounced {
		pk.newRemoteCalls[pe.region] = append(pk.newRemoteCalls[pe.region], sh)
	}
}

// TakeRemoteCalls returns the calls to other regions since its last invocation. A long prompt there
// delays all that come after it, and the load that a region announces once a second comes too late
// for them.
func (pk *Picker) TakeRemoteCalls() []RemoteCalls {
	var out []RemoteCalls
	for region, shares := range pk.newRemoteCalls {
		out = append(out, RemoteCalls{To: region, From: Hash(pk.region), Shares: shares})
	}
	clear(pk.newRemoteCalls)
	return out
}

// ReceiveRemoteCalls adds the calls that an entry of another region has just sent here to the load
// that the sender's region announced before. They are ignored if it announced none lately.
func (pk *Picker) ReceiveRemoteCalls(now time.Time, sent RemoteCalls) {
	rl, known := pk.remote[sent.From]
	if !known || now.Sub(rl.at) > remoteLoadTTL {
		return
	}
	for _, sh := range sent.Shares {
		addShare(rl.shares, sh)
	}
}

// remoteWork returns the work that entries of other regions have at an upstream, and reports
// whether the entries of its own region announced their load.
func (pk *Picker) remoteWork(now time.Time, pe *peer) (own float64, pending time.Duration, known bool) {
	for region, rl := range pk.remote {
		if now.Sub(rl.at) > remoteLoadTTL {
			continue
		}
		sh, listed := rl.shares[pe.hash]
		if !listed && region == pe.region {
			sh = rl.others
		}
		own += float64(sh.Own)
		pending += sh.Pending
		known = known || region == pe.region
	}
	return own, pending, known
}
