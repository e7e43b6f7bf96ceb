package forward

import (
	"fmt"
	"math"
	"strings"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/balance"
	"skylarkstand/core/event"
)

// logBegin logs the choice of the upstream with its inputs.
func (at *attempt) logBegin(candidates int, retriesLeft float64) {
	jb, ba := at.jb, at.flight.Basis()
	event.Log(jb.fw.deps.Log, event.AttemptBegun, "request", jb.ex.ID, "route", jb.rt.ID, "service", jb.service, "attempt", at.number, "purpose", jb.purpose, "upstream", at.to.ID,
		"version", at.to.Version, "model", at.rq.Model, "prompt", jb.ex.Prompt, "output", jb.ex.Output, "configuration", jb.tb.Version, "news-age", jb.fw.components.ConfigAge(),
		"candidates", candidates, "own", ba.Own, "others", round(ba.Others), "load-age", ba.LoadAge, "failing", round(ba.FailureRate), "slowdown", round(ba.Slowdown),
		"kept", ba.CachedTokens, "waits", ba.QueueTime, "read", at.prefillWait, "rank", at.queueRank, "patience", at.headerTimeout, "left", at.left, "repeats-left", round(retriesLeft), "after", at.after)
}

// answerOrigin describes the answer and how it came, for the log: an answer to another request may stand in its
// place.
func (at *attempt) answerOrigin() string {
	re := at.reply
	if re == nil {
		return ""
	}
	const shown = 100 // bytes of what the upstream chose
	return fmt.Sprintf("status=%d not-run=%.*q ids=%.*q kept-connection=%t skipped=%d",
		re.Status, shown, re.Statement, shown, strings.Join(re.IDs, " "), re.KeptConnection, re.Skipped)
}

// logResent logs the evidence by which work that may run once is sent to a second upstream.
func (at *attempt) logResent() {
	jb, prev := at.jb, at.jb.previous
	if prev == nil || jb.rt.Retry.Retryable() {
		return
	}
	event.Log(jb.fw.deps.Log, event.ExchangeResent, "request", jb.ex.ID, "route", jb.rt.ID, "attempt", at.number, "upstream", at.to.ID, "address", at.to.Addr,
		"before", prev.to.ID, "before-address", prev.to.Addr, "verdict", prev.verdict.String(), "why", prev.reason, "answer", prev.answerOrigin(), "took", prev.took)
}

// logAvoidanceChange logs that the entry avoids the attempt's upstream from now on, or no longer.
func (at *attempt) logAvoidanceChange(change balance.AvoidanceChange, ve verdict, failureRate float64) {
	lg := at.jb.fw.deps.Log
	switch change {
	case balance.Avoided:
		event.Log(lg, event.UpstreamAvoided, "upstream", at.to.ID, "address", at.to.Addr, "verdict", ve.String(),
			"why", at.reason, "failing", round(failureRate), "request", at.jb.ex.ID)
	case balance.Restored:
		event.Log(lg, event.UpstreamTrusted, "upstream", at.to.ID, "failing", round(failureRate))
	case balance.Unchanged:
	}
}

// log writes the single line about the end of an exchange with an answer.
func (ans *Answer) log(code core.Code, took time.Duration) {
	jb, at := ans.jb, ans.at
	first := at.began.Sub(jb.ex.Arrived)
	attrs := []any{
		"request", jb.ex.ID, "route", jb.rt.ID, "workspace", jb.workspace, "service", jb.service, "upstream", at.to.ID,
		"version", at.to.Version, "model", jb.model(), "session", jb.ex.Session, "prompt", jb.ex.Prompt, "output", jb.ex.Output,
		"status", ans.status, "confidence", ans.confidence, "attempts", jb.sends, "bytes", ans.sentBytes, "first", first, "took", took,
		"aim", jb.rt.TargetLatency, "pause", ans.longestGap, "gap", jb.rt.MaxEventGap, "larger", jb.largerModels(), "sure", round(jb.threshold),
		"kept-answer", jb.answerReason, "configuration", jb.tb.Version, "unframed", at.unframed(), "tail", ans.tail(), "budget-refused", jb.budgetRefused.Load(),
	}
	if code == "" {
		event.Log(jb.fw.deps.Log, event.ExchangeEnded, attrs...)
		return
	}
	event.Log(jb.fw.deps.Log, event.ExchangeCut, append(attrs, "code", code, "message", at.reason, "last", jb.lastFailure, "no-repeat", jb.noRetryReason)...)
}

// log writes the single line about the end of an exchange without an answer.
func (jb *job) log(fl *core.Failure) {
	now := time.Now()
	took := now.Sub(jb.ex.Arrived)
	jb.fw.meters.ended(fl.Code, took)
	event.Log(jb.fw.deps.Log, event.ExchangeFailed, "request", jb.ex.ID, "route", jb.rt.ID, "workspace", jb.workspace,
		"service", jb.service, "model", jb.model(), "code", fl.Code, "ran", fl.Ran, "message", fl.Message, "last", jb.lastFailure,
		"no-repeat", jb.noRetryReason, "attempts", jb.sends, "took", took, "retry-after", fl.RetryAfter, "budget-refused", jb.budgetRefused.Load(), "configuration", jb.tb.Version,
		"news-age", jb.fw.components.ConfigAge())
}

// logRefused writes the single line about a refused exchange.
func (fw *Forwarder) logRefused(ex *core.Exchange, fl *core.Failure) {
	fw.meters.ended(fl.Code, 0)
	event.Log(fw.deps.Log, event.ExchangeRefused, "request", ex.ID, "host", ex.Host, "path", ex.Path,
		"code", fl.Code, "ran", fl.Ran, "message", fl.Message, "retry-after", fl.RetryAfter, "configuration", fw.configVersion(), "news-age", fw.components.ConfigAge())
}

// round rounds an estimate to two decimal places for the log.
func round(val float64) float64 { return math.Round(100*val) / 100 }
