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
	peer    *peer
	latency *latency
	sent    time.Time
	cost    time.Duration
	// uncached is the number of tokens that need prefill. measuresPrefill is set when, as far as is
	// known, no other prompt is queued there, so that the time to the header is a sample of the
	// prefill rate.
	uncached        core.Tokens
	measuresPrefill bool
	begun           bool
	ended           bool
	basis           Basis
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
}

// NoLoad is the LoadAge of an upstream whose load was neither announced nor reported.
const NoLoad = -time.Second

// PrefillTime returns the prefill time of the flight's own prompt.
func (fl *Flight) PrefillTime() time.Duration { return fl.cost }

// Basis returns the inputs of the selection of the flight's upstream.
func (fl *Flight) Basis() Basis { return fl.basis }

// Sent records that an attempt goes to an upstream.
func (pk *Picker) Sent(now time.Time, ho core.Host, rq Request) *Flight {
	pe := pk.peer(&ho)
	fl := &Flight{peer: pe, latency: pk.latency(rq), sent: now, basis: pk.basis(now, pe)}
	if rq.Engine {
		fl.basis.CachedTokens = pe.cachedTokens(now, rq)
		fl.uncached = rq.Prompt - fl.basis.CachedTokens
		fl.cost = prefillTime(pk.prefill.perThousand(rq.Model), fl.uncached)
		fl.measuresPrefill = fl.basis.QueueTime == 0 && ho.Region == pk.region && !pk.off.Has(mechanism.PrefillRate)
		pk.recordPrompt(now, pe, rq)
		pe.pending += fl.cost
		pk.meanPrefill += (float64(fl.cost) - pk.meanPrefill) / 32
	}
	pe.own++
	pe.unanswered++
	pk.addCall(rq, pe, fl.cost)
	return fl
}

func (pk *Picker) basis(now time.Time, pe *peer) Basis {
	ba := Basis{Own: pe.own, LoadAge: NoLoad, FailureRate: pe.failureRate(now)}
	load, wait := pk.workAt(now, pe)
	ba.Others, ba.QueueTime = max(load-float64(pe.own), 0), wait
	for _, to := range pk.siblings {
		if age := now.Sub(to.at); ba.LoadAge == NoLoad || age < ba.LoadAge {
			ba.LoadAge = age
		}
	}
	if ba.LoadAge == NoLoad && !pe.reportedAt.IsZero() {
		ba.LoadAge = now.Sub(pe.reportedAt)
	}
	return ba
}

// Begun records the header of a response, with the load that it reports or nil.
func (pk *Picker) Begun(now time.Time, fl *Flight, rq Request, lo *core.Load) {
	if fl.begun {
		return
	}
	fl.begun = true
	fl.peer.unanswered--
	pk.recordResponse(now, fl.peer)
	took := now.Sub(fl.sent)
	if fl.measuresPrefill {
		pk.prefill.learn(rq.Model, fl.uncached, took)
	}
	fl.peer.pending = max(fl.peer.pending-fl.cost, 0)
	pk.addPrefill(fl)
	fl.peer.recordLatency(fl.latency, took, fl.cost)
	fl.latency.learn(took)
	if lo != nil {
		fl.peer.recordReport(now, *lo)
	}
}

// RecordReport records the load that a refusal reports.
func (pk *Picker) RecordReport(now time.Time, fl *Flight, lo core.Load) {
	fl.peer.recordReport(now, lo)
}

// RecordData records that a piece of a response arrived.
func (pk *Picker) RecordData(now time.Time, fl *Flight) { fl.peer.lastData = now }

// ActiveSince reports whether any attempt received anything from the flight's upstream since a
// time.
func (pk *Picker) ActiveSince(fl *Flight, since time.Time) bool { return fl.peer.lastData.After(since) }

// PendingPrefill returns the expected prefill time of this entry's prompts that are queued at the
// upstream, including the flight's own.
func (fl *Flight) PendingPrefill() time.Duration { return fl.peer.pending }

// Ended records the end of an attempt. It returns how the upstream's avoidance changes, and the
// upstream's recent failure rate.
func (pk *Picker) Ended(now time.Time, fl *Flight, out Outcome) (AvoidanceChange, float64) {
	if fl.ended {
		return Unchanged, 0
	}
	fl.ended = true
	pe := fl.peer
	pe.own--
	if !fl.begun {
		pe.unanswered--
		pe.pending = max(pe.pending-fl.cost, 0)
	}
	pe.recordOutcome(now, out)
	if out == NotListening || out == Replaced {
		pk.addFact(pe)
	}
	return pe.updateAvoided(now), pe.failureRate(now)
}

// RecordFailure counts a failure against an upstream that became known after the end of its
// attempt.
func (pk *Picker) RecordFailure(now time.Time, fl *Flight) (AvoidanceChange, float64) {
	fl.peer.recordOutcome(now, Failed)
	return fl.peer.updateAvoided(now), fl.peer.failureRate(now)
}
