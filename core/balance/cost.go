package balance

import (
	"time"

	"skylarkstand/core"
	"skylarkstand/core/mechanism"
)

const (
	// zoneCost and regionCost are the cost of another availability zone or region: the round trip,
	// and the price by volume converted to time.
	zoneCost   = 12 * time.Millisecond
	regionCost = 450 * time.Millisecond
	// remoteWaitShare is the share of the mean wait at local engines that is assumed at engines of
	// another region whose load is unknown. Assuming all of it would keep work from a region that
	// is idle while this one is busy; assuming none of it would send all work there.
	remoteWaitShare = 0.5
	// batchCost is what one more request in an engine's batch adds to each of the others over a
	// complete response.
	batchCost = 14 * time.Millisecond
	// slotTime is how long a call occupies a slot of a plain service, assumed until the first
	// response.
	slotTime = 40 * time.Millisecond
	// maxJitter keeps entries with the same information from selecting the same upstream; it is
	// below every significant difference in cost.
	maxJitter = 4 * time.Millisecond
	// preferredCachedShare is the fraction of a prompt's reusable prefix that is assumed to be cached
	// at its preferred upstream (see preferredUpstream), while no other entry announces which parts
	// engines have processed.
	preferredCachedShare = 0.4
	// sharedCost is the cost of repeating the prefill of a thousand shared tokens that some engine
	// has cached: they are billed once more, and their prefill delays the other streams of this
	// engine.
	sharedCost = 300 * time.Millisecond
	// lateFactor weighs the part of the expected time to the first event that is above slackShare of
	// the slack: a shorter wait costs the caller nothing, a longer one a part of the response's
	// value.
	slackShare = 0.25
	lateFactor = 2.0
	// fullCost keeps attempts from an upstream without a free slot while another upstream has one.
	fullCost = 3 * time.Second
)

// decision holds the values that all candidates of a selection share.
type decision struct {
	latency   *latency
	preferred core.UpstreamID
	// minFailureRate is the least failure rate of the candidates: a failure that affects all of
	// them counts against none.
	minFailureRate float64
	// hasLocal is set if a candidate is in the local region.
	hasLocal bool
	// prefill is the time for a thousand tokens, repeatedPrefill the cost of repeating the prefill
	// of all shared parts.
	prefill, repeatedPrefill time.Duration
}

func (pk *Picker) newDecision(now time.Time, hosts []core.Host, rq Request) decision {
	de := decision{latency: pk.latency(rq), hasLocal: pk.anyLocal(hosts)}
	if rq.Engine {
		de.preferred = pk.preferredUpstream(now, hosts, rq)
		de.prefill = pk.prefill.perThousand(rq.Model)
		de.repeatedPrefill = pk.sharedPrefillCost(sharedTokens(rq.Parts))
		pk.updateLocalWait(now, hosts)
	}
	for i := range hosts {
		rate := pk.stateOf(&hosts[i]).failureRate(now)
		if i == 0 || rate < de.minFailureRate {
			de.minFailureRate = rate
		}
	}
	return de
}

// cost returns the expected time to the first byte of a response from an upstream, plus penalties
// expressed as time.
func (pk *Picker) cost(now time.Time, ho *core.Host, rq Request, de decision) time.Duration {
	us := pk.stateOf(ho)
	cost := pk.distanceCost(ho) + us.unavailableCost(now) + pk.limitCost(now, ho, us, rq, de)
	if !pk.off.Has(mechanism.Avoidance) {
		cost += us.failurePenalty(now, de, rq)
	}
	load, pending := pk.workAt(now, us)
	slowdown := pk.slowdownOf(us)
	if rq.Engine {
		uncached := rq.Prompt - us.cachedTokens(now, rq)
		if ho.ID == de.preferred {
			uncached = min(uncached, rq.Prompt-core.Tokens(preferredCachedShare*float64(sharedTokens(rq.Parts))))
		}
		first := scale(pending+prefillTime(de.prefill, uncached), slowdown)
		cost += first + pk.latenessCost(rq, first) + time.Duration(slowdown*load*float64(batchCost)) + pk.repeatedPrefillCost(rq, uncached)
	} else {
		cost += time.Duration(slowdown * load * float64(de.latency.meanOr(slotTime)) / float64(max(ho.Slots, 1)))
	}
	if ho.Slots > 0 && load >= float64(ho.Slots) {
		cost += fullCost
	}
	if pk.off.Has(mechanism.SlowUpstreamPenalty) {
		return cost
	}
	return time.Duration(float64(cost) * us.slowFactor())
}

// latenessCost is the penalty for a response whose first event is expected after the given time.
func (pk *Picker) latenessCost(rq Request, first time.Duration) time.Duration {
	if rq.Slack <= 0 || pk.off.Has(mechanism.LatenessPenalty) {
		return 0
	}
	return max(time.Duration(lateFactor*(float64(first)-slackShare*float64(rq.Slack))), 0)
}

// repeatedPrefillCost is the penalty for the shared parts among the uncached tokens.
func (pk *Picker) repeatedPrefillCost(rq Request, uncached core.Tokens) time.Duration {
	all := sharedTokens(rq.Parts)
	return pk.sharedPrefillCost(min(all-(rq.Prompt-uncached), all))
}

// sharedPrefillCost is the penalty, as time, for repeating the prefill of a number of shared tokens.
func (pk *Picker) sharedPrefillCost(tok core.Tokens) time.Duration {
	if pk.off.Has(mechanism.SharedPrefillPenalty) {
		return 0
	}
	return prefillTime(sharedCost, tok)
}

// workAt returns the calls at an upstream, and the prefill time of the prompts that are queued
// there: this entry's own, and those of the others as they announced them, or else as the upstream
// reported. At engines of another region that announced nothing lately, a share of the mean wait at
// local engines is assumed.
func (pk *Picker) workAt(now time.Time, us *upstreamState) (load float64, pending time.Duration) {
	own, wait, known := pk.siblingWork(now, us.hash)
	remoteOwn, remoteWait, remoteKnown := pk.remoteWork(now, us)
	if known && !us.remote || remoteKnown {
		return float64(us.own) + own + remoteOwn, us.pending + wait + remoteWait
	}
	load, pending = us.load(now), us.pending+us.reportedWait(now, pk.meanPrefillTime())
	if known {
		pending = max(pending, time.Duration(remoteWaitShare*float64(pk.localWait)))
	}
	return load, pending
}

// updateLocalWait updates the mean wait at the engines of the local region.
func (pk *Picker) updateLocalWait(now time.Time, hosts []core.Host) {
	sum, n := time.Duration(0), 0
	for i := range hosts {
		us := pk.stateOf(&hosts[i])
		if us.remote || now.Before(us.downUntil) {
			continue
		}
		_, pending := pk.workAt(now, us)
		sum += pending
		n++
	}
	pk.localWait = sum / time.Duration(max(n, 1))
}

func scale(du time.Duration, factor float64) time.Duration {
	return time.Duration(float64(du) * factor)
}

// prefillTime returns the prefill time of a number of tokens, from the time for a thousand.
func prefillTime(perThousand time.Duration, tok core.Tokens) time.Duration {
	return time.Duration(float64(perThousand) * float64(max(tok, 0)) / 1000)
}

func (pk *Picker) distanceCost(ho *core.Host) time.Duration {
	switch {
	case ho.Zone == pk.zone:
		return 0
	case ho.Region == pk.region:
		return zoneCost
	default:
		return regionCost
	}
}
