// Package logline writes log lines at a bounded rate, without ever blocking the code that logs.
//
// A process that waits for the reader of its output stops serving when that reader stops reading. A
// process that writes every line makes an overload worse by spending the rest of its processor time
// on logging. Lines therefore go through a bounded buffer to a single writer goroutine. Each event
// has a limit on lines per second, and so have all events together. The last quarter of the buffer
// and of the total limit is reserved for warnings, so that failed requests are logged in preference
// to successful ones; a few events have a last part for themselves (see [event.Reserved]). Dropped
// lines are counted by event, and the counts are logged once a second.
//
// Durations are written in seconds.
//
// # Usage
//
//	lg, cleanup := logline.New(os.Stdout, slog.LevelInfo, slog.String("process", id))
//	defer cleanup()                        // writes the buffered lines
package logline

import (
	"context"
	"io"
	"log/slog"
	"maps"
	"math"
	"slices"
	"time"

	"skylarkstand/core/event"
)

// New returns a logger that writes to out and adds the given attributes to all lines, and a cleanup
// function that writes the buffered lines.
func New(out io.Writer, lv slog.Level, attrs ...slog.Attr) (*slog.Logger, func()) {
	wr := newWriter(out)
	ha := slog.NewJSONHandler(wr, &slog.HandlerOptions{Level: lv, ReplaceAttr: seconds}).WithAttrs(attrs)
	wr.logDropped = func(dropped map[string]int) { logDropped(wr, ha, dropped) }
	go wr.run()
	return slog.New(&handler{ha, wr}), wr.close
}

// seconds converts durations to seconds, rounded to the microsecond.
func seconds(_ []string, at slog.Attr) slog.Attr {
	if at.Value.Kind() == slog.KindDuration {
		at.Value = slog.Float64Value(math.Round(at.Value.Duration().Seconds()*1e6) / 1e6)
	}
	return at
}

// handler forwards the lines that the writer admits.
type handler struct {
	slog.Handler
	wr *writer
}

// Handle implements slog.Handler.
func (ha *handler) Handle(ctx context.Context, re slog.Record) error {
	if !ha.wr.admit(time.Now(), re.Level, re.Message, event.MaxLinesPerSecond(re.Message)) {
		ha.wr.countDropped(re.Message, 1)
		return nil
	}
	return ha.Handler.Handle(ctx, re)
}

// WithAttrs implements slog.Handler.
func (ha *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{ha.Handler.WithAttrs(attrs), ha.wr}
}

// WithGroup implements slog.Handler.
func (ha *handler) WithGroup(name string) slog.Handler {
	return &handler{ha.Handler.WithGroup(name), ha.wr}
}

// logDropped logs how many lines of each event were dropped. It runs on the writer's own goroutine
// and must not block on a full buffer: its lines use the last quarter of the buffer, and the counts
// of lines that do not fit are added to the next report.
func logDropped(wr *writer, ha slog.Handler, dropped map[string]int) {
	for _, name := range slices.Sorted(maps.Keys(dropped)) {
		ev, now := event.LogDropped, time.Now()
		if !wr.admit(now, ev.Level, ev.Name, event.MaxLinesPerSecond(ev.Name)) {
			wr.countDropped(name, dropped[name])
			continue
		}
		re := slog.NewRecord(now, ev.Level, ev.Name, 0)
		re.Add("event", ev.Number, "of", name, "lines", dropped[name])
		_ = ha.Handle(context.Background(), re) // The writer returns no error.
	}
}
