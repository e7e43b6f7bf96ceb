package core

import "time"

// Attempt is one try of a request at one upstream, as an entry sends it to an agent.
type Attempt struct {
	ID        AttemptID
	Request   RequestID
	Workspace WorkspaceID
	// Generation is the configuration that the entry applied. An agent with an older one adopts it
	// before it checks the attempt.
	Generation Generation
	// Target is the model version to run on, for model engines.
	Target ModelVersion
	// Service and Operation are set for plain services.
	Service   ServiceID
	Operation OperationID
	// IdempotencyKey is set for operations that run at most once.
	IdempotencyKey string
	// Deadline is the time that the caller still waits; zero means no deadline.
	Deadline time.Duration
	// Priority is the rank of the work; the highest runs first.
	Priority int
	Stream   bool
	// Exclusive makes the upstream run nothing else at the same time. It is set for a request that
	// is suspected of crashing upstreams.
	Exclusive bool
	Body      []byte
}

// Usage counts the tokens that an answer consumed.
type Usage struct {
	Prompt    Tokens `json:"prompt-tokens"`
	Generated Tokens `json:"generated-tokens"`
}

// Load is an agent's load report of its upstream, piggybacked on frames. It lags behind the
// upstream's current load.
type Load struct {
	Running int
	Queued  int
	Slots   int
	// Slowdown is how long work takes on the upstream's host at this moment, as a multiple of the usual
	// time; 0 if it is not reported.
	Slowdown float64
}

// Answer receives an attempt's answer chunk by chunk. The answer is complete only once Next has
// returned io.EOF; any other error is a [Failure] and ends it.
type Answer interface {
	// Next returns the next chunk. Its bytes are valid until the next call of Next.
	Next() ([]byte, error)
	// Usage is valid once Next has returned io.EOF.
	Usage() Usage
	// Status and ContentType describe a plain service's answer.
	Status() int
	ContentType() string
	// ReplayOf returns the attempt whose stored answer was replayed, once Next has returned io.EOF;
	// it is empty if this attempt produced the answer. A replay is not billed again.
	ReplayOf() AttemptID
	// Close abandons the attempt and sends a cancellation to the upstream.
	Close()
}
