package core

// WorkspaceID names a workspace: a customer's share of the system, with its
// own keys, allowed versions and limits.
type WorkspaceID string

// ModelID names a model.
type ModelID string

// ServiceID names a plain service beside the engines.
type ServiceID string

// VersionID names one version of a model. It is unique only within its model.
type VersionID string

// CascadeID names a cascade, an ordered row of models from cheap to costly.
type CascadeID string

// OperationID names one operation of a plain service, such as "stock-hold".
type OperationID string

// UpstreamID names an upstream: one engine or one plain service on one host,
// reached through the agent beside it.
type UpstreamID string

// ProcessID names one incarnation of a process of the system. A restarted
// process has a new one.
type ProcessID string

// RequestID names a caller's request. It stays the same over retries of that
// request by the entry, and is what a bill is filed under.
type RequestID string

// AttemptID names one attempt to run a request on one upstream. It is never
// used twice, and every frame of the attempt echoes it.
type AttemptID string

// SessionID names a caller's session, within its workspace.
type SessionID string

// APIKey is what a caller proves its workspace with.
type APIKey string

// Zone is an availability zone.
type Zone string

// Region holds several availability zones.
type Region string

// Generation numbers the accepted configurations. Generation 0 means that
// none is known.
type Generation uint64

// ModelVersion is one version of one model: the unit that a workspace allows,
// that a roll-out introduces and that a withdrawal stops.
type ModelVersion struct {
	Model   ModelID   `json:"model"`
	Version VersionID `json:"version"`
}

// String returns the form "model@version" used in logs and headers.
func (mv ModelVersion) String() string { return string(mv.Model) + "@" + string(mv.Version) }
