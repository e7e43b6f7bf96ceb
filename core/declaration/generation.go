package declaration

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"skylarkstand/core"
)

// Generation is an accepted document together with its audit record. It is
// one value of the configuration chain.
type Generation struct {
	Number   core.Generation `json:"number"`
	Audit    Audit           `json:"audit"`
	Document Document        `json:"document"`
}

// Audit says who changed the configuration, when and why.
type Audit struct {
	Who  string          `json:"who"`
	When time.Time       `json:"when"`
	Why  string          `json:"why"`
	Base core.Generation `json:"base"`
	// Changed lists what the change touched, as people read it.
	Changed []string `json:"changed,omitempty"`
	// Effects lists what it did to callers.
	Effects []string `json:"effects,omitempty"`
	// Accepted lists the risks that the operator accepted.
	Accepted []AcceptRisk `json:"accepted,omitempty"`
}

// Encode returns the form that is kept in the store and sent over links.
func (gen *Generation) Encode() ([]byte, error) {
	raw, err := json.Marshal(gen)
	if err != nil {
		return nil, eris.Wrap(err, "encode generation")
	}
	if len(raw) > core.MaxValue {
		return nil, eris.Errorf("the configuration has %d bytes, the store holds %d", len(raw), core.MaxValue)
	}
	return raw, nil
}

// Decode reads what Encode wrote.
func Decode(raw []byte) (*Generation, error) {
	gen := new(Generation)
	if err := json.Unmarshal(raw, gen); err != nil {
		return nil, eris.Wrap(err, "decode generation")
	}
	return gen, nil
}
