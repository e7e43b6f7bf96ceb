package main

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestFitLine(t *testing.T) {
	scenarios := []struct {
		testName                   string
		points                     []point
		slope, intercept, residual float64
	}{
		{"points on a line", []point{{10, 25}, {50, 105}, {200, 405}}, 2, 5, 0},
		{"values independent of the size", []point{{2, 0.4}, {6, 0.4}, {12, 0.4}}, 0, 0.4, 0},
		{"the residual is the distance of the worst point", []point{{0, 0}, {1, 3}, {2, 0}}, 0, 1, 2},
		{"falling values have a negative slope", []point{{1, 9}, {2, 6}, {3, 3}}, -3, 12, 0},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			fi := fitLine(sc.points)
			assertNear(t, fi.slope, sc.slope)
			assertNear(t, fi.intercept, sc.intercept)
			assertNear(t, fi.residual, sc.residual)
		})
	}
}

func assertNear(t *testing.T, got, want float64) {
	t.Helper()
	assert.Assert(t, math.Abs(got-want) <= 1e-9*max(1, math.Abs(want)), "got %g, want %g", got, want)
}

func TestFitNeedsTwoSizes(t *testing.T) {
	assert.Assert(t, math.IsNaN(fitLine([]point{{5, 1}, {5, 2}}).slope))
	assert.Assert(t, math.IsNaN(fitLine(nil).slope))
}

// No other line has a smaller sum of squared residuals than the fitted one.
func TestFitIsLeastSquares(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		val := rapid.Float64Range(-100, 100)
		var pts []point
		for i := range rapid.IntRange(2, 8).Draw(rt, "count") {
			pts = append(pts, point{float64(i * i), val.Draw(rt, "value")})
		}
		fi := fitLine(pts)
		other := fi
		other.slope += rapid.Float64Range(-1, 1).Draw(rt, "tilt")
		other.intercept += rapid.Float64Range(-1, 1).Draw(rt, "shift")
		assert.Assert(rt, sumOfSquares(fi, pts) <= sumOfSquares(other, pts)+1e-6)
	})
}

func sumOfSquares(fi fit, pts []point) (sum float64) {
	for _, pt := range pts {
		off := pt.value - fi.at(pt.size)
		sum += off * off
	}
	return sum
}
