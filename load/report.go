package load

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"

	"skylarkstand/core"
)

// Result is the result of one request over all its attempts.
type Result struct {
	Arrival
	Outcome  Outcome
	Code     core.Code
	Attempts int
	// FirstByte and Total count from the time at which the request was due.
	FirstByte, Total time.Duration
	Version          string
}

// Report holds the results of a run of a mix.
type Report struct {
	Results []Result
	// Elapsed is the time from the start until the last request ended.
	Elapsed time.Duration

	kinds []kindReport
}

// kindReport aggregates one kind of request. It records the latencies of complete responses only.
type kindReport struct {
	name         string
	outcomes     map[Outcome]int
	attempts     int
	first, total *hdrhistogram.Histogram
}

const (
	// maxLatency bounds the histograms; a larger latency is recorded as this one.
	maxLatency = time.Hour
	// significantDigits is the precision of the histograms.
	significantDigits = 3
)

func newReport(mix Mix) *Report {
	rep := &Report{}
	for _, rq := range mix.Requests {
		rep.kinds = append(rep.kinds, kindReport{
			name: rq.Name, outcomes: map[Outcome]int{},
			first: hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits), total: hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits),
		})
	}
	return rep
}

func (rep *Report) add(re Result) {
	rep.Results = append(rep.Results, re)
	kr := &rep.kinds[re.Kind]
	kr.outcomes[re.Outcome]++
	kr.attempts += re.Attempts
	if re.Outcome == Complete {
		// RecordValue fails only for a value out of range, which clampMicros prevents.
		_ = kr.first.RecordValue(clampMicros(re.FirstByte))
		_ = kr.total.RecordValue(clampMicros(re.Total))
	}
}

func clampMicros(d time.Duration) int64 {
	return max(1, min(d, maxLatency).Microseconds())
}

// Count returns the number of requests with an outcome.
func (rep *Report) Count(oc Outcome) int {
	n := 0
	for _, kr := range rep.kinds {
		n += kr.outcomes[oc]
	}
	return n
}

var percentiles = []float64{50, 90, 99, 99.9, 100}

// Print writes the report as text.
func (rep *Report) Print(wr io.Writer) {
	fmt.Fprintf(wr, "%d requests in %s, %.1f whole answers a second\n", len(rep.Results), rep.Elapsed.Round(time.Millisecond), float64(rep.Count(Complete))/rep.Elapsed.Seconds())
	fmt.Fprintf(wr, "\n%-16s", "outcome")
	for _, oc := range AllOutcomes() {
		fmt.Fprintf(wr, "%9s", oc)
	}
	fmt.Fprintf(wr, "%9s\n", "tries")
	for _, kr := range rep.kinds {
		fmt.Fprintf(wr, "%-16s", kr.name)
		for _, oc := range AllOutcomes() {
			fmt.Fprintf(wr, "%9d", kr.outcomes[oc])
		}
		fmt.Fprintf(wr, "%9d\n", kr.attempts)
	}
	fmt.Fprintf(wr, "\n%-24s", "whole answers, ms")
	for _, pc := range percentiles {
		fmt.Fprintf(wr, "%10s", "p"+strconv.FormatFloat(pc, 'f', -1, 64))
	}
	fmt.Fprintln(wr)
	for _, kr := range rep.kinds {
		kr.printLatency(wr, "first byte", kr.first)
		kr.printLatency(wr, "total", kr.total)
	}
}

func (kr *kindReport) printLatency(wr io.Writer, what string, hg *hdrhistogram.Histogram) {
	if hg.TotalCount() == 0 {
		return
	}
	fmt.Fprintf(wr, "%-24s", kr.name+" "+what)
	for _, pc := range percentiles {
		fmt.Fprintf(wr, "%10.2f", float64(hg.ValueAtQuantile(pc))/1000)
	}
	fmt.Fprintln(wr)
}

// Columns of a report's CSV that load/chart reads.
const (
	ColumnDue     = "due-ms"
	ColumnName    = "name"
	ColumnOutcome = "outcome"
	ColumnTotal   = "total-ms"
)

// WriteCSV writes one line per request, in the order in which the requests ended.
func (rep *Report) WriteCSV(wr io.Writer) error {
	cw := csv.NewWriter(wr)
	_ = cw.Write([]string{ColumnDue, ColumnName, "session", ColumnOutcome, "code", "tries", "first-ms", ColumnTotal, "version"})
	for _, re := range rep.Results {
		_ = cw.Write([]string{
			millis(re.Due), rep.kinds[re.Kind].name, strconv.Itoa(re.Session), string(re.Outcome), string(re.Code),
			strconv.Itoa(re.Attempts), millis(re.FirstByte), millis(re.Total), re.Version,
		})
	}
	cw.Flush()
	return eris.Wrap(cw.Error(), "write CSV")
}

func millis(d time.Duration) string {
	return strconv.FormatFloat(float64(d.Microseconds())/1000, 'f', 3, 64)
}
