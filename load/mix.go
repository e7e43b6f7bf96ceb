// Package load drives entries with a described mix of requests, as many
// independent callers would, and tells what became of each.
//
// The loop is open: requests leave at their times whether or not earlier ones
// came back, and latency counts from the time at which a request was due. A
// closed loop would slow down with the system and hide its worst moments. Each
// caller behaves as a real client: it keeps its session, gives a deadline,
// sends a failed request again under the same id and key, and waits for as
// long as Retry-After says.
//
// # Usage
//
//	mix, err := load.ParseMix(raw)
//	rep, err := load.New(mix).Run(ctx)
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

// Mix describes the load.
type Mix struct {
	// Entries are the base URLs of the entries; requests go to them in turn.
	Entries []string `json:"entries" jsonschema:"minItems=1"`
	// Rate is how many requests fall due in a second, on average.
	Rate float64 `json:"rate" jsonschema:"exclusiveMinimum=0"`
	// Duration is how long requests fall due.
	Duration settings.Duration `json:"duration"`
	// Seed fixes the times and the order of requests.
	Seed uint64 `json:"seed,omitempty"`
	// Retries is how often a request may be sent again.
	Retries int `json:"retries,omitempty" jsonschema:"minimum=0"`
	// MaxInFlight bounds the requests in flight. Those that fall due beyond it
	// are not sent, and counted: the machine that drives is overloaded then.
	MaxInFlight int `json:"max-in-flight,omitempty" jsonschema:"minimum=1"`
	// Requests are the kinds of requests.
	Requests []Request `json:"requests" jsonschema:"minItems=1"`
}

// Request is one kind of request of a mix: a chat request, which names a
// model, or a call of a plain service.
type Request struct {
	// Name stands in the report.
	Name string `json:"name"`
	// Weight is the kind's share of the requests.
	Weight float64 `json:"weight" jsonschema:"exclusiveMinimum=0"`
	// Key is the workspace's key.
	Key string `json:"key"`
	// Model is a model or cascade, for a chat request.
	Model string `json:"model,omitempty"`
	// Stream asks for a streamed answer.
	Stream bool `json:"stream,omitempty"`
	// PromptWords is the length of the prompt.
	PromptWords int `json:"prompt-words,omitempty" jsonschema:"minimum=1"`
	// Service is a plain service, for a call of its operation.
	Service core.ServiceID `json:"service,omitempty"`
	// Operation of the service.
	Operation core.OperationID `json:"operation,omitempty"`
	// Deadline is how long the caller waits, all tries together.
	Deadline settings.Duration `json:"deadline"`
	// Sessions is how many sessions the requests belong to; without it each
	// request has its own.
	Sessions int `json:"sessions,omitempty" jsonschema:"minimum=1"`
}

// DefaultMix returns a mix before the file is read.
func DefaultMix() Mix { return Mix{Seed: 1, Retries: 3, MaxInFlight: 2048} }

// ErrMix is wrapped by the errors of a mix.
var ErrMix = eris.New("the mix is refused")

// ParseMix reads a mix in JSON with comments. All faults are reported at once.
func ParseMix(text []byte) (Mix, error) {
	mix := DefaultMix()
	std, err := hujson.Standardize(text)
	if err != nil {
		return mix, fmt.Errorf("%w: no JSON with comments: %w", ErrMix, err)
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
		lines = mix.faults()
	}
	if len(lines) > 0 {
		return mix, fmt.Errorf("%w\n%s", ErrMix, strings.Join(lines, "\n"))
	}
	return mix, nil
}

func (mix *Mix) faults() []string {
	var out []string
	for i, rq := range mix.Requests {
		switch {
		case (rq.Model == "") == (rq.Service == ""):
			out = append(out, fmt.Sprintf("requests[%d]: exactly one of model and service must be set; remove or add one", i))
		case rq.Service != "" && rq.Operation == "":
			out = append(out, fmt.Sprintf("requests[%d].operation: is missing; name the operation of %s", i, rq.Service))
		}
		if rq.Deadline <= 0 {
			out = append(out, fmt.Sprintf("requests[%d].deadline: must be more than nothing; give a time such as \"2s\"", i))
		}
	}
	return out
}
