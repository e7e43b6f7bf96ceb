package suspect

import (
	"slices"

	"skylarkstand/core"
)

// Traits identify what a request may have in common with others that crash upstreams: its whole content,
// and each part of its prompt but for the last one, which belongs to the request or its session alone.
type Traits []Fingerprint

// maxParts bounds the parts of a prompt that are compared.
const maxParts = 16

// partBit is set in the fingerprints of parts, and in no other.
const partBit Fingerprint = 1 << 63

// TraitsOfExchange returns the traits of an exchange of a workspace that goes to a service. A part crashes
// the upstreams of a service whoever sends it.
func TraitsOfExchange(ws core.WorkspaceID, sv core.ServiceID, ex *core.Exchange) Traits {
	tr := Traits{FingerprintOfExchange(ws, ex) &^ partBit}
	for _, pa := range ex.Parts[:min(max(len(ex.Parts)-1, 0), maxParts)] {
		if fp := newFingerprint(nil, string(sv), pa.ID) | partBit; !slices.Contains(tr, fp) {
			tr = append(tr, fp)
		}
	}
	return tr
}

// Whole returns the fingerprint of the whole content.
func (tr Traits) Whole() Fingerprint { return tr[0] }

// IsPart reports whether the fingerprint is of a part of prompts.
func (fp Fingerprint) IsPart() bool { return fp&partBit != 0 }
