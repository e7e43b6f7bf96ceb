package balance

import (
	"math"
	"time"

	"skylarkstand/core"
)

// peer is what is known of one upstream.
type peer struct {
	born int64
	hash uint64
	// far is an upstream of another region; region is the hash of its region.
	far    bool
	region uint64
	// own counts this entry's attempts there, pending is the time that the
	// prompts among them need that were not begun.
	own, unbegun int
	pending      time.Duration
	// queued is what an answer reported to wait there beside the own attempts.
	queued float64
	// others is what an answer reported beside the own attempts, at a time.
	others   float64
	reported time.Time
	// heard is when anything last came of any attempt there.
	heard time.Time
	// fails follows the share of attempts that failed, at the time last.
	fails float64
	last  time.Time
	// down is until when nothing is sent after it could not be reached; away
	// counts how often in a row.
	down time.Time
	away int
	// awayUntil is when it was last known not to answer.
	awayUntil time.Time
	full      time.Time
	ratio     float64
	cache     cache
	// avoided is whether the upstream counts as avoided, for whoever asks why
	// work goes elsewhere.
	avoided bool
}

// Turn is a change of what an entry makes of an upstream.
type Turn int

// The turns.
const (
	// Same: no change.
	Same Turn = iota
	// Avoided: work is kept from it from now on, while others are there.
	Avoided
	// Trusted: it is as good as the others again.
	Trusted
)

// avoidedFrom is the share of failures from which an upstream counts as
// avoided: that after one failure of a sound one. It then seems slower by 0.2 s,
// which is more than the load of a calm pool makes of any.
const avoidedFrom = failWeight

// avoids reports whether work is kept from the upstream.
func (pe *peer) avoids(now time.Time) bool {
	return now.Before(pe.down) || pe.badness(now) >= avoidedFrom
}

// turn notes whether the upstream is avoided after an outcome.
func (pe *peer) turn(now time.Time) Turn {
	was := pe.avoided
	pe.avoided = pe.avoids(now)
	switch {
	case pe.avoided == was:
		return Same
	case pe.avoided:
		return Avoided
	default:
		return Trusted
	}
}

const (
	// reportHalf is the age at which a report of others' load counts half:
	// answers take a second or two.
	reportHalf = 1500 * time.Millisecond
	// queueHalf is the age at which a report of a queue counts half.
	queueHalf = 400 * time.Millisecond
	// failWeight weighs the newest outcome. Four failures in a row lift an
	// upstream from sound to 0.68.
	failWeight = 0.25
	// failHalf is the time in which a bad past is forgiven by half, so that
	// an upstream that recovers is tried again within seconds.
	failHalf = 4 * time.Second
	// failCost is what a certain failure is worth in time, for work that can
	// run again and for work that cannot.
	failCost     = 1500 * time.Millisecond
	failCostOnce = 6 * time.Second
	// failMargin is the failures above the best candidate's that are ignored, as
	// chance.
	failMargin = 0.12
	// downFirst and downMost bound how long an upstream rests that could not
	// be reached, and absentMost how long one where nobody listens: a crashed one
	// is back after some seconds, and a connection that is refused costs little.
	downFirst  = 400 * time.Millisecond
	downMost   = 3 * time.Second
	absentMost = 1500 * time.Millisecond
	downCost   = 20 * time.Second
	// replacedFor is how long nothing is sent to an upstream whose address has
	// another one by now. It is gone for good; only the list is late, by as much
	// as a cut between it and the store lasts.
	replacedFor = 10 * time.Second
	// fullFor is how long a refusal for want of room counts.
	fullFor = 250 * time.Millisecond
	// ratioWeight is the weight of the newest answer in an upstream's pace, and
	// maxRatio caps the weight of a single observation.
	ratioWeight = 0.2
	maxRatio    = 8.0
	// ratioMargin is the slowness that is taken for chance.
	ratioMargin = 1.5
)

// peer returns what is known of an upstream. One that comes back under its id
// with another start is a new one.
func (pk *Picker) peer(ho *core.Host) *peer {
	pe := pk.peers[ho.ID]
	if pe == nil || pe.born != ho.Born {
		pe = &peer{born: ho.Born, hash: HashOf(ho.ID), far: ho.Region != pk.region, region: HashOf(ho.Region), ratio: 1, cache: newCache()}
		pk.peers[ho.ID], pk.hashed[pe.hash] = pe, pe
	}
	return pe
}

// Forget drops what is known of an upstream that is gone.
func (pk *Picker) Forget(id core.UpstreamID) {
	delete(pk.peers, id)
	delete(pk.hashed, HashOf(id))
}

// load is the calls at the upstream: the own ones, and the others' as they
// were reported, fading with age.
func (pe *peer) load(now time.Time) float64 {
	return float64(pe.own) + pe.others*fade(now.Sub(pe.reported), reportHalf)
}

// fade is the weight of something that halves with each half of age.
func fade(age, half time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(half))
}

func (pe *peer) report(now time.Time, lo core.Load) {
	pe.others = max(float64(lo.Running+lo.Queued-pe.own), 0)
	pe.queued = max(float64(lo.Queued-pe.unbegun), 0)
	pe.reported = now
}

// waiting is the time that others' prompts need that wait there, each the usual
// one. A report of it is old as soon as an engine has read a prompt.
func (pe *peer) waiting(now time.Time, usual time.Duration) time.Duration {
	return time.Duration(pe.queued * fade(now.Sub(pe.reported), queueHalf) * float64(usual))
}

func (pe *peer) badness(now time.Time) float64 { return pe.fails * fade(now.Sub(pe.last), failHalf) }

// rests is what speaks against an upstream that could not be reached or had no
// room a moment ago, in time.
func (pe *peer) rests(now time.Time) time.Duration {
	var cost time.Duration
	if now.Before(pe.down) {
		cost += downCost
	}
	if now.Before(pe.full) {
		cost += fullCost
	}
	return cost
}

// avoid is what an upstream's failures speak against it, in time.
func (pe *peer) avoid(now time.Time, fi field, rq Request) time.Duration {
	worse := max(pe.badness(now)-fi.badness-failMargin, 0)
	// What fails has to be read again elsewhere, whatever was kept here.
	unit := failCost + scale(fi.read, rq.Prompt) + fi.again
	if rq.Once {
		unit = failCostOnce
	}
	return time.Duration(worse * float64(unit))
}

func (pe *peer) ended(now time.Time, out Outcome) {
	bad := 0.0
	switch out {
	case Abandoned:
		return
	case Refused:
		pe.full = now.Add(fullFor)
		return
	case Unreached, Absent:
		pe.away++
		most := downMost
		if out == Absent {
			most = absentMost
		}
		pe.down = now.Add(min(downFirst<<min(pe.away-1, 4), most))
		pe.awayUntil = pe.down
		return
	case Replaced:
		pe.down = now.Add(replacedFor)
		return
	case Failed, Overdue:
		bad = 1
	case Good:
		pe.away = 0
	}
	pe.fails = pe.badness(now)
	pe.fails += failWeight * (bad - pe.fails)
	pe.last = now
}

// paced follows how long answers took to begin, against the usual of the pool
// and what their prompts alone need.
func (pe *peer) paced(pl *pool, took, read time.Duration) {
	if pl.count < trusted {
		return
	}
	ratio := float64(took) / float64(max(pl.usual(0), read, time.Millisecond))
	pe.ratio += ratioWeight * (min(ratio, maxRatio) - pe.ratio)
}

// slowness is the factor on an upstream's expected time.
func (pe *peer) slowness() float64 {
	return max(pe.ratio/ratioMargin, 1)
}
