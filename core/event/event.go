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

// Log writes an event with its attributes.
func Log(lg *slog.Logger, ev *Event, attrs ...any) {
	lg.Log(context.Background(), ev.Level, ev.Name, append([]any{"event", ev.Number}, attrs...)...)
}

// Reference renders the catalogue as docs/EVENTS.md.
func Reference() string {
	var sb strings.Builder
	sb.WriteString("# Log events\n\nGenerated from `core/event` by `skylarkstand reference events`.\n\n")
	sb.WriteString("| number | name | level | what happened | what to do |\n| --- | --- | --- | --- | --- |\n")
	for _, ev := range Catalogue() {
		fmt.Fprintf(&sb, "| %d | `%s` | %s | %s | %s |\n", ev.Number, ev.Name, strings.ToLower(ev.Level.String()), ev.Meaning, ev.Action)
	}
	return sb.String()
}
