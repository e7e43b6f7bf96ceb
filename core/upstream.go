package core

import (
	"context"
	"time"
)

// Upstream is an entry's view of one upstream, from the host list and its agent's last report.
type Upstream struct {
	Host Host
	// Connected reports whether the link to the agent is open.
	Connected bool
	// Leaving is set by the agent over its link, or by the host list.
	Leaving bool
	// Load is the agent's last report, and OwnAttempts counts the attempts of this entry that are
	// running there now.
	Load        Load
	OwnAttempts int
	// ReportedAt is when the report was received, and OwnAtReport the value of OwnAttempts at that
	// time. Both are zero before the first report.
	ReportedAt  time.Time
	OwnAtReport int
	// IDHash is the hash of the id, cached because each decision needs it; 0 means not computed.
	IDHash uint64
}

// Upstreams gives an entry access to all upstreams. It is safe for concurrent use.
type Upstreams interface {
	// Serving lists the upstreams of a model version.
	Serving(mv ModelVersion) []Upstream
	// Offering lists the upstreams of a plain service.
	Offering(sv ServiceID) []Upstream
	// Dispatch sends an attempt to the agent of an upstream. An error is a *Failure.
	Dispatch(ctx context.Context, id UpstreamID, at *Attempt) (Answer, error)
	// ReportBill reports to the agent of an upstream what was billed for a request.
	ReportBill(id UpstreamID, rq RequestID, at AttemptID, bill []byte)
}

// Runner runs attempts on the upstream beside an agent: a model engine or a plain service. An error
// is a *Failure; its Ran is NotRun only if no byte was sent to the upstream.
type Runner interface {
	Run(ctx context.Context, at *Attempt) (Answer, error)
}

// SignalSource is a Runner that passes on the signals in its upstream's response headers. It calls the
// function before Run returns; sent is when the request was sent. OnSignals must be called before the
// first Run.
type SignalSource interface {
	OnSignals(fn func(sent time.Time, si Signals))
}
