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
	// Region is the hash of the region's name, see [Hash].
	Region uint64
	// Upstreams are the upstreams with the most work, and Others the mean of the others that have any.
	Upstreams []UpstreamLoad
	Others    UpstreamLoad
}

// remoteLoadTTL is how long a region's load counts; one entry or another announces it every
// [RemoteInterval].
const remoteLoadTTL = 2500 * time.Millisecond

// RemoteInterval is how often an entry announces its region's load to one entry of each other
// region.
const RemoteInterval = time.Second

// remoteLoad is the announced load of another region.
type remoteLoad struct {
	at        time.Time
	upstreams map[uint64]UpstreamLoad
	others    UpstreamLoad
}

// RegionLoad returns the known load of the local region. It lists at most maxUpstreams upstreams
// individually, and the mean of the others.
func (pk *Picker) RegionLoad(now time.Time, maxUpstreams int) RegionLoad {
	sum := maps.Clone(pk.siblingTotals(now).upstreams)
	for _, us := range pk.states {
		if us.own > 0 {
			addLoad(sum, UpstreamLoad{Upstream: us.hash, Own: us.own, Pending: us.pending})
		}
	}
	lo := RegionLoad{Region: Hash(pk.region), Upstreams: slices.Collect(maps.Values(sum))}
	slices.SortFunc(lo.Upstreams, func(a, b UpstreamLoad) int {
		return cmp.Or(cmp.Compare(b.Pending, a.Pending), cmp.Compare(b.Own, a.Own), cmp.Compare(a.Upstream, b.Upstream))
	})
	if len(lo.Upstreams) > maxUpstreams {
		lo.Others = meanLoad(lo.Upstreams[maxUpstreams:])
		lo.Upstreams = lo.Upstreams[:maxUpstreams]
	}
	return lo
}

func meanLoad(loads []UpstreamLoad) UpstreamLoad {
	var sum UpstreamLoad
	for _, ul := range loads {
		sum.Own += ul.Own
		sum.Pending += ul.Pending
	}
	return UpstreamLoad{Own: sum.Own / len(loads), Pending: sum.Pending / time.Duration(len(loads))}
}

// ReceiveRegionLoad applies the load that another region announced.
func (pk *Picker) ReceiveRegionLoad(now time.Time, lo RegionLoad) {
	if pk.off.Has(mechanism.RegionLoads) || lo.Region == Hash(pk.region) {
		return
	}
	rl := remoteLoad{at: now, upstreams: make(map[uint64]UpstreamLoad, len(lo.Upstreams)), others: lo.Others}
	for _, ul := range lo.Upstreams {
		rl.upstreams[ul.Upstream] = ul
	}
	pk.remote[lo.Region] = rl
}

// RemoteCalls are the calls to upstreams of another region.
type RemoteCalls struct {
	// To is the hash of the name of that region, and From the hash of the sender's.
	To, From uint64
	Calls    []UpstreamLoad
}

// addRemoteCall queues a call for the announcement to the entries of its upstream's region.
func (pk *Picker) addRemoteCall(us *upstreamState, ul UpstreamLoad) {
	if us.remote && len(pk.newRemoteCalls[us.region]) < maxUnannounced {
		pk.newRemoteCalls[us.region] = append(pk.newRemoteCalls[us.region], ul)
	}
}

// TakeRemoteCalls returns the calls to other regions since the last call of TakeRemoteCalls, and
// clears them. A long prompt there delays all that come after it, and the load that a region
// announces once a second comes too late for them.
func (pk *Picker) TakeRemoteCalls() []RemoteCalls {
	var out []RemoteCalls
	for region, calls := range pk.newRemoteCalls {
		out = append(out, RemoteCalls{To: region, From: Hash(pk.region), Calls: calls})
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
	for _, ul := range sent.Calls {
		addLoad(rl.upstreams, ul)
	}
}

// remoteWork returns the work that entries of other regions have at an upstream, and reports
// whether the entries of its own region announced their load.
func (pk *Picker) remoteWork(now time.Time, us *upstreamState) (own float64, pending time.Duration, known bool) {
	for region, rl := range pk.remote {
		if now.Sub(rl.at) > remoteLoadTTL {
			continue
		}
		ul, listed := rl.upstreams[us.hash]
		if !listed && region == us.region {
			ul = rl.others
		}
		own += float64(ul.Own)
		pending += ul.Pending
		known = known || region == us.region
	}
	return own, pending, known
}
