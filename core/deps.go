package core

import (
	"log/slog"

	"github.com/google/uuid"
	"github.com/uber-go/tally/v4"
)

// Deps is what every part of a process needs. It is handed down at
// construction; there is no package-level state.
type Deps struct {
	// Self is the id of this incarnation of the process.
	Self ProcessID
	// Zone and Region say where the process stands.
	Zone   Zone
	Region Region
	// Log takes numbered events, see package event.
	Log *slog.Logger
	// Metrics is the root of the process's metrics.
	Metrics tally.Scope
}

// NewDeps returns a Deps that logs nowhere and counts nothing, for tests and
// for short commands.
func NewDeps() Deps {
	return Deps{
		Self:    ProcessID(NewID()),
		Log:     slog.New(slog.DiscardHandler),
		Metrics: tally.NoopScope,
	}
}

// NewID returns a fresh unique id, ordered by time (UUIDv7), for requests,
// attempts and processes.
func NewID() string { return uuid.Must(uuid.NewV7()).String() }
