package core

import (
	"log/slog"

	"github.com/google/uuid"
	"github.com/uber-go/tally/v4"
)

// Deps holds the dependencies that all components of a process share. It is passed to their
// constructors; there is no package-level state.
type Deps struct {
	// Self is the id of this incarnation of the process.
	Self ProcessID
	// Zone and Region are the location of the process.
	Zone   Zone
	Region Region
	// Log receives the numbered events of package event.
	Log *slog.Logger
	// Metrics is the root scope of the process's metrics.
	Metrics tally.Scope
}

// NewDeps returns a Deps that discards logs and metrics, for tests and short-lived commands.
func NewDeps() Deps {
	return Deps{
		Self:    ProcessID(NewID()),
		Log:     slog.New(slog.DiscardHandler),
		Metrics: tally.NoopScope,
	}
}

// NewID returns a new unique id, ordered by time (UUIDv7), for requests, attempts and processes.
func NewID() string { return uuid.Must(uuid.NewV7()).String() }
