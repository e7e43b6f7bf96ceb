// Package event is the catalogue of numbered log events. Every log line of a process has one, so
// that operators can look it up in docs/EVENTS.md, which is generated from this catalogue.
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
	// Number is unique and never reused for another event.
	Number int
	Name   string
	Level  slog.Level
	// Description describes what happened, Action what an operator should do.
	Description string
	Action      string
}

const (
	// requestLineLimit is the maximum number of lines per second that a process writes of one
	// request event. It is about five times what the busiest entry writes in its heaviest second:
	// 60 requests with one attempt each.
	requestLineLimit = 300
	// defaultLineLimit is the same limit for each of the other events. A process that starts
	// receives the state of all upstreams at once and may exceed it; the metrics still show that
	// state.
	defaultLineLimit = 100
	// firstRequestEvent is the lowest number of a request event.
	firstRequestEvent = 500
)

// MaxLinesPerSecond returns the maximum number of lines per second that a process writes of an
// event. An event that is not in the catalogue has the limit of an event that does not concern
// requests.
func MaxLinesPerSecond(name string) int {
	if ev := byName[name]; ev != nil && ev.Number >= firstRequestEvent {
		return requestLineLimit
	}
	return defaultLineLimit
}

// Reserved reports whether lines of an event have a share of the log of their own, since each is the only trace
// of what it tells.
func Reserved(name string) bool { return name == ExchangeResent.Name || name == BillLost.Name }

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
	sb.WriteString("# Log events\n\nGenerated from `core/event` by `skylarkstand reference events`. A process writes\nat most the given number of lines a second of each event; `log-dropped` counts the\ndropped lines.\n\n")
	sb.WriteString("| number | name | level | lines a second | what happened | what to do |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, ev := range Catalogue() {
		fmt.Fprintf(&sb, "| %d | `%s` | %s | %d | %s | %s |\n", ev.Number, ev.Name, strings.ToLower(ev.Level.String()), MaxLinesPerSecond(ev.Name), ev.Description, ev.Action)
	}
	return sb.String()
}
