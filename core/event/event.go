// Package event is the catalogue of numbered log events. Every log line of a
// process has one, so that operators can look it up in docs/EVENTS.md, which
// is generated from this catalogue.
//
// # Usage
//
//	event.Log(deps.Log, event.UpstreamLeaving, "upstream", id)
package event

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
)

// Event is one entry of the catalogue.
type Event struct {
	// Number is unique and never given to another event.
	Number int
	Name   string
	Level  slog.Level
	// Meaning says what happened; Action what an operator should do.
	Meaning string
	Action  string
}

const (
	// requestCeiling is the lines a second that one event of requests may have
	// in a process: some five times what the busiest entry has in its heaviest
	// second, 60 requests with an attempt each.
	requestCeiling = 300
	// beliefCeiling is that of the others. A process that starts hears of all
	// upstreams at once; what matters of them is in the metrics.
	beliefCeiling = 100
	// firstOfRequests is the least number of an event of requests.
	firstOfRequests = 500
)

// Ceiling returns how many lines a second an event may have in a process. One
// that is not in the catalogue has that of beliefs.
func Ceiling(name string) int {
	if ev := byName[name]; ev != nil && ev.Number >= firstOfRequests {
		return requestCeiling
	}
	return beliefCeiling
}

var byName = func() map[string]*Event {
	out := map[string]*Event{}
	for _, ev := range Catalogue() {
		out[ev.Name] = ev
	}
	return out
}()

// Log writes an event with its attributes.
func Log(lg *slog.Logger, ev *Event, attrs ...any) {
	lg.Log(context.Background(), ev.Level, ev.Name, append([]any{"event", ev.Number}, attrs...)...)
}

// Reference renders the catalogue as docs/EVENTS.md.
func Reference() string {
	var sb strings.Builder
	sb.WriteString("# Log events\n\nGenerated from `core/event` by `skylarkstand reference events`. Of an event no more\nthan its lines a second are written by a process; `log-dropped` counts the others.\n\n")
	sb.WriteString("| number | name | level | lines a second | what happened | what to do |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, ev := range Catalogue() {
		fmt.Fprintf(&sb, "| %d | `%s` | %s | %d | %s | %s |\n", ev.Number, ev.Name, strings.ToLower(ev.Level.String()), Ceiling(ev.Name), ev.Meaning, ev.Action)
	}
	return sb.String()
}
