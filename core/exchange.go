package core

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Repeat says how often the work of a request may run.
type Repeat int

// The three answers. The zero value is the safe one.
const (
	// AtMostOnce work must not run again once it may have run.
	AtMostOnce Repeat = iota
	// Idempotent work may run again from its beginning.
	Idempotent
	// Resumable work is a stream that may go on elsewhere after the last event
	// that its caller has.
	Resumable
)

// Repeatable reports whether the work may run more than once.
func (re Repeat) Repeatable() bool { return re != AtMostOnce }

// Part is one part of a prompt. Upstreams keep what they have read of it, as
// long as all parts before it are the same.
type Part struct {
	ID     string
	Tokens Tokens
}

// Exchange is a caller's request that is passed on to an upstream as it is:
// method, target, headers and body unchanged.
type Exchange struct {
	// ID is the caller's, one for each time it sends a request. The upstream
	// echoes it, so that an answer can be told from another's.
	ID RequestID
	// Host and Path select the route. Target is the path with its query,
	// byte for byte as it came.
	Host, Path, Target, Method string
	// Header holds the headers to pass on. What concerns one connection, or is
	// the system's to set, is taken out.
	Header http.Header
	Body   []byte
	// Key is the caller's API key. It is never passed on.
	Key APIKey
	// Arrived is when the request was read, Deadline how long the caller waits
	// from then; zero is for ever.
	Arrived  time.Time
	Deadline time.Duration
	// Session joins requests that want to stay on one version; empty is none.
	Session SessionID
	// AnyModel says that the system chooses the model, by the route's cascade.
	AnyModel bool
	// Prompt and Output are the caller's count of its prompt and the most that
	// may be generated. Both are 0 for plain services.
	Prompt, Output Tokens
	Parts          []Part
	// Resume is the id of the last event that the caller has of an earlier
	// answer; empty at a beginning.
	Resume string
}

// Call is one attempt of an exchange at one upstream.
type Call struct {
	*Exchange
	To        Host
	Workspace WorkspaceID
	// Model is the model that the system has chosen, or empty.
	Model ModelID
	// Left is the time that the upstream has; 0 is no bound.
	Left time.Duration
	// Priority is the rank of the work; 0 goes first.
	Priority int
	// After is the id of the last event that the caller has; empty for all.
	After string
	// Connections bounds those to the upstream; 0 is no bound.
	Connections int
}

// NoConfidence is a reply's confidence when it says none.
const NoConfidence = -1

// Reply is an upstream's answer to a call.
type Reply struct {
	Status int
	// Header holds what the caller gets.
	Header http.Header
	// Sealed says that the answer carries an upstream's proof of origin. A
	// success without it is not the upstream's answer.
	Sealed bool
	// NotRun says that the upstream vouches that it did not run the call.
	NotRun bool
	// Stranger says that the address belongs to another upstream by now.
	Stranger bool
	// Confidence is the model's own opinion of its answer, from 0 to 100, or
	// [NoConfidence].
	Confidence int
	// Load is the upstream's load as it answered; nil when it does not say.
	Load *Load
	// Body ends with io.EOF only when the answer is whole. Closing it early
	// drops the connection, which makes the upstream stop.
	Body io.ReadCloser
}

// Access calls upstreams without an agent between. An error is a *Failure; its
// Ran is NotRun only when no byte went to the upstream, with CodeCrashed when
// nobody listens there. The context's end drops the connection.
type Access interface {
	Call(ctx context.Context, ca *Call) (*Reply, error)
}

// Held is a part of a prompt that an engine keeps in memory for a model.
type Held struct {
	Model ModelID
	Part  Part
}

// Memory tells what engines keep of prompts. An error is a *Failure.
type Memory interface {
	Held(ctx context.Context, ho Host) ([]Held, error)
}
