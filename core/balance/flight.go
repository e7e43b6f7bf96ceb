package balance

import (
	"time"

	"skylarkstand/core"
	"skylarkstand/core/mechanism"
)

// Outcome is the result of an attempt.
type Outcome int

// The outcomes.
const (
	// Good: a complete response that is no error.
	Good Outcome = iota
	// Failed: an error of the upstream, a connection that broke or an invalid response.
	Failed
	// Refused: the upstream accepted no more work.
	Refused
	// Unreachable: no connection could be opened.
	Unreachable
	// NotListening: nothing listens at its address.
	NotListening
	// Abandoned: the caller disconnected or another response was used; this says nothing about the
	// upstream.
	Abandoned
	// Replaced: another upstream has the address.
	Replaced
	// Overdue: no response came within the usual time.
	Overdue
)

// Flight is an attempt in flight.
type Flight struct {
	state   *upstreamState
	latency *latency
	sent    time.Time
	cost    time.Duration
	// uncached is the number of tokens that need prefill. measuresPrefill is set when the time to the
	// header is a sample of the prefill rate.
	uncached        core.Tokens
	measuresPrefill bool
	// local is set if the engine is in the entry's region.
	local    bool
	answered bool
	ended    bool
	basis    Basis
}

// Basis holds the inputs of a selection.
type Basis struct {
	// Own counts the entry's calls at the upstream, Others those of the other entries as far as
	// they are known, from information that is LoadAge old, or [NoLoad].
	Own     int
	Others  float64
	LoadAge time.Duration
	// CachedTokens is how much of the prompt is assumed to be cached there.
	CachedTokens core.Tokens
	// QueueTime is the prefill time of the prompts that are assumed to be queued there.
	QueueTime time.Duration
	// FailureRate is the recent failure rate there.
	FailureRate float64
	// Slowdown is how long work takes there, as a multiple of the usual time.
	Slowdown float64
}

// NoLoad is the LoadAge of an upstream whose load was neither announced nor reported.
const NoLoad = -time.Second

// PrefillTime returns the prefill time of the flight's own prompt.
func (fl *Flight) PrefillTime() time.Duration { return fl.cost }

// PrefillRatio returns the time to the flight's header as a multiple of the time that an idle engine was expected
// to take, or 0 if the engine was not nearly idle or the prompt tells too little. lo is what the response reports.
func (pk *Picker) PrefillRatio(fl *Flight, took time.Duration, lo *core.Load) float64 {
	if !fl.local || fl.cost < minRatioPrefill || fl.basis.Own > 0 || fl.basis.Others >= 1 || lo != nil && lo.Running+lo.Queued > maxIdleCalls {
		return 0
	}
	return float64(took) / float64(fl.cost+ratioOverhead)
}

const (
	// minRatioPrefill is the prefill time from which the time to a header tells an engine's speed: the time on
	// the network matters less then.
	minRatioPrefill = 50 * time.Millisecond
	// ratioOverhead is the time to a header beside prefill and network.
	ratioOverhead = 20 * time.Millisecond
	// maxIdleCalls is the number of calls, with the own one, at an engine that is nearly idle.
	maxIdleCalls = 2
)

// Basis returns the inputs of the selection of the flight's upstream.
func (fl *Flight) Basis() Basis { return fl.basis }

// RecordSent records that an attempt goes to an upstream.
func (pk *Picker) RecordSent(now time.Time, ho core.Host, rq Request) *Flight {
	us := pk.stateOf(&ho)
	fl := &Flight{state: us, latency: pk.latency(rq), sent: now, basis: pk.basis(now, us)}
	if rq.Engine {
		fl.basis.CachedTokens = us.cachedTokens(now, rq)
		fl.uncached = rq.Prompt - fl.basis.CachedTokens
		fl.cost = prefillTime(pk.prefill.perThousand(rq.Model), fl.uncached)
		fl.local = ho.Region == pk.region
		fl.measuresPrefill = fl.local && !rq.Unproven && !pk.off.Has(mechanism.PrefillRate)
		pk.recordPrompt(now, us, rq)
		us.pending += fl.cost
		pk.meanPrefill += (float64(fl.cost) - pk.meanPrefill) / 32
	}
	us.own++
	us.unanswered++
	pk.addCall(rq, us, fl.cost)
	return fl
}

func (pk *Picker) basis(now time.Time, us *upstreamState) Basis {
	ba := Basis{Own: us.own, LoadAge: NoLoad, FailureRate: us.failureRate(now), Slowdown: pk.slowdownOf(us)}
	load, wait := pk.workAt(now, us)
	ba.Others, ba.QueueTime = max(load-float64(us.own), 0), wait
	for _, sl := range pk.siblings {
		if age := now.Sub(sl.at); ba.LoadAge == NoLoad || age < ba.LoadAge {
			ba.LoadAge = age
		}
	}
	if ba.LoadAge == NoLoad && !us.reportedAt.IsZero() {
		ba.LoadAge = now.Sub(us.reportedAt)
	}
	return ba
}

// RecordHeader records the header of a response, with the load that it reports or nil.
func (pk *Picker) RecordHeader(now time.Time, fl *Flight, rq Request, lo *core.Load) {
	if fl.answered {
		return
	}
	fl.answered = true
	fl.state.unanswered--
	pk.recordResponse(now, fl.state)
	took := now.Sub(fl.sent)
	usual := scale(took, 1/pk.reportedSlowdown(lo))
	switch {
	case !fl.measuresPrefill:
	case fl.basis.QueueTime == 0:
		pk.prefill.observe(rq.Model, fl.uncached, usual)
	default:
		pk.prefill.observeQueued(rq.Model, fl.uncached, usual, fl.cost, fl.basis.QueueTime)
	}
	fl.state.pending = max(fl.state.pending-fl.cost, 0)
	pk.addPrefill(fl)
	fl.state.recordLatency(fl.latency, took, fl.cost)
	fl.latency.observe(took)
	if lo != nil {
		fl.state.recordReport(now, *lo)
	}
}

// RecordReport records the load that a refusal reports.
func (pk *Picker) RecordReport(now time.Time, fl *Flight, lo core.Load) {
	fl.state.recordReport(now, lo)
}

// RecordData records that a chunk of a response arrived.
func (pk *Picker) RecordData(now time.Time, fl *Flight) { fl.state.lastData = now }

// ActiveSince reports whether any attempt received anything from the flight's upstream since a
// time.
func (pk *Picker) ActiveSince(fl *Flight, since time.Time) bool {
	return fl.state.lastData.After(since)
}

// PendingPrefill returns the expected prefill time of this entry's prompts that are queued at the
// upstream, including the flight's own.
func (fl *Flight) PendingPrefill() time.Duration { return fl.state.pending }

// RecordEnd records the end of an attempt. It returns how the upstream's avoidance changes, and the
// upstream's recent failure rate.
func (pk *Picker) RecordEnd(now time.Time, fl *Flight, out Outcome) (AvoidanceChange, float64) {
	if fl.ended {
		return Unchanged, 0
	}
	fl.ended = true
	us := fl.state
	us.own--
	if !fl.answered {
		us.unanswered--
		us.pending = max(us.pending-fl.cost, 0)
	}
	us.recordOutcome(now, out)
	if out == NotListening || out == Replaced {
		pk.addFact(us)
	}
	return us.updateAvoided(now), us.failureRate(now)
}

// RecordNotListening records that nothing listens at an upstream's address any more.
func (pk *Picker) RecordNotListening(now time.Time, fl *Flight) {
	fl.state.recordOutcome(now, NotListening)
	pk.addFact(fl.state)
}

// RecordFailure counts a failure against an upstream that became known after the end of its
// attempt.
func (pk *Picker) RecordFailure(now time.Time, fl *Flight) (AvoidanceChange, float64) {
	fl.state.recordOutcome(now, Failed)
	return fl.state.updateAvoided(now), fl.state.failureRate(now)
}
