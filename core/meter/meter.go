// Package meter is the catalogue of metrics. Every counter, gauge and histogram of a process
// has an entry here, and docs/METRICS.md, where operators look it up, is generated from this
// catalogue.
//
// # Usage
//
//	meter.Exchanges.Inc(deps.Metrics, "answered")     // followed by the label values
//	meter.StoreCallTime.Record(deps.Metrics, took, "watch", "ok")
package meter

import (
	"fmt"
	"strings"
	"time"

	"github.com/uber-go/tally/v4"
)

// Kind is the type of a metric.
type Kind string

// The kinds.
const (
	Counter   Kind = "counter"
	Gauge     Kind = "gauge"
	Histogram Kind = "histogram"
)

// Metric is one metric of the catalogue.
type Metric struct {
	// Name is in kebab case and ends with the unit, except for plain counts. The metrics
	// endpoint exposes it with underscores and the prefix "skylarkstand_".
	Name   string
	Kind   Kind
	Labels []string
	// Description describes what is measured.
	Description string
	// Alarm is the condition that operators should investigate, or empty.
	Alarm string
}

// latencyBuckets are the bucket bounds of all histograms, doubling from a millisecond to a
// minute.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 17)

// Inc increments a counter by one.
func (me *Metric) Inc(scope tally.Scope, vals ...string) { me.Add(scope, 1, vals...) }

// Add increments a counter by n.
func (me *Metric) Add(scope tally.Scope, n int64, vals ...string) {
	me.tagged(scope, vals).Counter(me.Name).Inc(n)
}

// Set sets a gauge.
func (me *Metric) Set(scope tally.Scope, val float64, vals ...string) {
	me.tagged(scope, vals).Gauge(me.Name).Update(val)
}

// Record records a duration in a histogram.
func (me *Metric) Record(scope tally.Scope, took time.Duration, vals ...string) {
	me.Histogram(scope, vals...).RecordDuration(took)
}

// Histogram returns the histogram for frequent recording without repeated label lookup.
func (me *Metric) Histogram(scope tally.Scope, vals ...string) tally.Histogram {
	return me.tagged(scope, vals).Histogram(me.Name, latencyBuckets)
}

// tagged returns the scope with the label values. It panics if their number is wrong, which
// is a programming error that any test of the calling code reveals.
func (me *Metric) tagged(scope tally.Scope, vals []string) tally.Scope {
	if len(vals) != len(me.Labels) {
		panic(fmt.Sprintf("meter: metric %s needs a value for each of the labels %v, got %d values", me.Name, me.Labels, len(vals)))
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
	sb.WriteString("# Metrics\n\nGenerated from `core/meter` by `skylarkstand reference metrics`. A process exposes\neach metric as `skylarkstand_` followed by the name below with underscores, histograms with\nthe suffixes `_bucket`, `_sum` and `_count`. All metrics have the label `role`.\n\n")
	sb.WriteString("| name | kind | labels | description | investigate when |\n| --- | --- | --- | --- | --- |\n")
	for _, me := range Catalogue() {
		fmt.Fprintf(&sb, "| `%s` | %s | %s | %s | %s |\n", me.Name, me.Kind, strings.Join(me.Labels, ", "), me.Description, me.Alarm)
	}
	return sb.String()
}
