package core

import (
	"context"
	"time"
)

// Role is the kind of process that runs on a listed host.
type Role string

// The roles in the platform's host list.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Host is one line of the platform's host list. The list lags: a listed host may no longer exist,
// and one that is leaving may still be listed as live.
type Host struct {
	Role    Role       `json:"role"`
	Addr    string     `json:"addr"`
	Zone    Zone       `json:"zone"`
	Region  Region     `json:"region"`
	Leaving bool       `json:"leaving,omitempty"`
	ID      UpstreamID `json:"id,omitempty"`
	// Model and Version are set for an agent beside a model engine, Service for one beside a plain
	// service.
	Model   ModelID   `json:"model,omitempty"`
	Version VersionID `json:"version,omitempty"`
	Service ServiceID `json:"service,omitempty"`
	// Slots is how many calls an upstream runs concurrently; 0 means unknown.
	Slots int `json:"slots,omitempty"`
	// StartedAt is when this incarnation of an upstream started, in milliseconds since 1970 by its
	// own clock. A later incarnation may reuse the id.
	StartedAt int64 `json:"born,omitempty"`
	// Warming is how much longer an upstream is slow after its start and can take only few requests,
	// counted from when the line was written; 0 means warm. See [WarmingUnknown].
	Warming time.Duration `json:"warming,omitempty"`
}

// WarmingUnknown is the warming of an upstream that does not report it.
const WarmingUnknown = -time.Nanosecond

// ModelVersion returns the model version that an engine's host serves.
func (ho Host) ModelVersion() ModelVersion { return ModelVersion{Model: ho.Model, Version: ho.Version} }

// Hosts is the platform's list of live and leaving hosts.
type Hosts interface {
	List(ctx context.Context) ([]Host, error)
}

// Rater is the platform's service that rates answers. Its ratings may be late or unavailable; the
// caller of Rate bounds the wait by its context.
type Rater interface {
	// Rate returns the quality of an answer to a prompt, from 0 to 1.
	Rate(ctx context.Context, mv ModelVersion, prompt, answer []byte) (Quality, error)
}
