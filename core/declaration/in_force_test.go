package declaration_test

import (
	"testing"
	"time"

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

// Links deliver generations late and duplicated. If a late one were adopted, a
// version that an operator has just withdrawn would serve again.
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

// Forty links announce a new generation at once. The process must request the body
// from one of them, and from another if the first does not respond in time.
func TestBodyIsRequestedOnce(t *testing.T) {
	inf, now := declaration.NewInForce(), time.Unix(0, 0)
	assert.Assert(t, inf.ShouldFetch(3, now))
	assert.Assert(t, !inf.ShouldFetch(3, now.Add(time.Millisecond)))
	assert.Assert(t, !inf.ShouldFetch(2, now.Add(time.Millisecond)))
	assert.Assert(t, inf.ShouldFetch(4, now.Add(time.Millisecond)))
	assert.Assert(t, inf.ShouldFetch(4, now.Add(2*time.Second)))
	_, err := inf.Adopt(encode(t, 4, "test"))
	assert.NilError(t, err)
	assert.Assert(t, !inf.ShouldFetch(4, now.Add(time.Hour)))
}
