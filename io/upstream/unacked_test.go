package upstream

import (
	"testing"

	"gotest.tools/v3/assert"

	"skylarkstand/core/retry"
)

// Guards against a kernel that repeats the packets of an attempt for longer than the retry budget counts it.
func TestPacketsAreNotRepeatedBeyondTheTransitTime(t *testing.T) {
	assert.Assert(t, unackedTimeout < retry.TransitTime)
}
