package balance

import (
	"time"

	"skylarkstand/core"
	"skylarkstand/core/mechanism"
)

const (
	// zoneCost and regionCost are the cost of another availability zone or region:
	// the round trip, and the price by volume turned into time.
	zoneCost   = 12 * time.Millisecond
	regionCost = 450 * time.Millisecond
	// farPart is the part of the mean wait at engines of the own region that is
	// assumed at those of another. All of it would keep work from a region that is
	// idle while this one is not, none of it sends everybody there.
	farPart = 0.5
	// batchCost is what one more request in an engine's batch adds to each of
	// the others over a whole answer.
	batchCost = 14 * time.Millisecond
	// placeCost is the time a place of a plain service is taken by one call,
	// before any was seen.
	placeCost = 40 * time.Millisecond
	// jitter keeps entries with the same knowledge from taking the same
	// upstream; it is below every difference that matters.
	jitter = 4 * time.Millisecond
	// homeShare is the part of a prompt's shared parts that is taken as kept at the
	// upstream that rendezvous hashing prefers for it, while no other entry tells
	// what was read where.
	homeShare = 0.4
	// sharedCost is the cost of reading a thousand tokens again that requests share
	// and some engine keeps: they are paid for once more, and reading them holds up
	// this engine's other streams.
	sharedCost = 300 * time.Millisecond
	// slackPart is the part of the time that is left until an answer begins too
	// late from which lateCost weighs the expected time to its first event: before
	// that a wait costs its caller nothing, beyond it a part of the answer's worth.
	slackPart = 0.25
	lateCost  = 2.0
	// fullCost keeps attempts from an upstream whose places are all taken
	// while another has one.
	fullCost = 3 * time.Second
)

// field is what all candidates of a decision share.
type field struct {
	pool *pool
	home core.UpstreamID
	// badness is the least of the candidates' failures: what fails everywhere
	// speaks against none of them.
	badness float64
	// read is the time for a thousand tokens, again the price of reading all
	// shared parts anew.
	read, again time.Duration
}

func (pk *Picker) field(now time.Time, hosts []core.Host, rq Request) field {
	fi := field{pool: pk.pool(rq)}
	if rq.Engine {
		fi.home = pk.home(now, hosts, rq)
		fi.read = pk.reading.thousand(rq.Model)
		fi.again = pk.sharedPrice(shared(rq.Parts))
		pk.followNear(now, hosts)
	}
	for i := range hosts {
		bad := pk.peer(&hosts[i]).badness(now)
		if i == 0 || bad < fi.badness {
			fi.badness = bad
		}
	}
	return fi
}

// cost is the expected time to the first byte of an answer at an upstream,
// with what else speaks against it turned into time.
func (pk *Picker) cost(now time.Time, ho *core.Host, rq Request, fi field) time.Duration {
	pe := pk.peer(ho)
	cost := pk.distance(ho) + pe.rests(now)
	if !pk.off.Has(mechanism.Avoidance) {
		cost += pe.avoid(now, fi, rq)
	}
	load, pending := pk.work(now, pe)
	if rq.Engine {
		fresh := rq.Prompt - pe.kept(now, rq)
		if ho.ID == fi.home {
			fresh = min(fresh, rq.Prompt-core.Tokens(homeShare*float64(shared(rq.Parts))))
		}
		first := pending + scale(fi.read, fresh)
		cost += first + pk.late(rq, first) + time.Duration(load*float64(batchCost)) + pk.again(rq, fresh)
	} else {
		cost += time.Duration(load * float64(fi.pool.usual(placeCost)) / float64(max(ho.Slots, 1)))
	}
	if ho.Slots > 0 && load >= float64(ho.Slots) {
		cost += fullCost
	}
	if pk.off.Has(mechanism.Slowness) {
		return cost
	}
	return time.Duration(float64(cost) * pe.slowness())
}

// late is what speaks against an answer that is expected to begin after so long.
func (pk *Picker) late(rq Request, first time.Duration) time.Duration {
	if rq.Slack <= 0 || pk.off.Has(mechanism.Slack) {
		return 0
	}
	return max(time.Duration(lateCost*(float64(first)-slackPart*float64(rq.Slack))), 0)
}

// again is the price of the shared parts that are among the tokens to be read.
func (pk *Picker) again(rq Request, fresh core.Tokens) time.Duration {
	all := shared(rq.Parts)
	return pk.sharedPrice(min(all-(rq.Prompt-fresh), all))
}

// sharedPrice is what it is worth in time not to read shared parts anew.
func (pk *Picker) sharedPrice(tok core.Tokens) time.Duration {
	if pk.off.Has(mechanism.SharedPrice) {
		return 0
	}
	return scale(sharedCost, tok)
}

// work is the calls at an upstream, and the time that the prompts need that
// wait there: the own ones, and the others' as they tell, or else as the
// upstream reported. Of engines of another region whose entries have not told
// lately, a part of what those of the own one have is assumed.
func (pk *Picker) work(now time.Time, pe *peer) (load float64, pending time.Duration) {
	own, wait, known := pk.others(now, pe.hash)
	remoteOwn, remoteWait, told := pk.atRemoteEntries(now, pe)
	if known && !pe.far || told {
		return float64(pe.own) + own + remoteOwn, pe.pending + wait + remoteWait
	}
	load, pending = pe.load(now), pe.pending+pe.waiting(now, pk.usualRead())
	if known {
		pending = max(pending, time.Duration(farPart*float64(pk.nearWait)))
	}
	return load, pending
}

// followNear notes the mean wait at the engines of the own region.
func (pk *Picker) followNear(now time.Time, hosts []core.Host) {
	sum, n := time.Duration(0), 0
	for i := range hosts {
		pe := pk.peer(&hosts[i])
		if pe.far || now.Before(pe.down) {
			continue
		}
		_, pending := pk.work(now, pe)
		sum += pending
		n++
	}
	pk.nearWait = sum / time.Duration(max(n, 1))
}

// scale is the time to read so many tokens, at a time for a thousand.
func scale(thousand time.Duration, tok core.Tokens) time.Duration {
	return time.Duration(float64(thousand) * float64(max(tok, 0)) / 1000)
}

func (pk *Picker) distance(ho *core.Host) time.Duration {
	switch {
	case ho.Zone == pk.zone:
		return 0
	case ho.Region == pk.region:
		return zoneCost
	default:
		return regionCost
	}
}
