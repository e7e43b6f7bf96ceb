package declaration

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"skylarkstand/core"
)

// Generation is an accepted document with its audit record. It is one entry of
// the configuration's chain in the store.
type Generation struct {
	Number   core.Generation `json:"number"`
	Audit    Audit           `json:"audit"`
	Document Document        `json:"document"`
}

// Audit records who changed the configuration, when and why.
type Audit struct {
	Who  string          `json:"who"`
	When time.Time       `json:"when"`
	Why  string          `json:"why"`
	Base core.Generation `json:"base"`
	// Changed lists the differences from the previous document, see [Diff].
	Changed []string `json:"changed,omitempty"`
	// Effects lists the effects on callers, see [Effects].
	Effects []string `json:"effects,omitempty"`
	// Accepted lists the risks that the operator accepted.
	Accepted []AcceptRisk `json:"accepted,omitempty"`
}

// Encode returns the generation as JSON, the form that is stored and sent to
// peers. It is an error if it is larger than [core.MaxValue] bytes.
func (gen *Generation) Encode() ([]byte, error) {
	raw, err := json.Marshal(gen)
	if err != nil {
		return nil, eris.Wrap(err, "encode generation")
	}
	if len(raw) > core.MaxValue {
		return nil, eris.Errorf("the encoded configuration has %d bytes, more than the store's maximum of %d; shorten the document", len(raw), core.MaxValue)
	}
	return raw, nil
}

// Decode parses the output of Encode.
func Decode(raw []byte) (*Generation, error) {
	gen := new(Generation)
	if err := json.Unmarshal(raw, gen); err != nil {
		return nil, eris.Wrap(err, "decode generation")
	}
	return gen, nil
}
