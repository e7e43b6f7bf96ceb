package forward

import (
	"net/http"
	"time"

	"skylarkstand/core/balance"
)

// Some failures are the request's own: an error that follows it to whichever
// upstream runs it, and a time that is too short for its work. Held against the
// upstreams, they have a small pool look as if a quarter of it were failing while
// nothing is wrong: calls that may run only once then go to another region, and
// the upstream that is left is the busiest.

// enoughTime is how many times the usual time of its route a call must have had
// for an upstream to be blamed for not ending it: the usual is a mean, which
// sound upstreams exceed.
const enoughTime = 2

// suspected holds back what a failed attempt says of its upstream, since another
// one is asked now: see settle. Where that one cannot be found, nothing shows whose
// fault it was and nobody is blamed.
func (at *attempt) suspected() { at.jb.suspect = at }

// settle returns what the end of an attempt says about its upstream, and decides
// about the one that failed before it: when both failed in the same way, the
// request is to blame, and else the first upstream. The forwarder's lock is held.
func (at *attempt) settle(now time.Time, ve verdict) balance.Outcome {
	out := ve.outcome()
	if ve == failed && at.tooShort() {
		out = balance.Abandoned
	}
	if prev := at.jb.suspect; prev != nil && prev != at {
		at.jb.suspect = nil
		if ve == failed && prev.reply.Status == at.reply.Status {
			return balance.Abandoned
		}
		prev.blamed(now)
	}
	return out
}

// blamed holds an attempt's failure against its upstream after all.
func (at *attempt) blamed(now time.Time) {
	turn, failing := at.jb.fw.picker.Blame(now, at.flight)
	at.logTurn(turn, failed, failing)
}

// tooShort reports whether an upstream was told a time that the route's answers
// usually need, and said at its end that it was not enough. While nothing is known
// of the route, it is the route's.
func (at *attempt) tooShort() bool {
	if at.reply == nil || at.reply.Status != http.StatusGatewayTimeout || !at.bounded {
		return false
	}
	usual := at.jb.fw.picker.Usual(at.rq)
	return usual == 0 || at.left < enoughTime*usual
}
