package declaration_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/declaration"
)

func encode(t *testing.T, number core.Generation, why string) []byte {
	t.Helper()
	gen := declaration.Generation{Number: number, Audit: declaration.Audit{Why: why}}
	raw, err := gen.Encode()
	assert.NilError(t, err)
	return raw
}

// Links deliver generations late and doubled. Were a late one adopted, a
// version that an operator has just withdrawn would serve again, and the
// operator would see the withdrawal come undone.
func TestAdoptNeverGoesBack(t *testing.T) {
	inf := declaration.NewInForce()
	for _, step := range []struct {
		number  core.Generation
		adopted bool
		after   core.Generation
	}{{2, true, 2}, {1, false, 2}, {2, false, 2}, {5, true, 5}, {4, false, 5}} {
		got, err := inf.Adopt(encode(t, step.number, "test"))
		assert.NilError(t, err)
		assert.Equal(t, got, step.adopted)
		assert.Equal(t, inf.Number(), step.after)
	}
}
