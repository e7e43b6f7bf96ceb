// Package meter is the catalogue of the metrics. Every counter, gauge and
// histogram of a process has an entry, so that operators can look it up in
// docs/METRICS.md, which is generated from this catalogue.
//
// # Usage
//
//	meter.StoreCalls.Inc(deps.Metrics, "watch", "ok")     // the values of its labels
//	meter.StoreCallTime.Record(deps.Metrics, took, "watch")
package meter

import (
	"fmt"
	"strings"
	"time"

	"github.com/uber-go/tally/v4"
)

// Kind is what a meter measures.
type Kind string

// The kinds.
const (
	Counter   Kind = "counter"
	Gauge     Kind = "gauge"
	Histogram Kind = "histogram"
)

// Meter is one entry of the catalogue.
type Meter struct {
	// Name is in kebab case and ends with the unit, unless it counts. The page
	// shows it with underscores behind "skylarkstand_".
	Name   string
	Kind   Kind
	Labels []string
	// Meaning says what is measured; Alarm when somebody should look, empty is
	// never.
	Meaning string
	Alarm   string
}

// latencies are the bounds of the histograms: doubling from a millisecond to a
// minute.
var latencies = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 17)

// Inc counts one.
func (me *Meter) Inc(scope tally.Scope, vals ...string) { me.Add(scope, 1, vals...) }

// Add counts several.
func (me *Meter) Add(scope tally.Scope, n int64, vals ...string) {
	me.in(scope, vals).Counter(me.Name).Inc(n)
}

// Set sets a gauge.
func (me *Meter) Set(scope tally.Scope, val float64, vals ...string) {
	me.in(scope, vals).Gauge(me.Name).Update(val)
}

// Record takes a time into a histogram.
func (me *Meter) Record(scope tally.Scope, took time.Duration, vals ...string) {
	me.Histogram(scope, vals...).RecordDuration(took)
}

// Histogram returns a histogram for those who record often.
func (me *Meter) Histogram(scope tally.Scope, vals ...string) tally.Histogram {
	return me.in(scope, vals).Histogram(me.Name, latencies)
}

// in returns the scope of the labels' values. A wrong number of them is a mistake
// of the caller's code, which any test of it meets.
func (me *Meter) in(scope tally.Scope, vals []string) tally.Scope {
	if len(vals) != len(me.Labels) {
		panic(fmt.Sprintf("meter: %s has the labels %v, not %d", me.Name, me.Labels, len(vals)))
	}
	if len(vals) == 0 {
		return scope
	}
	tags := make(map[string]string, len(vals))
	for i, name := range me.Labels {
		tags[name] = vals[i]
	}
	return scope.Tagged(tags)
}

// Reference renders the catalogue as docs/METRICS.md.
func Reference() string {
	var sb strings.Builder
	sb.WriteString("# Metrics\n\nGenerated from `core/meter` by `skylarkstand reference metrics`. A name on the page of\na process is `skylarkstand_` and the name below with underscores, a histogram's with\n`_bucket`, `_sum` and `_count`; all have the label `role`.\n\n")
	sb.WriteString("| name | kind | labels | what is measured | look into it when |\n| --- | --- | --- | --- | --- |\n")
	for _, me := range Catalogue() {
		fmt.Fprintf(&sb, "| `%s` | %s | %s | %s | %s |\n", me.Name, me.Kind, strings.Join(me.Labels, ", "), me.Meaning, me.Alarm)
	}
	return sb.String()
}
