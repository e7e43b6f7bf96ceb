package core

import "time"

// Attempt is one try of a request on one upstream, as an entry hands it to an
// agent.
type Attempt struct {
	ID        AttemptID
	Request   RequestID
	Workspace WorkspaceID
	// Generation is the configuration that the entry decided by. An agent
	// that is behind adopts it before it checks the attempt.
	Generation Generation
	// Target is the model version to run on, for model engines.
	Target ModelVersion
	// Service and Operation are set for plain services.
	Service   ServiceID
	Operation OperationID
	// IdempotencyKey is set for operations that run at most once.
	IdempotencyKey string
	// Deadline is the time left to the caller; zero means none.
	Deadline time.Duration
	// Priority of the work; higher goes first.
	Priority int
	Stream   bool
	// Solo makes the upstream run nothing else meanwhile, for a request that
	// is suspected to crash upstreams.
	Solo bool
	Body []byte
}

// Usage is what an answer consumed.
type Usage struct {
	Prompt    Tokens `json:"prompt-tokens"`
	Generated Tokens `json:"generated-tokens"`
}

// Load is an agent's report of its upstream, piggybacked on frames. It lags.
type Load struct {
	Running int
	Queued  int
	Slots   int
}

// Answer receives an attempt's answer piece by piece. A Stream is whole only
// when Next has returned io.EOF; any other error ends it as a [Failure].
type Answer interface {
	// Next returns the next piece. Its bytes are valid until the next call.
	Next() ([]byte, error)
	// Usage is set once Next has returned io.EOF.
	Usage() Usage
	// Status and ContentType describe a plain service's answer.
	Status() int
	ContentType() string
	// ReplayOf names the attempt whose stored answer this is, once Next has
	// returned io.EOF; it is empty for an answer of its own. A replay is not
	// charged again.
	ReplayOf() AttemptID
	// Close gives the attempt up; the upstream is told to cancel.
	Close()
}
