// Chart plots the CSV of `skylarkstand load` as an SVG: the median and the
// 99th percentile latency of complete responses over the time at which their
// requests were due. It is a separate program because the plotting library
// loads its fonts at start, which would cost each agent about four megabytes.
//
// # Usage
//
//	skylarkstand load mix.jsonc --csv run.csv
//	go run ./load/chart <run.csv >run.svg
package main

import (
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"skylarkstand/load"
)

const (
	// maxSlices bounds the slices of time on the chart; more would be unreadable.
	maxSlices = 120
	// minSlice is the smallest width of a slice in seconds; a smaller one has too
	// few responses for a percentile.
	minSlice = 1.0
	// tailQuantile is plotted beside the median.
	tailQuantile = 0.99

	width  = 24 * vg.Centimeter
	height = 12 * vg.Centimeter
)

func main() {
	if err := draw(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		os.Exit(1)
	}
}

// series holds the complete responses of one kind of request.
type series struct {
	name      string
	responses []plotter.XY
}

func draw(rd io.Reader, wr io.Writer) error {
	list, err := read(rd)
	if err != nil {
		return err
	}
	pl := plot.New()
	pl.Title.Text = "Whole answers, by the time at which their requests were due"
	pl.X.Label.Text, pl.Y.Label.Text = "seconds", "ms"
	pl.Y.Min = 0
	pl.Legend.Top = true
	slice := sliceWidth(list)
	for i, se := range list {
		median, tail := se.lines(slice)
		for j, pts := range []plotter.XYs{median, tail} {
			ln, err := plotter.NewLine(pts)
			if err != nil {
				return eris.Wrapf(err, "plot series %q", se.name)
			}
			ln.Color, ln.Dashes = plotutil.Color(i), plotutil.Dashes(j)
			pl.Add(ln)
			pl.Legend.Add(se.name+[]string{" p50", " p99"}[j], ln)
		}
	}
	to, err := pl.WriterTo(width, height, "svg")
	if err != nil {
		return eris.Wrap(err, "render chart as SVG")
	}
	_, err = to.WriteTo(wr)
	return eris.Wrap(err, "write chart")
}

// read returns the complete responses in a CSV by kind, with times in seconds and
// latencies in milliseconds.
func read(rd io.Reader) ([]series, error) {
	rows, err := csv.NewReader(rd).ReadAll()
	if err != nil {
		return nil, eris.Wrap(err, "the input is not the CSV of skylarkstand load")
	}
	if len(rows) == 0 {
		return nil, eris.New("the input is empty; pass the CSV of skylarkstand load on standard input")
	}
	due, name := slices.Index(rows[0], load.ColumnDue), slices.Index(rows[0], load.ColumnName)
	outcome, total := slices.Index(rows[0], load.ColumnOutcome), slices.Index(rows[0], load.ColumnTotal)
	if min(due, name, outcome, total) < 0 {
		return nil, eris.New("the input is not the CSV of skylarkstand load: columns are missing")
	}
	var out []series
	for _, row := range rows[1:] {
		if row[outcome] != string(load.Complete) {
			continue
		}
		at, err := strconv.ParseFloat(row[due], 64)
		if err != nil {
			return nil, eris.Wrapf(err, "parse column %s", load.ColumnDue)
		}
		took, err := strconv.ParseFloat(row[total], 64)
		if err != nil {
			return nil, eris.Wrapf(err, "parse column %s", load.ColumnTotal)
		}
		i := slices.IndexFunc(out, func(se series) bool { return se.name == row[name] })
		if i < 0 {
			i = len(out)
			out = append(out, series{name: row[name]})
		}
		out[i].responses = append(out[i].responses, plotter.XY{X: at / 1000, Y: took})
	}
	return out, nil
}

// sliceWidth returns the width of a slice in seconds.
func sliceWidth(list []series) float64 {
	var last float64
	for _, se := range list {
		for _, xy := range se.responses {
			last = max(last, xy.X)
		}
	}
	return max(minSlice, last/maxSlices)
}

// lines returns the median and the tail latencies, with one point per slice of time.
func (se series) lines(slice float64) (median, tail plotter.XYs) {
	buckets := map[int][]float64{}
	for _, xy := range se.responses {
		buckets[int(xy.X/slice)] = append(buckets[int(xy.X/slice)], xy.Y)
	}
	for i := range maxSlices + 1 {
		all := buckets[i]
		if len(all) == 0 {
			continue
		}
		slices.Sort(all)
		at := float64(i) * slice
		median = append(median, plotter.XY{X: at, Y: all[len(all)/2]})
		tail = append(tail, plotter.XY{X: at, Y: all[int(tailQuantile*float64(len(all)-1))]})
	}
	return median, tail
}
