// Package admission implements the admission control of an entry: it decides
// which request starts now, which waits and which is refused, before anything
// is sent to an upstream.
//
// A [Controller] decides for one pool: the upstreams of one model version or
// of one plain service. It is pure: time and randomness come in as arguments.
// A [Gate] holds the controllers of an entry and blocks goroutines while their
// requests wait.
//
// Work is counted in units: one per generated token, and a tenth per prompt
// token. The output of a request is estimated per workspace, the time per unit
// per pool. These two estimates give the rate at which a pool drains, the
// expected wait of a request, and the Retry-After of a refused one.
//
// Waiting workspaces are served by start-time fair queueing (Goyal, Vin and
// Cheng, 1996) over their units, weighted by share. Priority orders requests
// only within a workspace: callers set it themselves, and a caller that marks
// everything urgent must not gain by it.
//
// # Usage
//
//	ga := admission.NewGate(capacity, admission.MaxWait(30*time.Second))
//	ps, err := ga.Enter(ctx, admission.ModelPool(mv), admission.Work{Workspace: ws, Share: 2, Prompt: 400})
//	if err != nil { refuse }          // a *core.Failure, not run
//	defer ps.Leave()
//	ps.RecordUsage(usage)                    // once the response is complete
package admission
