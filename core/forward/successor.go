package forward

import (
	"context"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/balance"
	"skylarkstand/core/mechanism"
	"skylarkstand/core/retry"
)

// beginSuccessor begins the attempt that replaces the present one, if it may: a retry of the budget and a place at
// another upstream are taken for it.
func (jb *job) beginSuccessor(ctx context.Context, after string, pu retry.Purpose) *attempt {
	if !jb.mayRetry(ctx, pu) {
		return nil
	}
	at, fl := jb.beginAttempt(ctx, after, 0)
	if fl != nil {
		jb.noRetryReason = fl.Message
		jb.retries.Release()
		return nil
	}
	return at
}

// beginSuccessor begins the attempt that goes on with a stream, or starts it anew if nothing of it was passed on.
func (ans *Answer) beginSuccessor(ctx context.Context) *attempt {
	jb := ans.jb
	var next *attempt
	switch {
	case ans.sentBytes == 0:
		next = jb.beginSuccessor(ctx, jb.ex.LastEventID, retry.Retry)
	case jb.rt.Retry == core.Resumable && !jb.disabled(mechanism.StreamResumption):
		next = jb.beginSuccessor(ctx, ans.lastEventID, retry.Resumption)
	}
	if next == nil {
		ans.refusedUntil = time.Now().Add(successorInterval)
	}
	return next
}

// giveBack ends an attempt that was begun and is not sent.
func (at *attempt) giveBack() {
	jb, fw, now := at.jb, at.jb.fw, time.Now()
	at.ended = true
	at.permit.Release(now)
	at.trial.Refund()
	jb.runs--
	jb.sends--
	jb.prefillTime -= at.flight.PrefillTime()
	jb.tried = jb.tried[:len(jb.tried)-1]
	jb.retries.Release()
	fw.mu.Lock()
	fw.picker.RecordEnd(now, at.flight, balance.Abandoned)
	fw.signalAttemptEnded()
	fw.mu.Unlock()
	fw.components.Canary.AttemptEnded(now, jb.ex.Session, at.to)
}
