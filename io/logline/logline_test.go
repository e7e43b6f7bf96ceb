package logline_test

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core/event"
	"skylarkstand/io/logline"
)

// stalledOutput blocks every write until it is released, and records what was written.
type stalledOutput struct {
	release chan struct{}
	buf     bytes.Buffer
}

func newStalledOutput() *stalledOutput { return &stalledOutput{release: make(chan struct{})} }

func (so *stalledOutput) Write(p []byte) (int, error) {
	<-so.release
	return so.buf.Write(p)
}

// line holds the fields of a log line that the tests check.
type line struct {
	Msg     string  `json:"msg"`
	Process string  `json:"process"`
	Of      string  `json:"of"`
	Lines   int     `json:"lines"`
	Took    float64 `json:"took"`
}

// read counts the written lines and the reported dropped lines by event.
func read(t *testing.T, raw []byte) (lines []line, written, dropped map[string]int) {
	t.Helper()
	written, dropped = map[string]int{}, map[string]int{}
	for row := range bytes.Lines(raw) {
		var li line
		assert.NilError(t, json.Unmarshal(row, &li))
		assert.Equal(t, li.Process, "p1")
		lines = append(lines, li)
		written[li.Msg]++
		dropped[li.Of] += li.Lines
	}
	return lines, written, dropped
}

func logAll(lg *slog.Logger, ev *event.Event, n int) {
	for range n {
		event.Log(lg, ev, "request", "r1", "took", 1500*time.Microsecond)
	}
}

// The collector of the log stops reading the pipe. If logging blocked, all requests of the entry
// would hang at their next log line. Instead, lines are dropped and counted, and no call of the
// logger blocks.
func TestLoggerDoesNotBlockOnAStalledPipe(t *testing.T) {
	rd, wr, err := os.Pipe()
	assert.NilError(t, err)
	defer rd.Close()
	lg, cleanup := logline.New(wr, slog.LevelInfo, slog.String("process", "p1"))
	for _, ev := range event.Catalogue() {
		logAll(lg, ev, 1000) // 50 times what the pipe holds.
	}
	rd.Close() // Makes the stalled write fail, so that the cleanup can end.
	cleanup()
	wr.Close()
}

// A burst of requests arrives while the reader of the log hangs for a moment. Each line must either
// be written or be counted as dropped under its event. Otherwise, an engineer who searches for a
// request cannot find out whether its lines may be missing.
func TestEachLineIsWrittenOrCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		so := newStalledOutput()
		lg, cleanup := logline.New(so, slog.LevelInfo, slog.String("process", "p1"))
		for range 10 {
			logAll(lg, event.ExchangeEnded, 400)
			logAll(lg, event.ExchangeFailed, 100)
			time.Sleep(300 * time.Millisecond)
		}
		close(so.release)
		time.Sleep(3 * time.Second)
		cleanup()
		lines, written, dropped := read(t, so.buf.Bytes())
		assert.Equal(t, written["exchange-ended"]+dropped["exchange-ended"], 4000)
		assert.Equal(t, written["exchange-failed"]+dropped["exchange-failed"], 1000)
		assert.Assert(t, dropped["exchange-ended"] > 0)
		assert.Equal(t, lines[0].Took, 0.0015, "durations must be in seconds")
	})
}

// One event floods the log, as when an upstream changes its state with each request. The event must
// stay within its limit, and the lines of other events must still be written.
func TestEventStaysWithinItsLineLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var buf bytes.Buffer
		lg, cleanup := logline.New(&buf, slog.LevelInfo, slog.String("process", "p1"))
		for range 20 { // One second.
			logAll(lg, event.UpstreamAvoided, 50)
			logAll(lg, event.ExchangeFailed, 2)
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		cleanup()
		_, written, dropped := read(t, buf.Bytes())
		assert.Equal(t, written["upstream-avoided"], event.MaxLinesPerSecond("upstream-avoided"))
		assert.Equal(t, dropped["upstream-avoided"], 1000-event.MaxLinesPerSecond("upstream-avoided"))
		assert.Equal(t, written["exchange-failed"], 40)
	})
}

// A slow reader lets lines about successful requests fill the buffer. The lines about failed
// requests must still be written, from the reserved part of the buffer.
func TestWarningsHaveReservedSpace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		so := newStalledOutput()
		lg, cleanup := logline.New(so, slog.LevelInfo, slog.String("process", "p1"))
		logAll(lg, event.Started, 1)
		time.Sleep(time.Second) // The writer blocks at the first line.
		logAll(lg, event.ExchangeEnded, 290)
		logAll(lg, event.AttemptBegun, 290)
		logAll(lg, event.ExchangeFailed, 60)
		close(so.release)
		time.Sleep(2 * time.Second)
		cleanup()
		_, written, dropped := read(t, so.buf.Bytes())
		assert.Assert(t, dropped["attempt-begun"] > 0, "no line was dropped: the buffer was not full")
		assert.Equal(t, written["exchange-failed"], 60)
	})
}

// Every attempt fails at once, and their lines fill the log: the line about work that is sent again, which may run
// once only, must still be written.
func TestReservedEventsAreNotDroppedForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		so := newStalledOutput()
		lg, cleanup := logline.New(so, slog.LevelInfo, slog.String("process", "p1"))
		logAll(lg, event.Started, 1)
		time.Sleep(time.Second) // The writer blocks at the first line.
		logAll(lg, event.ExchangeFailed, 290)
		logAll(lg, event.AttemptBegun, 290)
		logAll(lg, event.ExchangeRefused, 290)
		logAll(lg, event.ExchangeResent, 20)
		close(so.release)
		time.Sleep(2 * time.Second)
		cleanup()
		_, written, dropped := read(t, so.buf.Bytes())
		assert.Assert(t, dropped["exchange-refused"] > 0, "no line was dropped: the buffer was not full")
		assert.Equal(t, written["exchange-resent"], 20)
	})
}

// writeSizes records the length of each write.
type writeSizes []int

func (ws *writeSizes) Write(p []byte) (int, error) {
	*ws = append(*ws, len(p))
	return len(p), nil
}

// Many requests end at the same moment. A collector that reads 8 kB at a time loses the part of a
// longer write beyond that, and the log then lacks the lines about the end of some requests.
func TestWritesHaveALimitedSize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ws writeSizes
		lg, cleanup := logline.New(&ws, slog.LevelInfo, slog.String("process", "p1"))
		logAll(lg, event.ExchangeEnded, 250)
		time.Sleep(time.Second)
		cleanup()
		assert.Assert(t, len(ws) > 1)
		for _, n := range ws {
			assert.Assert(t, n <= 8<<10, "a write of %d bytes exceeds 8 kB", n)
		}
	})
}
