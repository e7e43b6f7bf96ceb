package main

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a wrong standard error: the table decides whether a mechanism is kept, so a chance
// difference must not appear significant.
func TestCompareReturnsMeanAndStandardError(t *testing.T) {
	diff, stdErr := compare([]float64{0.7, 0.6, 0.5}, []float64{0.6, 0.6, 0.3})
	assert.Assert(t, math.Abs(diff+0.1) < 1e-9, "%v", diff)
	assert.Assert(t, math.Abs(stdErr-0.1/math.Sqrt(3)) < 1e-9, "%v", stdErr)
	diff, stdErr = compare([]float64{0.7}, []float64{0.7})
	assert.Equal(t, diff, 0.0)
	assert.Equal(t, stdErr, 0.0)
}
