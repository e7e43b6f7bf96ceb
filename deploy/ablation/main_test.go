package main

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

// Whoever reads the table decides by it whether a mechanism stays. A difference
// that is chance must not look like one that is not.
func TestCompare(t *testing.T) {
	diff, spread := compare([]float64{0.7, 0.6, 0.5}, []float64{0.6, 0.6, 0.3})
	assert.Assert(t, math.Abs(diff+0.1) < 1e-9, "%v", diff)
	assert.Assert(t, math.Abs(spread-0.1/math.Sqrt(3)) < 1e-9, "%v", spread)
	diff, spread = compare([]float64{0.7}, []float64{0.7})
	assert.Equal(t, diff, 0.0)
	assert.Equal(t, spread, 0.0)
}
