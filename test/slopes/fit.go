package main

import "math"

// point is one measurement: what was counted or used at a size.
type point struct{ size, value float64 }

// fit is a straight line through points by least squares.
type fit struct {
	slope, intercept float64
	// residual is the largest distance of a point from the line.
	residual float64
}

// fitLine returns the line of least squares. With fewer than two sizes there
// is no line, and the fit says so by NaN.
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
	spread := num*sxx - sx*sx
	if spread == 0 {
		return fit{math.NaN(), math.NaN(), math.NaN()}
	}
	var fi fit
	fi.slope = (num*sxy - sx*sy) / spread
	fi.intercept = (sy - fi.slope*sx) / num
	fi.slope, fi.intercept = clean(fi.slope, top), clean(fi.intercept, top)
	for _, pt := range pts {
		fi.residual = max(fi.residual, math.Abs(pt.value-fi.at(pt.size)))
	}
	fi.residual = clean(fi.residual, top)
	return fi
}

// clean turns what rounding left of a zero into zero.
func clean(val, top float64) float64 {
	const rounding = 1e-9
	if math.Abs(val) <= top*rounding {
		return 0
	}
	return val
}

func (fi fit) at(size float64) float64 { return fi.intercept + fi.slope*size }
