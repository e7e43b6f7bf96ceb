// Package dispatch takes an admitted request through its stages to an answer:
// it chooses upstreams, tries again where that is safe, asks for ratings in a
// cascade and files the one bill.
//
// # Usage
//
//	dis := dispatch.New(deps, inForce, upstreams, rater, ledger)
//	out, err := dis.Chat(ctx, rq)
//	io.Copy(w, out)        // out.Next until io.EOF
//	out.Settle()           // bills; before the caller gets the end
//
// Errors are [core.Failure]s. A failure that says it was not run is true: no
// stage of the request reached an upstream.
package dispatch

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/declaration"
	"skylarkstand/core/ledger"
	"skylarkstand/core/placement"
	"skylarkstand/core/rollout"
	"skylarkstand/core/routing"
)

// Biller files bills. It does not block.
type Biller interface{ Add(ledger.Bill) }

// Dispatcher is safe for concurrent use.
type Dispatcher struct {
	deps   core.Deps
	inf    *declaration.InForce
	ups    core.Upstreams
	biller Biller
	judge  *judge
}

// New returns a dispatcher.
func New(deps core.Deps, inf *declaration.InForce, ups core.Upstreams, ra core.Rater, bi Biller, opts ...Option) *Dispatcher {
	jd := newJudge(deps, ra)
	for _, opt := range opts {
		opt(jd)
	}
	return &Dispatcher{deps: deps, inf: inf, ups: rollout.Watch(ups, jd.guard), biller: bi, judge: jd}
}

// Request is a caller's request after its workspace is known.
type Request struct {
	ID        core.RequestID
	Workspace core.WorkspaceID
	// Model names a model or a cascade, for chat requests.
	Model   string
	Session routing.Session
	// Service and Operation are set for plain services.
	Service        core.ServiceID
	Operation      core.OperationID
	IdempotencyKey string
	Deadline       time.Duration
	Stream         bool
	Prompt         []byte
	Body           []byte
}

// maxTries bounds the upstreams that one attempt of work is offered to. A
// refusal is cheap, but a pool that refuses twice is full, and going on would
// load it with refusals.
const maxTries = 3

// Call runs a request for a plain service.
func (dis *Dispatcher) Call(ctx context.Context, rq *Request) (*Outcome, error) {
	sn := dis.inf.Current()
	if sn == nil {
		return nil, core.Refuse(core.CodeNoConfig, time.Second, "no configuration is known yet")
	}
	op := sn.Operation(rq.Service, rq.Operation)
	if op == nil {
		return nil, core.Refuse(core.CodeUnknownModel, 0, "there is no operation %s/%s", rq.Service, rq.Operation)
	}
	if !sn.MayCall(rq.Workspace, rq.Service) {
		return nil, core.Refuse(core.CodeNotAllowed, 0, "the workspace may not call service %q", rq.Service)
	}
	if op.AtMostOnce && rq.IdempotencyKey == "" {
		return nil, core.Refuse(core.CodeBadRequest, 0, "operation %s runs at most once and needs an Idempotency-Key header", rq.Operation)
	}
	cands := func() []core.Upstream { return dis.ups.Offering(rq.Service) }
	at := core.Attempt{Service: rq.Service, Operation: rq.Operation, IdempotencyKey: rq.IdempotencyKey}
	ans, line, err := dis.try(ctx, sn, rq, at, cands, !op.AtMostOnce)
	if err != nil {
		return nil, err
	}
	line.price = func(core.Usage) core.Millicents { return op.Price }
	line.Target = string(rq.Service) + "/" + string(rq.Operation)
	out := &Outcome{dis: dis, rq: rq}
	out.take(ans, line)
	return out, nil
}

// try offers one piece of work to upstreams until one takes it. After an
// unknown outcome it goes on only with repeatable work.
func (dis *Dispatcher) try(ctx context.Context, sn *declaration.Snapshot, rq *Request, at core.Attempt, cands func() []core.Upstream, repeatable bool) (core.Answer, *line, error) {
	at.Request, at.Workspace, at.Generation, at.Deadline, at.Body = rq.ID, rq.Workspace, sn.Number, rq.Deadline, rq.Body
	var tried []core.UpstreamID
	var last *core.Failure
	ran := false
	for range maxTries {
		id, ok := placement.Pick(cands(), dis.deps.Zone, dis.deps.Region, rand.IntN, tried)
		if !ok {
			break
		}
		tried = append(tried, id)
		at.ID = core.AttemptID(core.NewID())
		ans, err := dis.ups.Dispatch(ctx, id, &at)
		if err == nil {
			return ans, &line{upstream: id, Line: ledger.Line{Attempt: at.ID}}, nil
		}
		last = asFailure(err)
		ran = ran || last.Ran != core.NotRun
		if ctx.Err() != nil || !again(last, repeatable) {
			break
		}
	}
	if last == nil {
		last = core.Refuse(core.CodeNoUpstream, time.Second, "no upstream takes this work now")
	}
	if ran && last.Ran == core.NotRun {
		// An earlier try reached an upstream, so the request as a whole may
		// have run although the last try did not.
		last = &core.Failure{Code: last.Code, Ran: core.RanUnknown, Message: last.Message, RetryAfter: last.RetryAfter}
	}
	return nil, nil, last
}

// again reports whether another upstream may be tried after a failure.
func again(fl *core.Failure, repeatable bool) bool {
	switch fl.Code {
	case core.CodeOverloaded, core.CodeLeaving, core.CodeNoUpstream, core.CodeStaleConfig, core.CodeStoreDown:
		return fl.Ran == core.NotRun
	case core.CodeOutcomeLost, core.CodeUpstream, core.CodeCrashed:
		return fl.Ran == core.NotRun || repeatable
	default:
		return false
	}
}

func asFailure(err error) *core.Failure {
	var fl *core.Failure
	if errors.As(err, &fl) {
		return fl
	}
	return core.Lost("%v", err)
}

func cost(ve *declaration.Version, us core.Usage) core.Millicents {
	total := int64(ve.PromptPrice)*int64(us.Prompt) + int64(ve.TokenPrice)*int64(us.Generated)
	return core.Millicents((total + 999) / 1000)
}

var errHeldTooLarge = core.Failure{Code: core.CodeTooLarge, Ran: core.RanFailed, Message: "a cascade's answer is too large to be rated"}

// isEnd reports the regular end of an answer.
func isEnd(err error) bool { return errors.Is(err, io.EOF) }
