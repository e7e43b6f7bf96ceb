package dispatch

import (
	"bytes"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/cascade"
	"skylarkstand/core/declaration"
	"skylarkstand/core/routing"
)

// Chat runs a request for a model or cascade.
func (dis *Dispatcher) Chat(ctx context.Context, rq *Request) (*Outcome, error) {
	pd, err := dis.plan(rq)
	if err != nil {
		return nil, err
	}
	out := &Outcome{dis: dis, rq: rq, Cascade: pd.plan.Cascade}
	sr := &stageRunner{dis: dis, planned: pd, rq: rq, out: out, began: time.Now(), attempted: make([]bool, len(pd.plan.Stages))}
	if err := sr.run(ctx); err != nil {
		return nil, out.fail(err)
	}
	return out, nil
}

// planned is the plan of a request under one configuration, and the stage that it starts with.
type planned struct {
	sn   *declaration.Snapshot
	plan routing.Plan
	// qu is nil for a plan with one stage, which leaves nothing to decide.
	qu    *cascade.Request
	start cascade.Decision
}

// PlanFirst plans a chat request and returns the version that it starts with, so that the
// request is admitted to the upstreams it will use. Chat uses the same plan unless the
// configuration has changed or a version of the plan was halted in the meantime.
func (dis *Dispatcher) PlanFirst(rq *Request) (core.ModelVersion, error) {
	pd, err := dis.plan(rq)
	if err != nil {
		return core.ModelVersion{}, err
	}
	return pd.plan.Stages[pd.start.Stage].Target, nil
}

func (dis *Dispatcher) plan(rq *Request) (*planned, error) {
	sn := dis.inf.Current()
	if sn == nil {
		return nil, core.Refuse(core.CodeNoConfig, time.Second, "no configuration is known yet")
	}
	if rq.planned != nil && rq.planned.sn == sn && !dis.halted(rq.planned.plan) {
		return rq.planned, nil
	}
	se := rq.Session
	se.Halted = dis.eval.guard.Halted
	plan, err := routing.Resolve(sn, rq.Workspace, rq.Model, se)
	if err != nil {
		return nil, err
	}
	rq.planned = &planned{sn: sn, plan: plan, start: cascade.Decision{Final: true}}
	if len(plan.Stages) > 1 {
		rq.planned.qu = cascadeRequest(sn, rq, plan)
		rq.planned.start = dis.eval.start(rq.planned.qu)
	}
	return rq.planned, nil
}

// halted reports whether a version that the plan assigned to a new session has been halted
// since. A request may wait for admission much longer than a halt takes to propagate.
func (dis *Dispatcher) halted(plan routing.Plan) bool {
	return slices.ContainsFunc(plan.Stages, func(st routing.Stage) bool {
		return st.JoinedRollOut && dis.eval.guard.Halted(st.Target)
	})
}

// assumedTokens is the assumed answer length. It is used only to compare the costs of the
// stages before any answer has been measured.
const assumedTokens = 256

// bytesPerToken converts the length of a prompt to an approximate number of tokens.
const bytesPerToken = 4

func cascadeRequest(sn *declaration.Snapshot, rq *Request, plan routing.Plan) *cascade.Request {
	ws := sn.Workspace(rq.Workspace)
	qu := &cascade.Request{
		Workspace: rq.Workspace, Cascade: plan.Cascade, Class: cascade.ClassOf(len(rq.Prompt)),
		Target: ws.Quality, LatencyPrice: ws.LatencyPrice,
	}
	us := core.Usage{Prompt: core.Tokens(len(rq.Prompt) / bytesPerToken), Generated: assumedTokens}
	for _, st := range plan.Stages {
		qu.Stages = append(qu.Stages, cascade.Stage{Target: st.Target, DeclaredQuality: st.Version.Quality, Cost: cost(st.Version, us)})
	}
	return qu
}

// stageRunner runs the stages of a request's plan.
type stageRunner struct {
	*planned
	dis   *Dispatcher
	rq    *Request
	out   *Outcome
	began time.Time
	// attempted marks the stages that were attempted; saved is the last complete answer.
	attempted []bool
	saved     *savedAnswer
	// mayHaveRun is set when a stage failed after its work may have run on an upstream.
	mayHaveRun bool
}

// savedAnswer is a complete answer that was rated too low to stop at. It is returned if the
// following stage fails.
type savedAnswer struct {
	ans      core.Answer
	buffered *bytes.Buffer
	lines    int
	target   core.ModelVersion
	repinned bool
	quality  core.Quality
}

func (sr *stageRunner) run(ctx context.Context) error {
	de := sr.start
	for {
		more, next, err := sr.step(ctx, de)
		if err != nil && sr.restore(ctx) {
			return nil
		}
		if err != nil {
			fl := sr.recordFailure(err)
			if more, next = sr.alternative(ctx, fl); !more {
				return fl
			}
		}
		if !more {
			return nil
		}
		de = next
	}
}

// recordFailure records the failure of a stage and returns the failure of the request. The
// request as a whole was not run only if no stage of it was sent to an upstream.
func (sr *stageRunner) recordFailure(err error) *core.Failure {
	fl := asFailure(err)
	if fl.Ran != core.NotRun {
		sr.mayHaveRun = true
	} else if sr.mayHaveRun {
		return &core.Failure{Code: fl.Code, Ran: core.RanUnknown, Message: fl.Message, RetryAfter: fl.RetryAfter}
	}
	return fl
}

// start decides which stage a cascade starts with.
func (ev *evaluator) start(qu *cascade.Request) cascade.Decision {
	now := time.Now()
	if !ev.health.AllowWait(now) {
		return cascade.Decision{Stage: qu.Fallback(), Final: true}
	}
	return ev.learner.Start(now, qu, rand.Float64())
}

// step runs one stage and decides which stage follows, if any.
func (sr *stageRunner) step(ctx context.Context, de cascade.Decision) (bool, cascade.Decision, error) {
	err := sr.stage(ctx, de)
	if err != nil || de.Final {
		return false, de, err
	}
	if err := sr.out.buffer(maxBufferedBytes); err != nil {
		// A stage whose answer was cut off is not billed.
		sr.out.lines = sr.out.lines[:len(sr.out.lines)-1]
		return false, de, err
	}
	return sr.rateAndDecide(ctx, de)
}

// stage runs one stage on an upstream.
func (sr *stageRunner) stage(ctx context.Context, de cascade.Decision) error {
	st := sr.plan.Stages[de.Stage]
	pos := sr.position()
	sr.attempted[de.Stage] = true
	if st.JoinedRollOut {
		sr.dis.eval.guard.CountExposed(st.Target)
	}
	at := core.Attempt{Target: st.Target, Stream: sr.rq.Stream}
	ans, line, err := sr.dis.try(ctx, sr.sn, sr.rq, at, true)
	if err != nil {
		return err
	}
	line.price = func(us core.Usage) core.Millicents { return cost(st.Version, us) }
	line.Target = st.Target.String()
	sr.out.Target, sr.out.Repinned = st.Target, st.Repinned
	sr.out.setAnswer(sr.observe(ctx, ans, de, pos), line)
	return nil
}

func (sr *stageRunner) position() cascade.Position {
	if sr.saved != nil {
		return cascade.AfterFailure
	}
	return cascade.First
}

// sampleShare is the fraction of the answers of a cascade's last stage that are rated although
// no decision depends on the rating. Without these ratings, the learner could not estimate
// the quality of the expensive stage.
const sampleShare = 0.3

// observe wraps an answer so that the learner records its cost at the end. A sample of the
// answers whose rating no decision depends on is also rated in the background.
func (sr *stageRunner) observe(ctx context.Context, ans core.Answer, de cascade.Decision, pos cascade.Position) core.Answer {
	st, ev := sr.plan.Stages[de.Stage], sr.dis.eval
	share := ev.guard.RateShare(st.Target)
	if sr.qu != nil {
		share = max(share, sampleShare)
	}
	oa := &observedAnswer{Answer: ans}
	if de.Final && rand.Float64() < share {
		oa.copied = new(bytes.Buffer)
	}
	began := time.Now()
	oa.ended = func(us core.Usage, text []byte) {
		learn := sr.recordAnswer(de, pos, cost(st.Version, us), time.Since(began), share)
		if text != nil {
			ev.rate(ctx, ev.background, ratingJob{target: st.Target, prompt: sr.rq.Prompt, answer: text, learn: learn})
		}
	}
	return oa
}

// recordAnswer records the cost and duration of a complete answer with the learner. It returns
// the function that receives its rating, if the answer is rated.
func (sr *stageRunner) recordAnswer(de cascade.Decision, pos cascade.Position, paid core.Millicents, took time.Duration, share float64) func(core.Quality) {
	if sr.qu == nil {
		return nil
	}
	le, now := sr.dis.eval.learner, time.Now()
	le.RecordRun(now, sr.qu, de.Stage, paid, took)
	if !de.Final {
		return nil
	}
	expected := le.Expected(now, sr.qu, de.Stage, pos)
	le.RecordResult(sr.qu, expected, now.Sub(sr.began))
	return func(got core.Quality) {
		le.RecordRating(time.Now(), sr.qu, de.Stage, pos, got)
		le.RecordSampledRating(sr.qu, expected, got, share)
	}
}

// maxBufferedBytes limits the answer of a cascade's stage that is buffered until it is rated, so
// that one long answer cannot exhaust the memory of the process.
const maxBufferedBytes = 4 << 20

// rateAndDecide has the buffered answer rated and decides whether another stage follows.
func (sr *stageRunner) rateAndDecide(ctx context.Context, de cascade.Decision) (bool, cascade.Decision, error) {
	out, ev, pos := sr.out, sr.dis.eval, sr.position()
	got, ok := ev.await(ctx, ratingJob{
		target: out.Target, prompt: sr.rq.Prompt, answer: out.buffered.Bytes(),
		learn: func(got core.Quality) { ev.learner.RecordRating(time.Now(), sr.qu, de.Stage, pos, got) },
	})
	if err := ctx.Err(); err != nil {
		return false, de, core.OutcomeUnknown("the caller is gone or its deadline has passed")
	}
	now := time.Now()
	next, more := sr.decideUnrated(de)
	if ok {
		next, more = ev.learner.Next(now, sr.qu, de.Stage, got, now.Sub(sr.began))
	} else {
		got = ev.learner.Expected(now, sr.qu, de.Stage, pos)
	}
	if !more {
		ev.learner.RecordResult(sr.qu, got, now.Sub(sr.began))
		return false, de, nil
	}
	sr.saved = &savedAnswer{out.ans, out.buffered, len(out.lines), out.Target, out.Repinned, got}
	return true, next, nil
}

// decideUnrated decides on an answer without a rating in time, by the declared quality of its
// stage.
func (sr *stageRunner) decideUnrated(de cascade.Decision) (cascade.Decision, bool) {
	if sr.qu.Stages[de.Stage].DeclaredQuality >= sr.qu.Target {
		return de, false
	}
	next := sr.qu.Fallback()
	return cascade.Decision{Stage: next, Final: true}, next > de.Stage
}

// restore replaces a failed stage by the saved answer, and reports whether there was one: a
// caller is better served by an answer below the target quality than by none.
func (sr *stageRunner) restore(ctx context.Context) bool {
	sa, out := sr.saved, sr.out
	if sa == nil || ctx.Err() != nil {
		return false
	}
	out.ans, out.buffered, out.usageRecorded = sa.ans, sa.buffered, true
	out.lines = out.lines[:sa.lines]
	out.Target, out.Repinned = sa.target, sa.repinned
	sr.dis.eval.learner.RecordResult(sr.qu, sa.quality, time.Since(sr.began))
	return true
}

// alternative returns a stage to run in place of a failed one: the next more expensive stage, or
// else the next cheaper one. So an exhausted pool or a broken version does not make the whole
// cascade fail. The learner later offsets an answer of lower quality within the mix.
func (sr *stageRunner) alternative(ctx context.Context, fl *core.Failure) (bool, cascade.Decision) {
	if ctx.Err() != nil || !replaceable(fl) {
		return false, cascade.Decision{}
	}
	last := slices.Index(sr.attempted, true)
	for i := last + 1; i < len(sr.attempted); i++ {
		if !sr.attempted[i] {
			return true, cascade.Decision{Stage: i, Final: true}
		}
	}
	for i := last - 1; i >= 0; i-- {
		if !sr.attempted[i] {
			return true, cascade.Decision{Stage: i, Final: true}
		}
	}
	return false, cascade.Decision{}
}

// replaceable reports whether another model may succeed after a failure. A fault in the request
// itself fails on every model.
func replaceable(fl *core.Failure) bool {
	switch fl.Code {
	case core.CodeOverloaded, core.CodeNoUpstream, core.CodeLeaving, core.CodeWithdrawn, core.CodeOutcomeLost, core.CodeUpstream, core.CodeTooLarge:
		return true
	default:
		return false
	}
}
