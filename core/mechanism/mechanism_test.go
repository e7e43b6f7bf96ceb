package mechanism_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"skylarkstand/core/mechanism"
)

// An operator disables a mechanism with a misspelt name. If the name were ignored, both sides of a
// comparison would have the mechanism enabled, unnoticed.
func TestMisspeltMechanismIsRejected(t *testing.T) {
	for _, na := range mechanism.All() {
		off, err := mechanism.Parse([]string{string(na)})
		assert.NilError(t, err)
		for _, other := range mechanism.All() {
			assert.Equal(t, off.Has(other), other == na)
		}
	}
	_, err := mechanism.Parse([]string{"gate", "hog"})
	assert.ErrorContains(t, err, `no mechanism "hog"`)
	assert.ErrorContains(t, err, "hog-part")
	off, err := mechanism.Parse(nil)
	assert.NilError(t, err)
	assert.Assert(t, !off.Has(mechanism.AdmissionControl))
}
