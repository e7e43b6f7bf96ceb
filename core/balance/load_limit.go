package balance

import (
	"slices"
	"time"

	"skylarkstand/core"
)

const (
	// overLimitCost keeps attempts from an upstream at its load limit while another one is below it.
	overLimitCost = 3 * time.Second
	// watchedCallCost is the cost, as time, of each call at an upstream whose version is watched. It exceeds
	// zoneCost, so that the calls spread over the availability zones of the region.
	watchedCallCost = 30 * time.Millisecond
	// maxRecentCalls bounds the calls of one sibling that are remembered.
	maxRecentCalls = 32
)

// recentCall is a call that a sibling entry announced.
type recentCall struct {
	upstream uint64
	at       time.Time
}

// remember records announced calls. The load that a sibling announced counts until the next one, which
// is much longer than a call of a plain service takes.
func (sl *siblingLoad) remember(now time.Time, sent []UpstreamLoad) {
	for _, ul := range sent {
		if ul.Own > 0 {
			sl.recent = append(sl.recent, recentCall{ul.Upstream, now})
		}
	}
	if extra := len(sl.recent) - maxRecentCalls; extra > 0 {
		sl.recent = slices.Delete(sl.recent, 0, extra)
	}
}

// limitCost is the penalty, as time, for the load of an upstream whose version came with a roll-out.
//
// It is made for a burst once the old version is gone, while the version may fail under load: a few
// milliseconds of a longer way save an answer that would have failed.
func (pk *Picker) limitCost(now time.Time, ho *core.Host, us *upstreamState, rq Request, de decision) time.Duration {
	if !rq.LoadLimit.Watched() || rq.Engine && rq.LoadLimit.Limit == 0 {
		return 0
	}
	cost := time.Duration(pk.presentLoad(now, us, rq, de.latency) * float64(watchedCallCost))
	if pk.atLimit(now, ho, us, rq, de) {
		cost += overLimitCost
	}
	return cost
}

// AtLimit reports whether all upstreams of a list that were not tried are at their load limit.
func (pk *Picker) AtLimit(now time.Time, hosts []core.Host, rq Request) bool {
	de, untried := pk.newDecision(now, hosts, rq), false
	for i := range hosts {
		us := pk.stateOf(&hosts[i])
		if slices.Contains(rq.Tried, hosts[i].ID) || now.Before(us.downUntil) {
			continue
		}
		if !pk.atLimit(now, &hosts[i], us, rq, de) {
			return false
		}
		untried = true
	}
	return untried
}

// atLimit reports whether an upstream is at its load limit, or this entry at its share of it. What an
// entry knows of the calls in another region is older than most calls, so that a small limit is left to
// the entries there.
func (pk *Picker) atLimit(now time.Time, ho *core.Host, us *upstreamState, rq Request, de decision) bool {
	limit := rq.LoadLimit.Limit.Max(ho.Slots)
	if limit == 0 {
		return false
	}
	share := limit / rq.LoadLimit.Entries
	if !us.remote || !de.hasLocal {
		share = max(share, 1)
	}
	return us.own >= share || pk.presentLoad(now, us, rq, de.latency) >= float64(limit)
}

// PresentLoad returns the calls at an upstream, as far as this entry knows.
func (pk *Picker) PresentLoad(now time.Time, ho *core.Host, rq Request) int {
	return int(pk.presentLoad(now, pk.stateOf(ho), rq, pk.latency(rq)))
}

// presentLoad returns the calls at an upstream. For a plain service of this region, the calls that siblings
// announced count for the usual time of a call, and longer only if the siblings announced them again.
func (pk *Picker) presentLoad(now time.Time, us *upstreamState, rq Request, la *latency) float64 {
	if rq.Engine || us.remote {
		load, _ := pk.workAt(now, us)
		return load
	}
	load, usual := us.own, la.meanOr(slotTime)
	for _, sl := range pk.siblings {
		load += sl.recentCalls(us.hash, now.Add(-usual)) + sl.longCalls[us.hash]
	}
	return float64(load)
}

// recentCalls counts the calls to an upstream that were announced since a time.
func (sl *siblingLoad) recentCalls(hash uint64, since time.Time) int {
	n := 0
	for _, ca := range sl.recent {
		if ca.upstream == hash && ca.at.After(since) {
			n++
		}
	}
	return n
}

// findLongCalls counts the calls of a new announcement that the sibling began longer ago than calls of a
// plain service usually take.
func (sl *siblingLoad) findLongCalls(now time.Time) {
	sl.longCalls = map[uint64]int{}
	for hash, ul := range sl.upstreams {
		if long := ul.Own - sl.recentCalls(hash, now.Add(-slotTime)); long > 0 {
			sl.longCalls[hash] = long
		}
	}
}
