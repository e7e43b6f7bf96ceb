// Package load generates load on entries from a mix of requests, as many
// independent callers would, and reports the outcome of each request.
//
// The load is open-loop: requests are sent at their scheduled times whether or
// not earlier ones have completed, and latency counts from the time at which a
// request was due. A closed loop would slow down with the system and hide its
// worst latencies. Each caller behaves as a real client: it keeps its session,
// sends a deadline, retries a failed request under the same id and key, and
// honors Retry-After.
//
// # Usage
//
//	mix, err := load.ParseMix(raw)
//	rep := load.New(mix).Run(ctx)
//	rep.Print(os.Stdout)
//	err = rep.WriteCSV(file)
package load

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"

	"skylarkstand/app/settings"
	"skylarkstand/core"
	"skylarkstand/core/schema"
)

// Mix describes the load: which requests are sent, at what rate and for how long.
type Mix struct {
	// Entries are the base URLs of the entries; requests are sent to them round-robin.
	Entries []string `json:"entries" jsonschema:"minItems=1"`
	// Rate is the average number of requests that are due per second.
	Rate float64 `json:"rate" jsonschema:"exclusiveMinimum=0"`
	// Duration is the length of time in which requests are due.
	Duration settings.Duration `json:"duration"`
	// Seed seeds the generator of the times and the order of requests.
	Seed uint64 `json:"seed,omitempty"`
	// Retries is the maximum number of retries per request.
	Retries int `json:"retries,omitempty" jsonschema:"minimum=0"`
	// MaxInFlight bounds the requests in flight. Requests that are due beyond it
	// are not sent, but counted: the machine that generates the load is
	// overloaded then.
	MaxInFlight int `json:"max-in-flight,omitempty" jsonschema:"minimum=1"`
	// Requests are the kinds of requests in the mix.
	Requests []Request `json:"requests" jsonschema:"minItems=1"`
}

// Request is one kind of request of a mix: a chat request, which names a
// model, or a call of a plain service.
type Request struct {
	// Name is the name of the kind in the report.
	Name string `json:"name"`
	// Weight is the kind's share of the requests, relative to the other weights.
	Weight float64 `json:"weight" jsonschema:"exclusiveMinimum=0"`
	// Key is the API key of the workspace.
	Key string `json:"key"`
	// Model is the model or cascade of a chat request.
	Model string `json:"model,omitempty"`
	// Stream requests a streamed response.
	Stream bool `json:"stream,omitempty"`
	// PromptWords is the length of the prompt in words.
	PromptWords int `json:"prompt-words,omitempty" jsonschema:"minimum=1"`
	// Service is the plain service whose operation is called.
	Service core.ServiceID `json:"service,omitempty"`
	// Operation is the operation of the service.
	Operation core.OperationID `json:"operation,omitempty"`
	// Deadline is how long the caller waits, over all attempts.
	Deadline settings.Duration `json:"deadline"`
	// Sessions is the number of sessions that the requests belong to; without it
	// each request has its own.
	Sessions int `json:"sessions,omitempty" jsonschema:"minimum=1"`
}

// DefaultMix returns the defaults for fields that a mix file leaves out.
func DefaultMix() Mix { return Mix{Seed: 1, Retries: 3, MaxInFlight: 2048} }

// ErrMix is wrapped by every error of [ParseMix].
var ErrMix = eris.New("invalid mix")

// ParseMix parses a mix from JSON with comments. One error lists all invalid fields.
func ParseMix(text []byte) (Mix, error) {
	mix := DefaultMix()
	std, err := hujson.Standardize(text)
	if err != nil {
		return mix, fmt.Errorf("%w: not valid JSON with comments: %w", ErrMix, err)
	}
	faults, err := schema.Validate(schema.Load, std)
	if err != nil {
		return mix, fmt.Errorf("%w: %w", ErrMix, err)
	}
	var lines []string
	for _, fa := range faults {
		lines = append(lines, fa.String())
	}
	if err := json.Unmarshal(std, &mix); err != nil && len(lines) == 0 {
		return mix, fmt.Errorf("%w: %w", ErrMix, err)
	}
	if len(lines) == 0 {
		lines = mix.validate()
	}
	if len(lines) > 0 {
		return mix, fmt.Errorf("%w\n%s", ErrMix, strings.Join(lines, "\n"))
	}
	return mix, nil
}

// validate returns a line for each error that the schema does not cover.
func (mix *Mix) validate() []string {
	var out []string
	for i, rq := range mix.Requests {
		switch {
		case (rq.Model == "") == (rq.Service == ""):
			out = append(out, fmt.Sprintf("requests[%d]: set exactly one of model and service", i))
		case rq.Service != "" && rq.Operation == "":
			out = append(out, fmt.Sprintf("requests[%d].operation: is missing; set an operation of service %s", i, rq.Service))
		}
		if rq.Deadline <= 0 {
			out = append(out, fmt.Sprintf("requests[%d].deadline: must be greater than 0; set a duration such as \"2s\"", i))
		}
	}
	return out
}
