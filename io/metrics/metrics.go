// Package metrics exposes tally scopes on an HTTP page in the Prometheus format.
//
// # Usage
//
//	scope, page, cleanup := metrics.New("entry")
//	mux.Handle("/metrics", page)
package metrics

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

const flushInterval = time.Second

// New returns the root scope of a process, the page that exposes it, and a cleanup function that
// closes the scope.
func New(role string) (tally.Scope, http.Handler, func()) {
	reg := prometheus.NewRegistry()
	// These collectors cost nothing until the page is requested.
	reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	rep := tallyprom.NewReporter(tallyprom.Options{Registerer: reg, Gatherer: reg})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "skylarkstand", Tags: map[string]string{"role": role},
		CachedReporter: rep, Separator: tallyprom.DefaultSeparator, SanitizeOptions: &tallyprom.DefaultSanitizerOpts,
	}, flushInterval)
	return scope, rep.HTTPHandler(), func() { _ = closer.Close() }
}
