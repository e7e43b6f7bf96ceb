// Package logline writes log lines without ever holding up who logs, and within
// a bound.
//
// A process that waits for whoever reads its output stops serving when that
// one stops reading; one that logs all it is asked to adds to an overload what
// it has left of its processor. Lines go through a bounded ring to one writer.
// Each event has a ceiling a second, and all together have one; the last quarter
// of the ring and of the bound is kept for warnings, so that the requests that
// end badly are told of before those that end well. What is left out is counted
// by event, and the counts are logged once a second.
//
// Times are written as seconds.
//
// # Usage
//
//	lg, cleanup := logline.New(os.Stdout, slog.LevelInfo, slog.String("process", id))
//	defer cleanup()                        // writes what waits
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

// New returns a logger to out whose lines all have the given attributes, and the
// clean-up that writes what waits.
func New(out io.Writer, lv slog.Level, attrs ...slog.Attr) (*slog.Logger, func()) {
	wr := newWriter(out)
	ha := slog.NewJSONHandler(wr, &slog.HandlerOptions{Level: lv, ReplaceAttr: seconds}).WithAttrs(attrs)
	wr.tell = func(left map[string]int) { tell(wr, ha, left) }
	go wr.run()
	return slog.New(&handler{ha, wr}), wr.close
}

// seconds renders durations as seconds, to the microsecond.
func seconds(_ []string, at slog.Attr) slog.Attr {
	if at.Value.Kind() == slog.KindDuration {
		at.Value = slog.Float64Value(math.Round(at.Value.Duration().Seconds()*1e6) / 1e6)
	}
	return at
}

// handler passes on the lines that the writer admits.
type handler struct {
	slog.Handler
	wr *writer
}

// Handle implements slog.Handler.
func (ha *handler) Handle(ctx context.Context, re slog.Record) error {
	if !ha.wr.admit(time.Now(), re.Level, re.Message, event.Ceiling(re.Message)) {
		ha.wr.leave(re.Message, 1)
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

// tell logs how many lines of each event were left out. It is called by the
// writer's own goroutine, so the lines have to find room in the ring: they have
// the last quarter, and what does not fit is counted again.
func tell(wr *writer, ha slog.Handler, left map[string]int) {
	for _, name := range slices.Sorted(maps.Keys(left)) {
		ev, now := event.LogDropped, time.Now()
		if !wr.admit(now, ev.Level, ev.Name, event.Ceiling(ev.Name)) {
			wr.leave(name, left[name])
			continue
		}
		re := slog.NewRecord(now, ev.Level, ev.Name, 0)
		re.Add("event", ev.Number, "of", name, "lines", left[name])
		_ = ha.Handle(context.Background(), re) // The writer returns no error.
	}
}
