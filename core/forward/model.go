package forward

import (
	"context"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/escalation"
	"skylarkstand/core/mechanism"
	"skylarkstand/core/retry"
)

// model returns the model of the current stage; empty keeps the caller's choice.
func (jb *job) model() core.ModelID {
	if !jb.ex.AnyModel || len(jb.rt.Cascade) == 0 {
		return ""
	}
	return jb.rt.Cascade[min(jb.stage, len(jb.rt.Cascade)-1)]
}

// largerModels counts the models of the cascade that are larger than the current one.
func (jb *job) largerModels() int {
	if !jb.ex.AnyModel {
		return 0
	}
	return max(len(jb.rt.Cascade)-1-jb.stage, 0)
}

// selectFirstStage chooses the model at which a request starts that may escalate.
func (jb *job) selectFirstStage() {
	if jb.ex.LastEventID != "" {
		jb.selectResumeStage()
		return
	}
	if !jb.ex.AnyModel || len(jb.rt.Cascade) < 2 || !jb.rt.Retry.Retryable() {
		return
	}
	fw := jb.fw
	fw.mu.Lock()
	defer fw.mu.Unlock()
	budget := escalation.Budget{Escalations: jb.retryWindow().Left(time.Now(), retry.Escalation), Undecided: fw.undecided[jb.service]}
	jb.stage = fw.escalationPolicy(jb.trafficClass()).First(len(jb.rt.Cascade), budget, jb.meetsTarget)
	if jb.stage == 0 {
		jb.undecided = true
		fw.undecided[jb.service]++
	}
	fw.meters.firstModel(jb.service, jb.stage)
}

// decided records whether the smallest model's answer escalates. The forwarder's lock is held.
func (jb *job) decided(escalates bool) {
	if jb.undecided {
		jb.forgetUndecided()
		jb.fw.escalationPolicy(jb.trafficClass()).ObserveUse(escalates)
	}
}

// forgetUndecided ends the count of a request that may escalate. The forwarder's lock is held.
func (jb *job) forgetUndecided() {
	if jb.undecided {
		jb.undecided = false
		jb.fw.undecided[jb.service]--
	}
}

// selectResumeStage resumes a partly delivered stream with the model that generated it: the
// largest one for which an engine has the complete prompt in its prefix cache.
//
// The entry that began the stream has already chosen its model. Started with the smallest model,
// the resumed stream would escalate once more before the caller receives anything, and the pause
// between two events would be too long.
func (jb *job) selectResumeStage() {
	if !jb.ex.AnyModel || len(jb.ex.Parts) == 0 || jb.disabled(mechanism.ResumeModel) {
		return
	}
	fw, now := jb.fw, time.Now()
	fw.mu.Lock()
	defer fw.mu.Unlock()
	hosts := jb.upstreams(now)
	for stage := len(jb.rt.Cascade) - 1; stage > jb.stage; stage-- {
		rq := jb.request()
		rq.Model = jb.rt.Cascade[stage]
		if fw.picker.HasCompletePrompt(now, hosts, rq) {
			jb.stage = stage
			return
		}
	}
}

// answerReason is why an answer was returned, for the log.
type answerReason string

// The reasons to return an answer.
const (
	reasonSufficed   answerReason = "sufficed"
	reasonLargest    answerReason = "largest"
	reasonTooLate    answerReason = "too-late"
	reasonNoAttempts answerReason = "attempts"
	reasonNoBudget   answerReason = "repeats"
	reasonNoUpstream answerReason = "no-upstream"
)

// rejectedAnswer is an answer whose confidence was too low.
type rejectedAnswer struct{ stage, confidence int }

// shouldEscalate reports whether a larger model should answer instead. It records the stage to
// escalate to, or the reason to return this answer, in the job.
func (jb *job) shouldEscalate(re *core.Reply) bool {
	if !jb.ex.AnyModel || re.Confidence == core.NoConfidence || len(jb.rt.Cascade) < 2 || !jb.rt.Retry.Retryable() {
		return false
	}
	fw := jb.fw
	fw.mu.Lock()
	defer fw.mu.Unlock()
	pol := fw.escalationPolicy(jb.trafficClass())
	if jb.rejected != nil {
		pol.ObserveEscalation(jb.rejected.stage, jb.rejected.confidence, jb.stage, re.Confidence)
		jb.rejected = nil
	}
	cost := jb.largestPrefill()
	next, escalate := pol.Next(len(jb.rt.Cascade), jb.stage, re.Confidence, cost, jb.meetsTarget)
	jb.threshold = pol.Threshold(cost)
	if !escalate {
		jb.decided(false)
	}
	switch {
	case escalate:
		jb.nextStage = next
		jb.rejected = &rejectedAnswer{jb.stage, re.Confidence}
	case float64(re.Confidence) >= jb.threshold:
		jb.answerReason = reasonSufficed
	case jb.largerModels() == 0:
		jb.answerReason = reasonLargest
	default:
		jb.answerReason = reasonTooLate
	}
	return escalate
}

// meetsTarget reports whether a model of the cascade would begin its answer within the target
// latency. The forwarder's lock is held.
func (jb *job) meetsTarget(stage int) bool {
	now := time.Now()
	rq := jb.request()
	rq.Model = jb.rt.Cascade[stage]
	hosts := jb.upstreams(now)
	return jb.rt.TargetLatency <= 0 || now.Sub(jb.ex.Arrived)+jb.fw.picker.ExpectedFirstByte(now, hosts, rq) <= jb.rt.TargetLatency
}

// largestPrefill returns the prefill time of the request by the largest model of the cascade, without
// the work that is queued. The forwarder's lock is held.
func (jb *job) largestPrefill() time.Duration {
	now, rq := time.Now(), jb.request()
	rq.Model = jb.rt.Cascade[len(jb.rt.Cascade)-1]
	return jb.fw.picker.ExpectedPrefill(now, jb.upstreams(now), rq)
}

// escalate moves to the larger model, or returns false if the present answer is kept.
func (jb *job) escalate(ctx context.Context) bool {
	escalated := jb.tryEscalation(ctx)
	jb.fw.mu.Lock()
	defer jb.fw.mu.Unlock()
	jb.decided(escalated)
	return escalated
}

// tryEscalation moves to the stage of the larger model and chooses its upstream. It returns false if the
// larger model may not be called or no upstream accepts the request.
func (jb *job) tryEscalation(ctx context.Context) bool {
	switch {
	case jb.runs >= jb.maxAttempts():
		jb.answerReason = reasonNoAttempts
		return false
	case ctx.Err() != nil:
		return false
	case !jb.spendRetry(ctx, retry.Escalation):
		jb.answerReason = reasonNoBudget
		return false
	}
	stage, tried := jb.stage, jb.tried
	jb.stage = jb.nextStage
	// The larger model may run on an upstream that ran the smaller one.
	jb.tried = nil
	at, fl := jb.beginAttempt(ctx, jb.ex.LastEventID, 0)
	if fl != nil {
		jb.stage, jb.tried, jb.answerReason = stage, tried, reasonNoUpstream
		jb.retries.Release()
		return false
	}
	jb.reserved = at
	return true
}
