// Package dispatch runs an admitted request: it selects upstreams, retries where that is safe,
// has the answers of cascades rated, and files one bill per request.
//
// # Usage
//
//	dis := dispatch.New(deps, inForce, upstreams, rater, ledger)
//	out, err := dis.Chat(ctx, rq)
//	io.Copy(w, out)        // out.Next until io.EOF
//	out.FileBill()         // files the bill, before the end of the answer is sent to the caller
//
// Errors are [core.Failure]s. A failure with [core.NotRun] guarantees that no stage of the
// request reached an upstream.
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

// Biller files bills. Add does not block.
type Biller interface{ Add(ledger.Bill) }

// Dispatcher runs admitted requests. It is safe for concurrent use.
type Dispatcher struct {
	deps   core.Deps
	inf    *declaration.InForce
	ups    core.Upstreams
	biller Biller
	eval   *evaluator
	pl     *sharedPicker
	budget *retry.Budget
}

// Option configures a Dispatcher at construction.
type Option func(*Dispatcher)

// Guard sets the guard that halts roll-outs.
func Guard(gu *rollout.Guard) Option { return func(dis *Dispatcher) { dis.eval.guard = gu } }

// Placement sets options of the selection of upstreams.
func Placement(opts ...placement.Option) Option {
	return func(dis *Dispatcher) { dis.pl.pk = placement.New(dis.deps.Zone, dis.deps.Region, opts...) }
}

// Candidates sets the source of the upstreams to select from.
func Candidates(li Lister) Option { return func(dis *Dispatcher) { dis.pl.list = li } }

// RandomSource sets the source of random numbers for the selection of upstreams. The function
// returns a number from 0 to n-1 and is never called concurrently.
func RandomSource(fn func(n int) int) Option { return func(dis *Dispatcher) { dis.pl.randIntN = fn } }

// New returns a Dispatcher.
func New(deps core.Deps, inf *declaration.InForce, ups core.Upstreams, ra core.Rater, bi Biller, opts ...Option) *Dispatcher {
	dis := &Dispatcher{
		deps: deps, inf: inf, biller: bi, eval: newEvaluator(deps, ra),
		pl: newSharedPicker(deps, ups), budget: retry.NewBudget(),
	}
	for _, opt := range opts {
		opt(dis)
	}
	dis.ups = rollout.ObserveAttempts(ups, dis.eval.guard)
	return dis
}

// Request is a caller's request whose workspace has been identified.
type Request struct {
	ID        core.RequestID
	Workspace core.WorkspaceID
	// Model is the name of a model or cascade, for chat requests.
	Model   string
	Session routing.Session
	// Service and Operation are set for plain services.
	Service        core.ServiceID
	Operation      core.OperationID
	IdempotencyKey string
	Deadline       time.Duration
	Priority       int
	// CrossRegion reports that the request was admitted to another region.
	CrossRegion bool
	Stream      bool
	Prompt      []byte
	Body        []byte

	// planned is set once the plan of a chat request has been made.
	planned *planned
	// claim is set for an at-most-once operation.
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
	out.setAnswer(ans, line)
	return out, nil
}

func cost(ve *declaration.Version, us core.Usage) core.Millicents {
	total := int64(ve.PromptPrice)*int64(us.Prompt) + int64(ve.TokenPrice)*int64(us.Generated)
	return core.Millicents((total + 999) / 1000)
}

var errAnswerTooLarge = core.Failure{Code: core.CodeTooLarge, Ran: core.RanFailed, Message: "a cascade's answer is too large to be rated"}

// isEOF reports whether an answer ended regularly.
func isEOF(err error) bool { return errors.Is(err, io.EOF) }
