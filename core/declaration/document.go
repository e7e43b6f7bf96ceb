package declaration

import (
	"encoding/json"
	"slices"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"

	"skylarkstand/core"
	"skylarkstand/core/schema"
)

// Document is the whole configuration, as operators write and review it.
type Document struct {
	// Models are the models with their versions and prices.
	Models []Model `json:"models,omitempty"`
	// Services are the plain services beside the models.
	Services []Service `json:"services,omitempty"`
	// Cascades are rows of models that callers name like one model.
	Cascades []Cascade `json:"cascades,omitempty"`
	// Zones are the availability zones. They need to be declared only where a
	// workspace is bound to regions or a zone is evacuated.
	Zones []AvailabilityZone `json:"zones,omitempty"`
	// Workspaces are the customers, with what each may use.
	Workspaces []Workspace `json:"workspaces,omitempty"`
	// RollOuts give new versions a share of new sessions, one a model.
	RollOuts []RollOut `json:"roll-outs,omitempty"`
	// Withdrawals stop versions at once: they get no new work, pins included.
	Withdrawals []Withdrawal `json:"withdrawals,omitempty"`
	// AcceptRisks names dangerous but legal changes that are meant, with the
	// reason. The audit trail keeps them.
	AcceptRisks []AcceptRisk `json:"accept-risks,omitempty"`
}

// Model is a model with its versions, the oldest first.
type Model struct {
	// ID is what callers ask for.
	ID core.ModelID `json:"id"`
	// Versions are those that may serve, the oldest first.
	Versions []Version `json:"versions"`
	// Stable is the version that new sessions get outside a roll-out.
	Stable core.VersionID `json:"stable"`
}

// Version is one version of a model, with what it costs and what it promises.
type Version struct {
	// ID is unique within the model.
	ID core.VersionID `json:"id"`
	// Quality is the declared share of good answers, from 0 to 1, used until
	// ratings say otherwise.
	Quality core.Quality `json:"quality"`
	// PromptPrice is for 1,000 tokens of the prompt, in thousandths of a cent.
	PromptPrice core.Millicents `json:"prompt-price"`
	// TokenPrice is for 1,000 generated tokens, in thousandths of a cent.
	TokenPrice core.Millicents `json:"token-price"`
}

// Service is a plain service with its operations.
type Service struct {
	// ID stands in the URL of its calls.
	ID core.ServiceID `json:"id"`
	// Operations are the calls that it takes.
	Operations []Operation `json:"operations"`
}

// Operation is one call of a plain service.
type Operation struct {
	// ID stands in the URL of the call.
	ID core.OperationID `json:"id"`
	// AtMostOnce marks a call that may not be repeated. Its callers send an
	// idempotency key.
	AtMostOnce bool `json:"at-most-once,omitempty"`
	// Price is for one call, in thousandths of a cent.
	Price core.Millicents `json:"price,omitempty"`
}

// Cascade is a row of models from cheap to costly. An answer that is rated
// below the workspace's target goes on to the next.
type Cascade struct {
	// ID is what callers ask for, like a model's.
	ID core.CascadeID `json:"id"`
	// Stages are the models, from cheap to costly.
	Stages []core.ModelID `json:"stages"`
}

// Workspace is a customer's share of the system.
type Workspace struct {
	// ID stands in bills and logs.
	ID core.WorkspaceID `json:"id"`
	// KeyHashes are the SHA-256 digests, in hex, of the keys that open it.
	KeyHashes []string `json:"key-hashes"`
	// Allow lists what the workspace's requests may run on.
	Allow []Allow `json:"allow,omitempty"`
	// Services are the plain services that it may call.
	Services []core.ServiceID `json:"services,omitempty"`
	// Cascades are those that it may ask for.
	Cascades []core.CascadeID `json:"cascades,omitempty"`
	// Regions are those that its requests may be served in; all, if left out.
	Regions []core.Region `json:"regions,omitempty"`
	// Share is the weight of the workspace when there is too much work.
	Share int `json:"share"`
	// Quality is the target for cascades, from 0 to 1.
	Quality core.Quality `json:"quality"`
	// LatencyPrice is what a second of waiting is worth to the workspace, in
	// thousandths of a cent.
	LatencyPrice core.Millicents `json:"latency-price"`
	// Limit bounds the requests that may be in the system at once. Left out,
	// there is none; 0 is refused, since it may mean either.
	Limit int `json:"limit,omitempty" jsonschema:"minimum=1"`
}

// Allow permits versions of a model. Several versions may be listed.
type Allow struct {
	// Model is a declared one.
	Model core.ModelID `json:"model"`
	// Versions of it that the workspace's requests may run on.
	Versions []core.VersionID `json:"versions"`
}

// RollOut gives a share of new sessions to a version.
type RollOut struct {
	// Model is a declared one.
	Model core.ModelID `json:"model"`
	// Version is the new one, not the stable one.
	Version core.VersionID `json:"version"`
	// Percent of new sessions, 1 to 100.
	Percent int `json:"percent"`
	// Halted is set by the guard when the evidence speaks against the version.
	Halted string `json:"halted,omitempty"`
}

// Withdrawal stops a version.
type Withdrawal struct {
	// Model is a declared one.
	Model core.ModelID `json:"model"`
	// Version gets no new work from now on.
	Version core.VersionID `json:"version"`
	// Reason is for the audit trail and for callers whose session moves.
	Reason string `json:"reason"`
}

// AcceptRisk names a warning that the operator means to accept.
type AcceptRisk struct {
	// Rule is the name in brackets at the end of check's line.
	Rule string `json:"rule"`
	// Place is the beginning of check's line.
	Place string `json:"place"`
	// Reason is for the audit trail.
	Reason string `json:"reason"`
}

// Load reads a document in JSON with comments and checks it. Mistakes of form
// and of content are returned together, as [Mistakes].
func Load(text []byte) (Document, error) {
	doc, mis, err := parse(text)
	if err != nil {
		return doc, err
	}
	// A value of the wrong type was left out of the document: what the other
	// rules would say of the gap is no help.
	if slices.ContainsFunc(mis, func(mi misread) bool { return mi.shape }) {
		return doc, collect(mis).err()
	}
	return doc, append(collect(mis), doc.settle(doc.find(), false)...).err()
}

// Parse reads a document in JSON with comments without checking its content.
// Unknown fields and other breaches of the schema are [Mistakes].
func Parse(text []byte) (Document, error) {
	doc, mis, err := parse(text)
	if err != nil {
		return doc, err
	}
	return doc, collect(mis).err()
}

type misread struct {
	Mistake
	shape bool
}

func collect(list []misread) Mistakes {
	var out Mistakes
	for _, mi := range list {
		out = append(out, mi.Mistake)
	}
	return out
}

func parse(text []byte) (Document, []misread, error) {
	var doc Document
	std, err := hujson.Standardize(text)
	if err != nil {
		return doc, nil, eris.Wrap(err, "the document is not JSON with comments")
	}
	faults, err := schema.Validate(schema.Configuration, std)
	if err != nil {
		return doc, nil, err
	}
	var mis []misread
	for _, fa := range faults {
		mis = append(mis, misread{Mistake{SchemaRule, fa.Place, fa.Reason, fa.Remedy}, fa.Shape})
	}
	if err := json.Unmarshal(std, &doc); err != nil && len(mis) == 0 {
		return doc, nil, eris.Wrap(err, "the document does not match its schema")
	}
	return doc, mis, nil
}
