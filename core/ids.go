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

// CascadeID names a cascade, a list of models ordered from cheap to expensive.
type CascadeID string

// OperationID names one operation of a plain service, such as "stock-hold".
type OperationID string

// UpstreamID names an upstream: one engine or one plain service on one host, reached through the
// agent beside it.
type UpstreamID string

// ProcessID names one incarnation of a process of the system. A restarted process has a new id.
type ProcessID string

// RequestID names a caller's request. All attempts that an entry makes for the request share it,
// and its bill carries it. It does not identify the bill: callers may choose it, and send the same
// id twice. See [skylarkstand/core/ledger.Bill.ID].
type RequestID string

// AttemptID names one attempt to run a request on one upstream. It is never reused, and every frame
// of the attempt echoes it.
type AttemptID string

// SessionID names a caller's session, within its workspace.
type SessionID string

// APIKey is the secret that authenticates a caller as a member of its workspace.
type APIKey string

// Zone is an availability zone.
type Zone string

// Region is a region, which holds several availability zones.
type Region string

// Generation numbers the accepted configurations. Generation 0 means that there is none.
type Generation uint64

// MaxGeneration is the highest generation that a peer may tell.
const MaxGeneration Generation = 1 << 62

// ModelVersion is one version of one model: the unit that a workspace allows, a roll-out introduces
// and a withdrawal stops.
type ModelVersion struct {
	Model   ModelID   `json:"model"`
	Version VersionID `json:"version"`
}

// String returns the form "model@version" used in logs and headers.
func (mv ModelVersion) String() string { return string(mv.Model) + "@" + string(mv.Version) }
