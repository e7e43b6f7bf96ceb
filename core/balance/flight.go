package balance

import (
	"time"

	"skylarkstand/core"
	"skylarkstand/core/mechanism"
)

// Outcome is how an attempt ended.
type Outcome int

// The outcomes.
const (
	// Good: a whole answer that was no error.
	Good Outcome = iota
	// Failed: an error of the upstream, a cut or a wrong answer.
	Failed
	// Refused: the upstream took no more work.
	Refused
	// Unreached: no connection could be opened.
	Unreached
	// Absent: nobody listens at its address.
	Absent
	// Abandoned: the caller left or another answer was taken; it says nothing
	// about the upstream.
	Abandoned
	// Replaced: another upstream has the address by now.
	Replaced
	// Overdue: no answer came in the time that is usual.
	Overdue
)

// Flight is an attempt under way.
type Flight struct {
	peer *peer
	pool *pool
	sent time.Time
	cost time.Duration
	// fresh is the tokens that are to be read. Telling says that the time to the
	// header is that of the reading alone, as far as is known.
	fresh   core.Tokens
	telling bool
	begun   bool
	ended   bool
	basis   Basis
}

// Basis is what a choice went by.
type Basis struct {
	// Own counts the entry's calls at the upstream, Others those of the other
	// entries as far as they are known, by a word that is LoadAge old, or
	// [NoLoad].
	Own     int
	Others  float64
	LoadAge time.Duration
	// Kept is how much of the prompt is thought to be in its memory.
	Kept core.Tokens
	// Waits is the time that the prompts need that are thought to wait there.
	Waits time.Duration
	// Failing is the recent share of failures there.
	Failing float64
}

// NoLoad is the age of a load that nobody has told.
const NoLoad = -time.Second

// Cost returns the time that the flight's own prompt takes to be read.
func (fl *Flight) Cost() time.Duration { return fl.cost }

// Basis returns what the choice of the flight's upstream went by.
func (fl *Flight) Basis() Basis { return fl.basis }

// Sent notes that an attempt goes to an upstream.
func (pk *Picker) Sent(now time.Time, ho core.Host, rq Request) *Flight {
	pe := pk.peer(&ho)
	fl := &Flight{peer: pe, pool: pk.pool(rq), sent: now, basis: pk.basis(now, pe)}
	if rq.Engine {
		fl.basis.Kept = pe.kept(now, rq)
		fl.fresh = rq.Prompt - fl.basis.Kept
		fl.cost = scale(pk.reading.thousand(rq.Model), fl.fresh)
		fl.telling = fl.basis.Waits == 0 && ho.Region == pk.region && !pk.off.Has(mechanism.ReadPace)
		pk.keep(now, pe, rq)
		pe.pending += fl.cost
		pk.meanRead += (float64(fl.cost) - pk.meanRead) / 32
	}
	pe.own++
	pe.unbegun++
	pk.sentNow(rq, pe, fl.cost)
	return fl
}

func (pk *Picker) basis(now time.Time, pe *peer) Basis {
	ba := Basis{Own: pe.own, LoadAge: NoLoad, Failing: pe.badness(now)}
	load, waits := pk.work(now, pe)
	ba.Others, ba.Waits = max(load-float64(pe.own), 0), waits
	for _, to := range pk.told {
		if age := now.Sub(to.at); ba.LoadAge == NoLoad || age < ba.LoadAge {
			ba.LoadAge = age
		}
	}
	if ba.LoadAge == NoLoad && !pe.reported.IsZero() {
		ba.LoadAge = now.Sub(pe.reported)
	}
	return ba
}

// Begun notes the header of an answer, with the load that it reports or nil.
func (pk *Picker) Begun(now time.Time, fl *Flight, rq Request, lo *core.Load) {
	if fl.begun {
		return
	}
	fl.begun = true
	fl.peer.unbegun--
	pk.answered(now, fl.peer)
	took := now.Sub(fl.sent)
	if fl.telling {
		pk.reading.learn(rq.Model, fl.fresh, took)
	}
	fl.peer.pending = max(fl.peer.pending-fl.cost, 0)
	pk.readNow(fl)
	fl.peer.paced(fl.pool, took, fl.cost)
	fl.pool.learn(took)
	if lo != nil {
		fl.peer.report(now, *lo)
	}
}

// Reported notes the load that a refusal reports.
func (pk *Picker) Reported(now time.Time, fl *Flight, lo core.Load) { fl.peer.report(now, lo) }

// Heard notes that a piece of an answer came.
func (pk *Picker) Heard(now time.Time, fl *Flight) { fl.peer.heard = now }

// Alive reports whether anything came from the flight's upstream, of any
// attempt, since a time.
func (pk *Picker) Alive(fl *Flight, since time.Time) bool { return fl.peer.heard.After(since) }

// Read returns the expected time to read the prompts that wait at the upstream,
// with the flight's own.
func (fl *Flight) Read() time.Duration { return fl.peer.pending }

// Ended notes the end of an attempt, and returns what it changes about the
// upstream, with its recent share of failures.
func (pk *Picker) Ended(now time.Time, fl *Flight, out Outcome) (Turn, float64) {
	if fl.ended {
		return Same, 0
	}
	fl.ended = true
	pe := fl.peer
	pe.own--
	if !fl.begun {
		pe.unbegun--
		pe.pending = max(pe.pending-fl.cost, 0)
	}
	pe.ended(now, out)
	if out == Absent || out == Replaced {
		pk.found(pe)
	}
	return pe.turn(now), pe.badness(now)
}

// Blame holds a failure against an upstream that became known after the end of
// its attempt.
func (pk *Picker) Blame(now time.Time, fl *Flight) (Turn, float64) {
	fl.peer.ended(now, Failed)
	return fl.peer.turn(now), fl.peer.badness(now)
}
