package core

import (
	"context"
	"io"
	"net/http"
	"time"
)

// RetrySafety defines whether a request may be retried after its work may have run.
type RetrySafety int

// The retry semantics. The zero value is the safe one.
const (
	// AtMostOnce work must not run again once it may have run.
	AtMostOnce RetrySafety = iota
	// Idempotent work may run again from its beginning.
	Idempotent
	// Resumable work is a stream that may be continued at another upstream after the last event
	// that its caller received.
	Resumable
)

// Retryable reports whether the work may run more than once.
func (re RetrySafety) Retryable() bool { return re != AtMostOnce }

// Part is one part of a prompt. Upstreams reuse the prefix cache of a part only if all parts
// before it are the same.
type Part struct {
	ID     string
	Tokens Tokens
}

// Exchange is a caller's request that is forwarded to an upstream with its method, target, headers
// and body unchanged.
type Exchange struct {
	// ID is chosen by the caller, a new one for each time it sends a request. The upstream echoes
	// it, so that an answer can be matched to its request.
	ID RequestID
	// Host and Path select the route. Target is the path with its query, byte for byte as received.
	Host, Path, Target, Method string
	// Header holds the headers to forward, without hop-by-hop headers and those that only this
	// system sets.
	Header http.Header
	Body   []byte
	// Key is the caller's API key. It is never forwarded.
	Key APIKey
	// Arrived is when the request was received, Deadline how long the caller waits from then; zero
	// means no deadline.
	Arrived  time.Time
	Deadline time.Duration
	// Session is shared by requests that are to stay on one version; empty means no session.
	Session SessionID
	// AnyModel is set when the system chooses the model, by the route's cascade.
	AnyModel bool
	// Prompt is the caller's count of its prompt's tokens, Output the maximum that may be generated.
	// Both are 0 for plain services.
	Prompt, Output Tokens
	Parts          []Part
	// LastEventID is the id of the last event that the caller received of an earlier answer; empty
	// if the answer starts at its beginning.
	LastEventID string
}

// Call is one attempt of an exchange at one upstream.
type Call struct {
	*Exchange
	To        Host
	Workspace WorkspaceID
	// Model is the model that the system chose, or empty.
	Model ModelID
	// Timeout is the time that remains for the upstream; 0 means no bound.
	Timeout time.Duration
	// Priority is the rank of the work; 0 runs first.
	Priority int
	// ResumeAfter is the id of the last event that the caller received; empty to get all events.
	ResumeAfter string
	// MaxConnections is the maximum number of connections to the upstream; 0 means no bound.
	MaxConnections int
	// BeforeSend is called immediately before the first byte is sent. If it returns false, nothing is sent,
	// and the call fails as not run. It may be nil.
	BeforeSend func() bool
}

// NoConfidence is the confidence of a reply that reports none.
const NoConfidence = -1

// Signals are what an upstream reports about its state in a response header.
type Signals struct {
	// RateLimit is how many requests a second the upstream accepts from all entries together; nil if
	// it has no limit.
	RateLimit *Rate
	// RetryAfter is how long the upstream accepts no further request of the entry that it refused; 0
	// without a refusal.
	RetryAfter time.Duration
	// Draining is set when the upstream is shutting down and must get no new requests.
	Draining bool
}

// Origin is what shows to which call a reply belongs and what it states, for the log.
type Origin struct {
	// Statement is the header of the reply that states that the call was not run, and IDs are the ids of
	// requests that it bears, both as received.
	Statement string
	IDs       []string
	// KeptConnection is set if the connection had carried another request before, and Skipped counts the
	// answers to other requests that arrived in front of this one.
	KeptConnection bool
	Skipped        int
}

// Reply is an upstream's answer to a call.
type Reply struct {
	Status int
	// Header holds the headers for the caller.
	Header http.Header
	// Sealed is set when the answer carries an upstream's proof of origin. A success without it
	// does not come from the upstream.
	Sealed bool
	// NotRun is set when the upstream guarantees that it did not run the call. The client must be certain
	// that the answer belongs to this call.
	NotRun bool
	// WrongUpstream is set with NotRun when the address now belongs to another upstream.
	WrongUpstream bool
	// Confidence is the model's own estimate of its answer, from 0 to 100, or [NoConfidence].
	Confidence int
	// Load is the upstream's load when it answered; nil if it did not report one.
	Load *Load
	Signals
	Origin
	// Body ends with io.EOF only if the answer is complete, except with EndsWithConnection. Closing
	// it early drops the connection, which makes the upstream stop.
	Body io.ReadCloser
	// EndsWithConnection is set when the body has no framing: it ends with io.EOF also if the
	// upstream breaks off and closes the connection.
	EndsWithConnection bool
}

// FromUpstream reports whether the reply comes from the upstream that was called, and not from
// something else on the path or from another upstream at its address.
func (re *Reply) FromUpstream() bool { return !re.WrongUpstream && (re.Sealed || re.NotRun) }

// UpstreamClient calls upstreams directly, without an agent in between. An error is a *Failure. Its
// Ran is NotRun only if no byte was sent to the upstream, and its Code is then CodeCrashed if
// nothing listens at the address. The end of the context drops the connection.
type UpstreamClient interface {
	Call(ctx context.Context, ca *Call) (*Reply, error)
}

// ConnectionState is what became of an attempt to connect to an upstream.
type ConnectionState int

// The states.
const (
	// ConnectionUnknown: no answer came; the host may be down, or a link.
	ConnectionUnknown ConnectionState = iota
	// ConnectionAccepted: a process listens at the address.
	ConnectionAccepted
	// ConnectionRefused: the host is up and no process listens at the address.
	ConnectionRefused
)

// ConnectionProber is implemented by upstream clients that can tell a crash from a broken connection.
type ConnectionProber interface {
	// ProbeConnection tries to connect to the upstream's address.
	ProbeConnection(ctx context.Context, ho Host) ConnectionState
}

// WarmupProber asks upstreams how long they stay cold. An error is a *Failure.
type WarmupProber interface {
	// WarmupLeft returns 0 for a warm upstream. healthPath is the path of its service's health check.
	WarmupLeft(ctx context.Context, ho Host, healthPath string) (time.Duration, error)
}

// CachedPart is a part of a prompt in an engine's prefix cache for a model.
type CachedPart struct {
	Model ModelID
	Part  Part
}

// PrefixCaches reads the prefix caches of engines. An error is a *Failure. The signals are valid also
// with an error; they are empty if the engine did not answer.
type PrefixCaches interface {
	CachedParts(ctx context.Context, ho Host) ([]CachedPart, Signals, error)
}
