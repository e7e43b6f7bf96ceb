package forward

import (
	"context"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/mechanism"
	"skylarkstand/core/retry"
)

// model returns the model of the present stage; empty leaves the caller's.
func (jb *job) model() core.ModelID {
	if !jb.ex.AnyModel || len(jb.rt.Cascade) == 0 {
		return ""
	}
	return jb.rt.Cascade[min(jb.stage, len(jb.rt.Cascade)-1)]
}

// larger counts the models of the cascade that are larger than the present one.
func (jb *job) larger() int {
	if !jb.ex.AnyModel {
		return 0
	}
	return max(len(jb.rt.Cascade)-1-jb.stage, 0)
}

// resumeWithModel begins a stream that its caller has a part of with the model that
// made that part: the largest one for which an engine keeps the whole prompt.
//
// The first answer was chosen already, by whichever entry. Begun with the
// smallest model, the stream would be doubted and climb once more before its
// caller hears anything, and the pause between two events would be too long.
func (jb *job) resumeWithModel() {
	if jb.ex.Resume == "" || !jb.ex.AnyModel || len(jb.ex.Parts) == 0 || jb.off(mechanism.StreamModels) {
		return
	}
	fw, now := jb.fw, time.Now()
	fw.mu.Lock()
	defer fw.mu.Unlock()
	hosts := jb.upstreams(now)
	for stage := len(jb.rt.Cascade) - 1; stage > jb.stage; stage-- {
		rq := jb.request()
		rq.Model = jb.rt.Cascade[stage]
		if fw.picker.KeepsWhole(now, hosts, rq) {
			jb.stage = stage
			return
		}
	}
}

// keptAnswer says why the answer at hand was given, for the log.
type keptAnswer string

// The reasons.
const (
	keptSufficed keptAnswer = "sufficed"
	keptTooLate  keptAnswer = "too-late"
	keptAttempts keptAnswer = "attempts"
	keptRepeats  keptAnswer = "repeats"
)

// doubted is an answer that its model was not sure of.
type doubted struct{ stage, confidence int }

// doubts reports whether a larger model should answer in place of a reply.
func (jb *job) doubts(re *core.Reply) bool {
	if !jb.ex.AnyModel || re.Confidence == core.NoConfidence || len(jb.rt.Cascade) < 2 || !jb.rt.Repeat.Repeatable() {
		return false
	}
	fw := jb.fw
	fw.mu.Lock()
	defer fw.mu.Unlock()
	la := fw.ladder(jb.lane())
	if jb.doubted != nil {
		la.Climbed(jb.doubted.stage, jb.doubted.confidence, jb.stage, re.Confidence)
		jb.doubted = nil
	}
	next, climb := la.Next(len(jb.rt.Cascade), jb.stage, re.Confidence, jb.fits)
	jb.sure = la.Sure()
	switch {
	case climb:
		jb.next = next
		jb.doubted = &doubted{jb.stage, re.Confidence}
	case float64(re.Confidence) >= jb.sure:
		jb.kept = keptSufficed
	default:
		jb.kept = keptTooLate
	}
	return climb
}

// fits reports whether a model of the cascade would begin its answer while that
// is still good. The forwarder's lock is held.
func (jb *job) fits(stage int) bool {
	now := time.Now()
	rq := jb.request()
	rq.Model = jb.rt.Cascade[stage]
	hosts := jb.upstreams(now)
	return jb.rt.Aim <= 0 || now.Sub(jb.ex.Arrived)+jb.fw.picker.Expect(now, hosts, rq) <= jb.rt.Aim
}

// climb reports whether the larger model may be asked, and moves there.
func (jb *job) climb(ctx context.Context) bool {
	switch {
	case jb.runs >= jb.attempts():
		jb.kept = keptAttempts
		return false
	case ctx.Err() != nil:
		return false
	case !jb.spend(retry.Climb):
		jb.kept = keptRepeats
		return false
	}
	jb.stage = jb.next
	// The larger model may run where the smaller one did.
	jb.tried = nil
	return true
}
