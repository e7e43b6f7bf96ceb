package declaration

import (
	"encoding/json"
	"slices"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"

	"skylarkstand/core"
	"skylarkstand/core/schema"
)

// Document is the complete configuration, as operators write and review it.
type Document struct {
	// Models are the models with their versions and prices.
	Models []Model `json:"models,omitempty"`
	// Services are the plain services, which are not models.
	Services []Service `json:"services,omitempty"`
	// Cascades are ordered lists of models that callers request like one model.
	Cascades []Cascade `json:"cascades,omitempty"`
	// Zones are the availability zones. They must be declared only if a
	// workspace is restricted to regions or a zone is evacuated.
	Zones []AvailabilityZone `json:"zones,omitempty"`
	// Workspaces are the customers, with the models, services and cascades that
	// each may use.
	Workspaces []Workspace `json:"workspaces,omitempty"`
	// RollOuts give new versions a share of new sessions, at most one per model.
	RollOuts []RollOut `json:"roll-outs,omitempty"`
	// Withdrawals stop versions at once: they get no new work, not even from
	// requests that are pinned to them.
	Withdrawals []Withdrawal `json:"withdrawals,omitempty"`
	// AcceptRisks names dangerous but legal changes that are intended, with the
	// reason. They are recorded in the audit trail.
	AcceptRisks []AcceptRisk `json:"accept-risks,omitempty"`
}

// Model is a model with its versions, oldest first.
type Model struct {
	// ID is the name that callers request.
	ID core.ModelID `json:"id"`
	// Versions are the versions that may serve, oldest first.
	Versions []Version `json:"versions"`
	// Stable is the version that new sessions get unless a roll-out applies.
	Stable core.VersionID `json:"stable"`
}

// Version is one version of a model, with its declared quality and prices.
type Version struct {
	// ID is unique within the model.
	ID core.VersionID `json:"id"`
	// Quality is the declared share of good answers, from 0 to 1. It is used
	// until ratings are available.
	Quality core.Quality `json:"quality"`
	// PromptPrice is the price of 1,000 prompt tokens, in thousandths of a cent.
	PromptPrice core.Millicents `json:"prompt-price" jsonschema:"maximum=1000000000"`
	// TokenPrice is the price of 1,000 generated tokens, in thousandths of a cent.
	TokenPrice core.Millicents `json:"token-price" jsonschema:"maximum=1000000000"`
}

// Service is a plain service with its operations.
type Service struct {
	// ID is part of the URL of the service's calls.
	ID core.ServiceID `json:"id"`
	// Operations are the calls that the service accepts.
	Operations []Operation `json:"operations"`
}

// Operation is one kind of call to a plain service.
type Operation struct {
	// ID is part of the URL of the call.
	ID core.OperationID `json:"id"`
	// AtMostOnce marks a call that must not be retried. Its callers send an
	// idempotency key.
	AtMostOnce bool `json:"at-most-once,omitempty"`
	// Price is the price of one call, in thousandths of a cent.
	Price core.Millicents `json:"price,omitempty" jsonschema:"maximum=1000000000"`
}

// Cascade is a list of models ordered from cheap to costly. A request whose
// answer is rated below the workspace's target escalates to the next model.
type Cascade struct {
	// ID is the name that callers request, like a model's.
	ID core.CascadeID `json:"id"`
	// Stages are the models, ordered from cheap to costly.
	Stages []core.ModelID `json:"stages"`
}

// Workspace is a customer, with its keys, permissions, targets and limits.
type Workspace struct {
	// ID identifies the workspace in bills and logs.
	ID core.WorkspaceID `json:"id"`
	// KeyHashes are the SHA-256 digests, in lower-case hex, of the keys that
	// authenticate the workspace.
	KeyHashes []string `json:"key-hashes"`
	// Allow lists the model versions that the workspace's requests may run on.
	Allow []Allow `json:"allow,omitempty"`
	// Services are the plain services that the workspace may call.
	Services []core.ServiceID `json:"services,omitempty"`
	// Cascades are the cascades that the workspace may request.
	Cascades []core.CascadeID `json:"cascades,omitempty"`
	// Regions are the regions in which the workspace's requests may be served.
	// If omitted, all regions are allowed; an empty list is rejected, since it
	// could mean all or none.
	Regions []core.Region `json:"regions,omitempty" jsonschema:"minItems=1"`
	// Share is the workspace's weight when capacity is divided under overload.
	Share int `json:"share" jsonschema:"maximum=1000000"`
	// Quality is the target quality for cascades, from 0 to 1.
	Quality core.Quality `json:"quality"`
	// LatencyPrice is the cost of one second of latency to the workspace, in
	// thousandths of a cent.
	LatencyPrice core.Millicents `json:"latency-price" jsonschema:"maximum=1000000000"`
	// Limit is the maximum number of concurrent requests. If omitted, there is
	// no limit; 0 is rejected, since it could mean no limit or no requests.
	Limit int `json:"limit,omitempty" jsonschema:"minimum=1"`
}

// Allow permits one or several versions of a model.
type Allow struct {
	// Model is the ID of a declared model.
	Model core.ModelID `json:"model"`
	// Versions are the versions that the workspace's requests may run on.
	Versions []core.VersionID `json:"versions"`
}

// RollOut gives a share of new sessions to a version.
type RollOut struct {
	// Model is the ID of a declared model.
	Model core.ModelID `json:"model"`
	// Version is the new version. It must not be the stable one.
	Version core.VersionID `json:"version"`
	// Percent is the share of new sessions that get the version, 1 to 100.
	Percent int `json:"percent"`
	// Halted is the reason why the roll-out guard halted the roll-out. It is set
	// when the measurements are evidence that the version is bad.
	Halted string `json:"halted,omitempty"`
}

// Withdrawal stops a version at once.
type Withdrawal struct {
	// Model is the ID of a declared model.
	Model core.ModelID `json:"model"`
	// Version is the version that gets no new work.
	Version core.VersionID `json:"version"`
	// Reason is recorded in the audit trail and returned to callers whose session
	// moves to another version.
	Reason string `json:"reason"`
}

// AcceptRisk names a risk that the operator accepts.
type AcceptRisk struct {
	// Rule is the rule's name, in brackets at the end of a line that check
	// prints.
	Rule string `json:"rule"`
	// Place is the path at the beginning of that line.
	Place string `json:"place"`
	// Reason is recorded in the audit trail.
	Reason string `json:"reason"`
}

// Load parses a document in JSON with comments and checks it. Breaches of the
// schema and mistakes of content are returned together, as [Mistakes]; a text
// that is not JSON with comments is another error.
func Load(text []byte) (Document, error) {
	doc, mis, err := parse(text)
	if err != nil {
		return doc, err
	}
	// A value of the wrong type is missing from the document. The other rules
	// would only report that it is missing, which does not help.
	if slices.ContainsFunc(mis, func(sf schemaFault) bool { return sf.wrongType }) {
		return doc, mistakesOf(mis).err()
	}
	return doc, append(mistakesOf(mis), doc.resolveRisks(doc.inspect(), false)...).err()
}

// Parse parses a document in JSON with comments without checking its content.
// Unknown fields and other breaches of the schema are returned as [Mistakes].
func Parse(text []byte) (Document, error) {
	doc, mis, err := parse(text)
	if err != nil {
		return doc, err
	}
	return doc, mistakesOf(mis).err()
}

// schemaFault is a breach of the schema. WrongType reports that the value is
// missing from the decoded document.
type schemaFault struct {
	Mistake
	wrongType bool
}

func mistakesOf(list []schemaFault) Mistakes {
	var out Mistakes
	for _, sf := range list {
		out = append(out, sf.Mistake)
	}
	return out
}

func parse(text []byte) (Document, []schemaFault, error) {
	var doc Document
	std, err := hujson.Standardize(text)
	if err != nil {
		return doc, nil, eris.Wrap(err, "parse the document as JSON with comments")
	}
	faults, err := schema.Validate(schema.Configuration, std)
	if err != nil {
		return doc, nil, err
	}
	var mis []schemaFault
	for _, fa := range faults {
		mis = append(mis, schemaFault{Mistake{SchemaRule, fa.Place, fa.Reason, fa.Remedy}, fa.WrongType})
	}
	if err := json.Unmarshal(std, &doc); err != nil && len(mis) == 0 {
		return doc, nil, eris.Wrap(err, "decode the document, which passed its schema")
	}
	return doc, mis, nil
}
