// Package sample maps what a decision is about to a number from 0 to 1, the same at every process, so that
// processes select the same share of the sessions without communication.
//
// Each decision has a purpose, and names all that it is about. Two decisions that shared a number would not be
// independent: a service that receives the upper half of the sessions would never receive one of the lowest tenth.
//
// # Usage
//
//	selected := sample.Fraction(sample.RollOut, service, version, session) < share
package sample

import "github.com/cespare/xxhash/v2"

// Purpose is what a decision is for.
type Purpose string

// The purposes. A new decision gets a new one.
const (
	// Split chooses among the services of a route that is split between them.
	Split Purpose = "split"
	// RollOut chooses between the old and the new version of a service.
	RollOut Purpose = "roll-out"
	// ModelRollOut chooses between the stable version of a model and the one under roll-out.
	ModelRollOut Purpose = "model-roll-out"
)

// Fraction returns a number from 0 to 1 (exclusive) for a purpose and the ids that the decision is about.
func Fraction[S ~string](pu Purpose, ids ...S) float64 {
	var dig xxhash.Digest
	dig.Reset()
	_, _ = dig.WriteString(string(pu))
	for _, id := range ids {
		_, _ = dig.WriteString("\x00")
		_, _ = dig.WriteString(string(id))
	}
	return float64(dig.Sum64()>>11) / (1 << 53)
}
