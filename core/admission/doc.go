// Package admission decides in an entry which request starts now, which waits
// and which is refused, before any upstream is asked.
//
// A [Controller] does so for one pool: the upstreams of one model version or
// of one plain service. It is pure: time and randomness come in as arguments.
// A [Gate] holds the controllers of an entry and lets goroutines wait.
//
// Work is counted in units: generated tokens, with prompt tokens at a tenth.
// How much a request will generate is learned per workspace, how long a unit
// takes per pool. From the two follow the rate at which a pool drains, the
// time that a request would wait, and the time after which a refused one is
// worth sending again.
//
// Waiting workspaces are served by start-time fair queueing (Goyal, Vin and
// Cheng, 1996) over their units, each by its share. Priority orders the work
// within a workspace and never across: callers name it themselves, and one
// that marks everything urgent must not gain by it.
//
// # Usage
//
//	gt := admission.NewGate(room, admission.MaxWait(30*time.Second))
//	ps, err := gt.Enter(ctx, admission.ModelPool(mv), admission.Work{Workspace: ws, Share: 2, Prompt: 400})
//	if err != nil { refuse }          // a *core.Failure, not run
//	defer ps.Leave()
//	ps.Used(usage)                    // once the whole answer is there
package admission
