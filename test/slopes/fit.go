package main

import "math"

// point is one measurement: the value counted or used at a size.
type point struct{ size, value float64 }

// fit is a straight line fitted to points by least squares.
type fit struct {
	slope, intercept float64
	// residual is the largest distance of a point from the line.
	residual float64
}

// fitLine returns the least-squares line. With fewer than two different sizes there is no line, and
// all fields of the result are NaN.
func fitLine(pts []point) fit {
	var sx, sy, sxx, sxy, top float64
	for _, pt := range pts {
		sx += pt.size
		sy += pt.value
		sxx += pt.size * pt.size
		sxy += pt.size * pt.value
		top = max(top, math.Abs(pt.value))
	}
	num := float64(len(pts))
	denominator := num*sxx - sx*sx
	if denominator == 0 {
		return fit{math.NaN(), math.NaN(), math.NaN()}
	}
	var fi fit
	fi.slope = (num*sxy - sx*sy) / denominator
	fi.intercept = (sy - fi.slope*sx) / num
	fi.slope, fi.intercept = roundToZero(fi.slope, top), roundToZero(fi.intercept, top)
	for _, pt := range pts {
		fi.residual = max(fi.residual, math.Abs(pt.value-fi.at(pt.size)))
	}
	fi.residual = roundToZero(fi.residual, top)
	return fi
}

// roundToZero returns zero for a value that differs from it only by rounding errors, given the
// largest value that it was computed from.
func roundToZero(val, top float64) float64 {
	const rounding = 1e-9
	if math.Abs(val) <= top*rounding {
		return 0
	}
	return val
}

// at returns the value of the line at a size.
func (fi fit) at(size float64) float64 { return fi.intercept + fi.slope*size }
