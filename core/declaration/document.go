package declaration

import (
	"bytes"
	"encoding/json"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"

	"skylarkstand/core"
)

// Document is the whole configuration, as operators write and review it.
type Document struct {
	Models     []Model     `json:"models,omitempty"`
	Services   []Service   `json:"services,omitempty"`
	Cascades   []Cascade   `json:"cascades,omitempty"`
	Workspaces []Workspace `json:"workspaces,omitempty"`
	RollOuts   []RollOut   `json:"roll-outs,omitempty"`
	// Withdrawals stop versions at once: they get no new work, pins included.
	Withdrawals []Withdrawal `json:"withdrawals,omitempty"`
	// AcceptRisks names dangerous but legal changes that are meant, with the
	// reason. The audit trail keeps them.
	AcceptRisks []AcceptRisk `json:"accept-risks,omitempty"`
}

// Model is a model with its versions, the oldest first.
type Model struct {
	ID       core.ModelID `json:"id"`
	Versions []Version    `json:"versions"`
	// Stable is the version that new sessions get outside a roll-out.
	Stable core.VersionID `json:"stable"`
}

// Version is one version of a model, with what it costs and what it promises.
type Version struct {
	ID core.VersionID `json:"id"`
	// Quality is the declared share of good answers, used until ratings say
	// otherwise.
	Quality core.Quality `json:"quality"`
	// PromptPrice and TokenPrice are per 1,000 tokens.
	PromptPrice core.Millicents `json:"prompt-price"`
	TokenPrice  core.Millicents `json:"token-price"`
}

// Service is a plain service with its operations.
type Service struct {
	ID         core.ServiceID `json:"id"`
	Operations []Operation    `json:"operations"`
}

// Operation is one call of a plain service.
type Operation struct {
	ID core.OperationID `json:"id"`
	// AtMostOnce marks a call that may not be repeated. Its callers send an
	// idempotency key.
	AtMostOnce bool            `json:"at-most-once,omitempty"`
	Price      core.Millicents `json:"price,omitempty"`
}

// Cascade is a row of models from cheap to costly. An answer that is rated
// below the workspace's target goes on to the next.
type Cascade struct {
	ID     core.CascadeID `json:"id"`
	Stages []core.ModelID `json:"stages"`
}

// Workspace is a customer's share of the system.
type Workspace struct {
	ID core.WorkspaceID `json:"id"`
	// KeyHashes are the SHA-256 digests, in hex, of the keys that open it.
	KeyHashes []string `json:"key-hashes"`
	// Allow lists what the workspace's requests may run on.
	Allow    []Allow          `json:"allow,omitempty"`
	Services []core.ServiceID `json:"services,omitempty"`
	Cascades []core.CascadeID `json:"cascades,omitempty"`
	// Share is the weight of the workspace when there is too much work.
	Share int `json:"share"`
	// Quality is the target for cascades, from 0 to 1.
	Quality core.Quality `json:"quality"`
	// LatencyPrice is what a second of waiting is worth to the workspace.
	LatencyPrice core.Millicents `json:"latency-price"`
	// Limit bounds the requests that may be in the system at once; 0 is none.
	Limit int `json:"limit,omitempty"`
}

// Allow permits versions of a model. Several versions may be listed.
type Allow struct {
	Model    core.ModelID     `json:"model"`
	Versions []core.VersionID `json:"versions"`
}

// RollOut gives a share of new sessions to a version.
type RollOut struct {
	Model   core.ModelID   `json:"model"`
	Version core.VersionID `json:"version"`
	// Percent of new sessions, 1 to 100.
	Percent int `json:"percent"`
	// Halted is set by the guard when the evidence speaks against the version.
	Halted string `json:"halted,omitempty"`
}

// Withdrawal stops a version.
type Withdrawal struct {
	Model   core.ModelID   `json:"model"`
	Version core.VersionID `json:"version"`
	Reason  string         `json:"reason"`
}

// AcceptRisk names a warning that the operator means to accept.
type AcceptRisk struct {
	Rule   string `json:"rule"`
	Place  string `json:"place"`
	Reason string `json:"reason"`
}

// Parse reads a document in JSON with comments. Unknown fields are refused.
func Parse(text []byte) (Document, error) {
	var doc Document
	std, err := hujson.Standardize(text)
	if err != nil {
		return doc, eris.Wrap(err, "the document is not JSON with comments")
	}
	dec := json.NewDecoder(bytes.NewReader(std))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&doc); err != nil {
		return doc, eris.Wrap(err, "the document does not match its schema")
	}
	return doc, nil
}
