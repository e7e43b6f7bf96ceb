package core

import (
	"context"
	"time"
)

// Upstream is one upstream as an entry sees it: from the host list, and from
// its agent's last report.
type Upstream struct {
	Host Host
	// Up says that the link to the agent stands.
	Up bool
	// Leaving is said by the agent on its link, or by the host list.
	Leaving bool
	// Load is the agent's last report, and Own counts this entry's attempts
	// that are running there now.
	Load Load
	Own  int
	// Reported is when the report came, and OwnThen what Own was then. Both
	// are zero before the first report.
	Reported time.Time
	OwnThen  int
	// Hash is that of the id, kept so that no decision has to work it out; 0
	// when it is not known.
	Hash uint64
}

// Upstreams is the entry's way to all upstreams. It is safe for concurrent
// use.
type Upstreams interface {
	// Serving lists the upstreams of a model version.
	Serving(mv ModelVersion) []Upstream
	// Offering lists the upstreams of a plain service.
	Offering(sv ServiceID) []Upstream
	// Dispatch hands an attempt to the agent of an upstream. An error is a
	// *Failure.
	Dispatch(ctx context.Context, id UpstreamID, at *Attempt) (Answer, error)
	// Settle tells the agent of an upstream what was billed for a request.
	Settle(id UpstreamID, rq RequestID, at AttemptID, bill []byte)
}

// Runner runs attempts on the upstream beside an agent: a model engine or a
// plain service. An error is a *Failure; its Ran is NotRun only when no byte
// went to the upstream.
type Runner interface {
	Run(ctx context.Context, at *Attempt) (Answer, error)
}
