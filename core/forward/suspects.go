package forward

import (
	"context"
	"errors"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/balance"
	"skylarkstand/core/event"
	"skylarkstand/core/suspect"
)

const (
	// progressTime is how long an answer must have gone on for its request not to be suspected when
	// the upstream crashes: poisonous requests crash it as they begin to run.
	progressTime = time.Second
	// refusedTime is how long after a connection broke a refused one proves that the upstream had
	// ended. After that, its removal from the host list does, or a new start there.
	refusedTime = 1500 * time.Millisecond
)

// The times after the end of an attempt at which an entry checks whether the upstream has ended: for a
// connection that broke until the host list has dropped it, after three heartbeats of up to three
// seconds; for an answer that this entry discarded, once; for an attempt that it ended as no answer began
// in the usual time, while a refused connection proves the end.
var (
	brokenChecks = []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 600 * time.Millisecond, 900 * time.Millisecond,
		1200 * time.Millisecond, refusedTime, 3 * time.Second, 4 * time.Second, 5 * time.Second, 7 * time.Second, 9500 * time.Millisecond}
	discardedChecks = []time.Duration{time.Second}
	overdueChecks   = []time.Duration{200 * time.Millisecond, 500 * time.Millisecond, time.Second, refusedTime}
)

// checkQuarantine refuses a request that is quarantined.
func (jb *job) checkQuarantine() *core.Failure {
	now := time.Now()
	re := jb.fw.components.Suspects.Lookup(jb.fingerprint, now)
	if re.State != suspect.Quarantined {
		return nil
	}
	return jb.failure(core.CodeQuarantined, re.Until.Sub(now), "this request has crashed several upstreams")
}

// observeSuspect records what the end of an attempt says about its request: it is innocent if an
// upstream completed it, and suspected if the upstream ended meanwhile.
func (at *attempt) observeSuspect(now time.Time, ve verdict) {
	switch {
	case ve == taken || ve == failed:
		at.jb.fw.components.Suspects.RecordCompleted(at.jb.fingerprint, now)
	case at.chunks > 0 && now.Sub(at.began) > progressTime:
	case ve == lost && at.ctx.Err() == nil:
		at.newCrashWatch(now).schedule(brokenChecks)
	case ve == lost && errors.Is(context.Cause(at.ctx), errHeaderTimeout):
		at.newCrashWatch(now).schedule(overdueChecks)
	case ve == unsure:
		at.newCrashWatch(now).schedule(discardedChecks) // It may have crashed the upstream after its header.
	}
}

// crashWatch finds out whether an upstream ended when an attempt there did: a connection may also break
// while its upstream stays up. It holds nothing of the attempt, whose content may be large.
type crashWatch struct {
	fw          *Forwarder
	to          core.Host
	request     core.RequestID
	fingerprint suspect.Fingerprint
	sent, ended time.Time
}

func (at *attempt) newCrashWatch(ended time.Time) crashWatch {
	return crashWatch{at.jb.fw, at.to, at.jb.ex.ID, at.jb.fingerprint, at.sent, ended}
}

// schedule records the crash at the first of the checks that finds the upstream ended.
func (cw crashWatch) schedule(checks []time.Duration) {
	if len(checks) == 0 || cw.fw.components.Fleet.IsLeaving(&cw.to) {
		return // The end of a leaving upstream is planned.
	}
	time.AfterFunc(time.Until(cw.ended.Add(checks[0])), func() {
		if now := time.Now(); cw.upstreamEnded(now) {
			cw.record(now)
			return
		}
		cw.schedule(checks[1:])
	})
}

func (cw crashWatch) upstreamEnded(now time.Time) bool {
	if !cw.fw.components.Fleet.Contains(&cw.to) {
		return true
	}
	cw.fw.mu.Lock()
	defer cw.fw.mu.Unlock()
	return now.Sub(cw.ended) <= refusedTime && cw.fw.picker.EndedSince(&cw.to, cw.sent)
}

func (cw crashWatch) record(now time.Time) {
	cr := suspect.Crash{
		Fingerprint: cw.fingerprint, Upstream: balance.NewIncarnation(&cw.to), Request: suspect.RequestHash(cw.request),
		Sent: cw.sent, Ended: cw.ended,
	}
	if cw.fw.components.Suspects.RecordCrash(cr, now) {
		event.Log(cw.fw.deps.Log, event.RequestSuspected, "request", cw.request, "upstream", cw.to.ID, "fingerprint", cw.fingerprint.String())
	}
}

// TakeSuspects quarantines the requests that are found poisonous, and returns what this entry has to
// announce about requests.
func (fw *Forwarder) TakeSuspects() suspect.Notices {
	now := time.Now()
	fw.logQuarantined(fw.components.Suspects.Quarantine(now), "crashes")
	return fw.components.Suspects.TakeNotices(now)
}

// ReceiveSuspects processes what a sibling entry has announced about requests.
func (fw *Forwarder) ReceiveSuspects(no suspect.Notices) {
	fw.logQuarantined(fw.components.Suspects.ReceiveNotices(time.Now(), no), "sibling")
}

func (fw *Forwarder) logQuarantined(records []suspect.Record, by string) {
	for _, re := range records {
		event.Log(fw.deps.Log, event.RequestQuarantined, "fingerprint", re.Fingerprint.String(), "until", re.Until, "by", by)
	}
}
