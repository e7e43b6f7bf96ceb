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
	sn := dis.inf.Current()
	if sn == nil {
		return nil, core.Refuse(core.CodeNoConfig, time.Second, "no configuration is known yet")
	}
	se := rq.Session
	se.Halted = dis.judge.guard.Halted
	plan, err := routing.Resolve(sn, rq.Workspace, rq.Model, se)
	if err != nil {
		return nil, err
	}
	out := &Outcome{dis: dis, rq: rq, Cascade: plan.Cascade}
	wk := &walk{dis: dis, sn: sn, rq: rq, plan: plan, out: out, began: time.Now(), ran: make([]bool, len(plan.Stages))}
	if len(plan.Stages) > 1 {
		wk.qu = question(sn, rq, plan)
	}
	if err := wk.run(ctx); err != nil {
		return nil, out.fail(err)
	}
	return out, nil
}

// assumedTokens is the length of an answer before any was seen, for the order
// of the stages' prices only.
const assumedTokens = 256

// bytesPerToken turns a prompt's length into tokens, roughly.
const bytesPerToken = 4

func question(sn *declaration.Snapshot, rq *Request, plan routing.Plan) *cascade.Question {
	ws := sn.Workspace(rq.Workspace)
	qu := &cascade.Question{
		Workspace: rq.Workspace, Cascade: plan.Cascade, Class: cascade.ClassOf(len(rq.Prompt)),
		Target: ws.Quality, LatencyPrice: ws.LatencyPrice,
	}
	us := core.Usage{Prompt: core.Tokens(len(rq.Prompt) / bytesPerToken), Generated: assumedTokens}
	for _, st := range plan.Stages {
		qu.Stages = append(qu.Stages, cascade.Stage{Target: st.Target, Declared: st.Version.Quality, Cost: cost(st.Version, us)})
	}
	return qu
}

// walk takes one request through the stages of its plan.
type walk struct {
	dis   *Dispatcher
	sn    *declaration.Snapshot
	rq    *Request
	plan  routing.Plan
	out   *Outcome
	began time.Time
	// qu is nil for a plan of one stage: there is nothing to decide.
	qu *cascade.Question
	// ran marks the stages that were run; kept is the last whole answer.
	ran  []bool
	kept *kept
	// handed tells that some stage's work may have run before it failed.
	handed bool
}

// kept is a whole answer that was rated too low to stop at, and is given when
// the stage after it fails.
type kept struct {
	ans      core.Answer
	held     *bytes.Buffer
	lines    int
	target   core.ModelVersion
	repinned bool
	quality  core.Quality
}

func (wk *walk) run(ctx context.Context) error {
	de := wk.start()
	for {
		more, next, err := wk.step(ctx, de)
		if err != nil && wk.restore(ctx) {
			return nil
		}
		if err != nil {
			fl := wk.failed(err)
			if more, next = wk.instead(ctx, fl); !more {
				return fl
			}
		}
		if !more {
			return nil
		}
		de = next
	}
}

// failed notes a stage's failure. "Not run" is true of the request only if no
// stage of it was handed to an upstream.
func (wk *walk) failed(err error) *core.Failure {
	fl := asFailure(err)
	if fl.Ran != core.NotRun {
		wk.handed = true
	} else if wk.handed {
		return &core.Failure{Code: fl.Code, Ran: core.RanUnknown, Message: fl.Message, RetryAfter: fl.RetryAfter}
	}
	return fl
}

func (wk *walk) start() cascade.Decision {
	switch {
	case wk.qu == nil:
		return cascade.Decision{Final: true}
	case !wk.dis.judge.health.Ask(time.Now()):
		return cascade.Decision{Stage: wk.qu.Fallback(), Final: true}
	default:
		return wk.dis.judge.learner.Start(time.Now(), wk.qu, rand.Float64())
	}
}

// step runs one stage and decides what comes after it.
func (wk *walk) step(ctx context.Context, de cascade.Decision) (bool, cascade.Decision, error) {
	err := wk.stage(ctx, de)
	if err != nil || de.Final {
		return false, de, err
	}
	if err := wk.out.hold(maxHeld); err != nil {
		// A stage whose answer was cut is not billed.
		wk.out.lines = wk.out.lines[:len(wk.out.lines)-1]
		return false, de, err
	}
	return wk.goOn(ctx, de)
}

// stage runs one stage on some upstream.
func (wk *walk) stage(ctx context.Context, de cascade.Decision) error {
	st := wk.plan.Stages[de.Stage]
	place := wk.place()
	wk.ran[de.Stage] = true
	if st.Joined {
		wk.dis.judge.guard.Reach(st.Target)
	}
	at := core.Attempt{Target: st.Target, Stream: wk.rq.Stream}
	ans, line, err := wk.dis.try(ctx, wk.sn, wk.rq, at, true)
	if err != nil {
		return err
	}
	line.price = func(us core.Usage) core.Millicents { return cost(st.Version, us) }
	line.Target = st.Target.String()
	wk.out.Target, wk.out.Repinned = st.Target, st.Repinned
	wk.out.take(wk.listen(ctx, ans, de, place), line)
	return nil
}

func (wk *walk) place() cascade.Place {
	if wk.kept != nil {
		return cascade.After
	}
	return cascade.First
}

// sampleShare is the share of answers of a cascade's last stage that are rated
// although nothing depends on it. The learner needs them: without any it could
// not tell what the costly stage is worth.
const sampleShare = 0.3

// listen returns an answer that teaches the learner when it ends, and that is
// rated in the background if nothing waits for its rating and it is drawn.
func (wk *walk) listen(ctx context.Context, ans core.Answer, de cascade.Decision, place cascade.Place) core.Answer {
	st, jd := wk.plan.Stages[de.Stage], wk.dis.judge
	share := jd.guard.RateShare(st.Target)
	if wk.qu != nil {
		share = max(share, sampleShare)
	}
	li := &listened{Answer: ans}
	if de.Final && rand.Float64() < share {
		li.copied = new(bytes.Buffer)
	}
	began := time.Now()
	li.ended = func(us core.Usage, text []byte) {
		learn := wk.ended(de, place, cost(st.Version, us), time.Since(began), share)
		if text != nil {
			jd.rate(ctx, jd.aside, specimen{target: st.Target, prompt: wk.rq.Prompt, answer: text, learn: learn})
		}
	}
	return li
}

// ended teaches the learner what a whole answer has cost and returns what
// takes its rating, if one comes.
func (wk *walk) ended(de cascade.Decision, place cascade.Place, paid core.Millicents, took time.Duration, share float64) func(core.Quality) {
	if wk.qu == nil {
		return nil
	}
	le, now := wk.dis.judge.learner, time.Now()
	le.Ran(now, wk.qu, de.Stage, paid, took)
	if !de.Final {
		return nil
	}
	expected := le.Expected(now, wk.qu, de.Stage, place)
	le.Done(wk.qu, expected, now.Sub(wk.began))
	return func(got core.Quality) {
		le.Rated(time.Now(), wk.qu, de.Stage, place, got)
		le.Sampled(wk.qu, expected, got, share)
	}
}

// maxHeld bounds the answer of a cascade's stage that is held until it is
// rated, so that one long answer cannot take the process's memory.
const maxHeld = 4 << 20

// goOn has the held answer rated and decides whether the request goes on.
func (wk *walk) goOn(ctx context.Context, de cascade.Decision) (bool, cascade.Decision, error) {
	out, jd, place := wk.out, wk.dis.judge, wk.place()
	got, ok := jd.await(ctx, specimen{
		target: out.Target, prompt: wk.rq.Prompt, answer: out.held.Bytes(),
		learn: func(got core.Quality) { jd.learner.Rated(time.Now(), wk.qu, de.Stage, place, got) },
	})
	if err := ctx.Err(); err != nil {
		return false, de, core.Lost("the caller is gone or its deadline has passed")
	}
	now := time.Now()
	next, more := wk.unrated(de)
	if ok {
		next, more = jd.learner.Next(now, wk.qu, de.Stage, got, now.Sub(wk.began))
	} else {
		got = jd.learner.Expected(now, wk.qu, de.Stage, place)
	}
	if !more {
		jd.learner.Done(wk.qu, got, now.Sub(wk.began))
		return false, de, nil
	}
	wk.kept = &kept{out.ans, out.held, len(out.lines), out.Target, out.Repinned, got}
	return true, next, nil
}

// unrated decides on an answer whose rating did not come: what is declared
// counts.
func (wk *walk) unrated(de cascade.Decision) (cascade.Decision, bool) {
	if wk.qu.Stages[de.Stage].Declared >= wk.qu.Target {
		return de, false
	}
	next := wk.qu.Fallback()
	return cascade.Decision{Stage: next, Final: true}, next > de.Stage
}

// restore puts the last whole answer back in place of a stage that failed, and
// reports whether there was one. An answer that is not good enough is more use
// to a caller than none.
func (wk *walk) restore(ctx context.Context) bool {
	ke, out := wk.kept, wk.out
	if ke == nil || ctx.Err() != nil {
		return false
	}
	out.ans, out.held, out.ended = ke.ans, ke.held, true
	out.lines = out.lines[:ke.lines]
	out.Target, out.Repinned = ke.target, ke.repinned
	wk.dis.judge.learner.Done(wk.qu, ke.quality, time.Since(wk.began))
	return true
}

// instead names a stage to run in place of one that failed, so that a pool
// that has run out or a version that breaks does not take the cascade down:
// the next better one, or else the next cheaper one. The mix makes up for a
// worse answer later.
func (wk *walk) instead(ctx context.Context, fl *core.Failure) (bool, cascade.Decision) {
	if ctx.Err() != nil || !replaceable(fl) {
		return false, cascade.Decision{}
	}
	last := slices.Index(wk.ran, true)
	for i := last + 1; i < len(wk.ran); i++ {
		if !wk.ran[i] {
			return true, cascade.Decision{Stage: i, Final: true}
		}
	}
	for i := last - 1; i >= 0; i-- {
		if !wk.ran[i] {
			return true, cascade.Decision{Stage: i, Final: true}
		}
	}
	return false, cascade.Decision{}
}

// replaceable reports whether another model may do better than one that failed
// so. What is wrong with the request itself is wrong for every model.
func replaceable(fl *core.Failure) bool {
	switch fl.Code {
	case core.CodeOverloaded, core.CodeNoUpstream, core.CodeLeaving, core.CodeWithdrawn, core.CodeOutcomeLost, core.CodeUpstream, core.CodeTooLarge:
		return true
	default:
		return false
	}
}
