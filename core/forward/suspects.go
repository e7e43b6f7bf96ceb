package forward

import (
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
// connection that broke until heartbeats are missing from the host list, and for an attempt that this
// entry ended itself, once.
var (
	brokenChecks = []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 600 * time.Millisecond, 900 * time.Millisecond,
		1200 * time.Millisecond, refusedTime, 3 * time.Second, 4 * time.Second, 5 * time.Second}
	discardedChecks = []time.Duration{time.Second}
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
		at.watchCrash(now, brokenChecks)
	case ve == unsure:
		at.watchCrash(now, discardedChecks) // It may have crashed the upstream after its header.
	}
}

// watchCrash records a crash if the attempt's upstream turns out, at one of the checks, to have ended when
// the attempt did. A connection may also break while its upstream stays up.
func (at *attempt) watchCrash(ended time.Time, checks []time.Duration) {
	if len(checks) == 0 {
		return
	}
	time.AfterFunc(time.Until(ended.Add(checks[0])), func() {
		if now := time.Now(); at.upstreamEnded(now, ended) {
			at.recordCrash(now, ended)
			return
		}
		at.watchCrash(ended, checks[1:])
	})
}

func (at *attempt) upstreamEnded(now, ended time.Time) bool {
	fw := at.jb.fw
	if !fw.components.Fleet.Contains(&at.to) {
		return true
	}
	fw.mu.Lock()
	defer fw.mu.Unlock()
	return now.Sub(ended) <= refusedTime && fw.picker.EndedSince(&at.to, at.sent)
}

func (at *attempt) recordCrash(now, ended time.Time) {
	jb := at.jb
	cr := suspect.Crash{
		Fingerprint: jb.fingerprint, Upstream: balance.NewIncarnation(&at.to), Request: suspect.RequestHash(jb.ex.ID),
		Sent: at.sent, Ended: ended,
	}
	if jb.fw.components.Suspects.RecordCrash(cr, now) {
		event.Log(jb.fw.deps.Log, event.RequestSuspected, "request", jb.ex.ID, "upstream", at.to.ID, "fingerprint", jb.fingerprint.String())
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
