package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/balance"
	"skylarkstand/core/event"
	"skylarkstand/core/suspect"
)

// refusedTime is how long after a connection broke a refused one proves that the upstream had
// ended. After that, its removal from the host list does, or a new start there.
const refusedTime = 1500 * time.Millisecond

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

const (
	// suspicionWait is how long a suspected request waits until the cause of the crashes is known.
	suspicionWait = 2500 * time.Millisecond
	// suspicionInterval is how often it asks.
	suspicionInterval = 50 * time.Millisecond
	// storeRetryAfter is the Retry-After of a request that waits for the store: its outages last for seconds.
	storeRetryAfter = 2 * time.Second
	// probeTimeout bounds the time to find out whether an upstream has crashed.
	probeTimeout = 200 * time.Millisecond
)

// checkQuarantine refuses a request that is quarantined.
func (jb *job) checkQuarantine() *core.Failure {
	now := time.Now()
	if until, quarantined := jb.fw.components.Suspects.QuarantinedUntil(jb.traits, now); quarantined {
		return jb.quarantineFailure(until.Sub(now))
	}
	return nil
}

func (jb *job) quarantineFailure(retryAfter time.Duration) *core.Failure {
	return jb.failure(core.CodeQuarantined, retryAfter, "this request, or a part of its prompt, has crashed several upstreams")
}

// awaitAdmission waits until the request may be sent to an upstream: at once, unless it is suspected of
// crashing them. It returns the permit of a request that needs one.
func (jb *job) awaitAdmission(ctx context.Context, maxWait time.Duration) (*suspect.Permit, *core.Failure) {
	began := time.Now()
	if left, bounded := jb.timeLeft(began); bounded {
		maxWait = min(maxWait, left/2)
	}
	for {
		now := time.Now()
		ad, until := jb.fw.components.Suspects.Admit(jb.traits, suspect.RequestHash(jb.ex.ID), now)
		var pe *suspect.Permit
		if ad == suspect.Confined {
			pe, ad, until = jb.acquirePermit(ctx)
			now = time.Now()
		}
		switch {
		case ad == suspect.Admitted:
			return pe, nil
		case ad == suspect.Refused && until.After(now):
			return nil, jb.quarantineFailure(until.Sub(now))
		case ad == suspect.Refused:
			return nil, jb.failure(core.CodeSuspected, storeRetryAfter, "several upstreams crashed with this request in flight, and the store that grants a further attempt does not answer")
		case now.Sub(began) >= maxWait || until.Sub(began) > maxWait:
			return nil, jb.failure(core.CodeSuspected, max(until.Sub(now), 0)+jb.backoff(), "upstreams crashed with this request, or one that shares a part of its prompt, in flight")
		}
		select {
		case <-ctx.Done():
			return nil, jb.contextFailure(ctx)
		case <-time.After(suspicionInterval):
		}
	}
}

// acquirePermit claims the permit of a confined request. If it is deferred, none is available before the
// returned time.
func (jb *job) acquirePermit(ctx context.Context) (*suspect.Permit, suspect.Admission, time.Time) {
	co, request := &jb.fw.components, suspect.RequestHash(jb.ex.ID)
	var pe *suspect.Permit
	var until time.Time
	err := suspect.ErrNoStore
	if co.Permits != nil {
		pe, until, err = co.Permits.Acquire(ctx, jb.traits.Whole(), request)
	}
	switch {
	case pe != nil:
		return pe, suspect.Admitted, until
	case err != nil:
		pe, ad := co.Suspects.AdmitWithoutStore(jb.traits, request, time.Now())
		return pe, ad, time.Time{}
	default:
		return nil, suspect.Deferred, until
	}
}

// observeSuspect records what the end of an attempt says about its request: it is innocent if an
// upstream completed it, and suspected if the upstream ended meanwhile.
func (at *attempt) observeSuspect(now time.Time, ve verdict) {
	switch {
	case ve == refused || ve == stranger:
		at.trial.Excuse()
	case ve.notRun():
		at.trial.Refund()
	case ve == taken && at.unframed() && at.atEnd != core.ConnectionAccepted:
		at.newCrashWatch(now).schedule(brokenChecks)
	case ve == taken || ve == failed:
		at.acquit(now)
	case ve == lost && at.ctx.Err() == nil:
		at.newCrashWatch(now).checkBroken()
	case ve == lost && errors.Is(context.Cause(at.ctx), errHeaderTimeout):
		cw := at.newCrashWatch(now)
		cw.probes, cw.trial = true, at.trial
		cw.schedule(overdueChecks)
	case ve == lost: // The caller is gone or its time is up, perhaps just before the upstream ended.
		at.newCrashWatch(now).schedule(overdueChecks)
	case ve == unsure:
		at.newCrashWatch(now).schedule(discardedChecks) // It may have crashed the upstream after its header.
	}
}

// acquit records that the upstream answered the request and is still there. A failure may come before the
// upstream has read the prompt, so that it says nothing about its parts.
func (at *attempt) acquit(now time.Time) {
	if at.acquitted {
		return
	}
	at.acquitted = true
	traits := at.jb.traits
	if at.reply.Status >= http.StatusMultipleChoices || at.jb.rt.Stream && at.chunks == 0 {
		traits = traits[:1]
	}
	for _, fp := range traits {
		at.jb.fw.components.Suspects.RecordCompleted(fp, now)
	}
}

// crashWatch finds out whether an upstream ended when an attempt there did: a connection may also break
// while its upstream stays up. It holds nothing of the attempt, whose content may be large.
type crashWatch struct {
	fw          *Forwarder
	to          core.Host
	flight      *balance.Flight
	request     core.RequestID
	traits      suspect.Traits
	sent, ended time.Time
	// probes is set if the checks connect to the upstream: no other request may go there. trial is the permit
	// that is returned if the upstream is found to live.
	probes bool
	trial  *suspect.Permit
}

func (at *attempt) newCrashWatch(ended time.Time) crashWatch {
	return crashWatch{fw: at.jb.fw, to: at.to, flight: at.flight, request: at.jb.ex.ID, traits: at.jb.traits, sent: at.sent, ended: ended}
}

// probe finds out whether the upstream has ended.
func (cw crashWatch) probe() core.ConnectionState {
	if cw.upstreamEnded(time.Now()) {
		return core.ConnectionRefused
	}
	pr, ok := cw.fw.client.(core.ConnectionProber)
	if !ok {
		return core.ConnectionUnknown
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	state := pr.ProbeConnection(ctx, cw.to)
	if state == core.ConnectionRefused {
		cw.fw.mu.Lock()
		defer cw.fw.mu.Unlock()
		cw.fw.picker.RecordNotListening(time.Now(), cw.flight)
	}
	return state
}

// checkBroken records the crash of an upstream whose answer broke off, at once if its address shows it: the
// request's next attempt must know.
func (cw crashWatch) checkBroken() {
	if cw.probe() == core.ConnectionRefused {
		cw.recordUnplanned(time.Now())
	} else {
		cw.schedule(brokenChecks)
	}
}

// schedule records the crash at the first of the checks that finds the upstream ended.
func (cw crashWatch) schedule(checks []time.Duration) {
	if len(checks) == 0 {
		if cw.trial != nil && cw.probe() == core.ConnectionAccepted {
			cw.trial.Excuse()
		}
		return
	}
	if cw.fw.components.Fleet.IsLeaving(&cw.to) {
		return
	}
	time.AfterFunc(time.Until(cw.ended.Add(checks[0])), func() {
		if now := time.Now(); cw.upstreamEnded(now) || cw.probes && cw.probe() == core.ConnectionRefused {
			cw.recordUnplanned(now)
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

// recordUnplanned records the crash, unless the upstream is leaving: its end is planned.
func (cw crashWatch) recordUnplanned(now time.Time) {
	if !cw.fw.components.Fleet.IsLeaving(&cw.to) {
		cw.record(now)
	}
}

func (cw crashWatch) record(now time.Time) {
	suspected := false
	for _, fp := range cw.traits {
		suspected = cw.fw.components.Suspects.RecordCrash(suspect.Crash{
			Fingerprint: fp, Upstream: balance.NewIncarnation(&cw.to), Request: suspect.RequestHash(cw.request), Sent: cw.sent, Ended: cw.ended,
		}, now) || suspected
	}
	if suspected {
		known, successive := cw.fw.components.Suspects.Crashes(cw.traits.Whole())
		event.Log(cw.fw.deps.Log, event.RequestSuspected, "request", cw.request, "upstream", cw.to.ID, "fingerprint", cw.traits.Whole().String(),
			"crashes", known, "successive", successive, "sent-ago", now.Sub(cw.sent), "ended-ago", now.Sub(cw.ended))
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
		event.Log(fw.deps.Log, event.RequestQuarantined, "fingerprint", re.Fingerprint.String(), "part", re.Fingerprint.IsPart(), "until", re.Until, "by", by)
	}
}
