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
	"time"

	"skylarkstand/core"
	"skylarkstand/core/claim"
	"skylarkstand/core/declaration"
	"skylarkstand/core/ledger"
	"skylarkstand/core/placement"
	"skylarkstand/core/retry"
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
	pl     *placer
	budget *retry.Budget
}

// Option changes a Dispatcher at construction.
type Option func(*Dispatcher)

// Guard sets the guard of roll-outs.
func Guard(gu *rollout.Guard) Option { return func(dis *Dispatcher) { dis.judge.guard = gu } }

// Placement sets options of the choice of upstreams.
func Placement(opts ...placement.Option) Option {
	return func(dis *Dispatcher) { dis.pl.pk = placement.New(dis.deps.Zone, dis.deps.Region, opts...) }
}

// Candidates sets what lists the upstreams to choose from.
func Candidates(li Lister) Option { return func(dis *Dispatcher) { dis.pl.list = li } }

// Draw sets the random numbers that upstreams are drawn by: from 0 to n-1, one
// caller at a time.
func Draw(fn func(n int) int) Option { return func(dis *Dispatcher) { dis.pl.draw = fn } }

// New returns a dispatcher.
func New(deps core.Deps, inf *declaration.InForce, ups core.Upstreams, ra core.Rater, bi Biller, opts ...Option) *Dispatcher {
	dis := &Dispatcher{
		deps: deps, inf: inf, biller: bi, judge: newJudge(deps, ra),
		pl: newPlacer(deps, ups), budget: retry.NewBudget(),
	}
	for _, opt := range opts {
		opt(dis)
	}
	dis.ups = rollout.Watch(ups, dis.judge.guard)
	return dis
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
	Priority       int
	// Crossing says that the request was admitted to another region.
	Crossing bool
	Stream   bool
	Prompt   []byte
	Body     []byte

	// claim is set for an operation that runs at most once.
	claim *claim.Key
}

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
	if op.AtMostOnce {
		rq.claim = &claim.Key{Workspace: rq.Workspace, Service: rq.Service, Operation: rq.Operation, Idempotency: rq.IdempotencyKey}
	}
	at := core.Attempt{Service: rq.Service, Operation: rq.Operation, IdempotencyKey: rq.IdempotencyKey}
	ans, line, err := dis.try(ctx, sn, rq, at, !op.AtMostOnce)
	if err != nil {
		return nil, err
	}
	line.price = func(core.Usage) core.Millicents { return op.Price }
	line.Target = string(rq.Service) + "/" + string(rq.Operation)
	out := &Outcome{dis: dis, rq: rq}
	out.take(ans, line)
	return out, nil
}

func cost(ve *declaration.Version, us core.Usage) core.Millicents {
	total := int64(ve.PromptPrice)*int64(us.Prompt) + int64(ve.TokenPrice)*int64(us.Generated)
	return core.Millicents((total + 999) / 1000)
}

var errHeldTooLarge = core.Failure{Code: core.CodeTooLarge, Ran: core.RanFailed, Message: "a cascade's answer is too large to be rated"}

// isEnd reports the regular end of an answer.
func isEnd(err error) bool { return errors.Is(err, io.EOF) }
