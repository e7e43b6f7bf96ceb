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

// stalled blocks its writer until it is released, and keeps what came.
type stalled struct {
	release chan struct{}
	buf     bytes.Buffer
}

func newStalled() *stalled { return &stalled{release: make(chan struct{})} }

func (sl *stalled) Write(p []byte) (int, error) {
	<-sl.release
	return sl.buf.Write(p)
}

// line is what the tests read of a log line.
type line struct {
	Msg     string  `json:"msg"`
	Process string  `json:"process"`
	Of      string  `json:"of"`
	Lines   int     `json:"lines"`
	Took    float64 `json:"took"`
}

// read counts the lines by event, and adds up what was left out.
func read(t *testing.T, raw []byte) (lines []line, seen, left map[string]int) {
	t.Helper()
	seen, left = map[string]int{}, map[string]int{}
	for row := range bytes.Lines(raw) {
		var li line
		assert.NilError(t, json.Unmarshal(row, &li))
		assert.Equal(t, li.Process, "p1")
		lines = append(lines, li)
		seen[li.Msg]++
		left[li.Of] += li.Lines
	}
	return lines, seen, left
}

func logAll(lg *slog.Logger, ev *event.Event, n int) {
	for range n {
		event.Log(lg, ev, "request", "r1", "took", 1500*time.Microsecond)
	}
}

// Whoever collects the log stops reading the pipe. If logging waited for it, all
// requests of the entry would hang in their next line; instead lines are left
// out and counted, and no call of the logger waits.
func TestNobodyWaitsForAPipeThatIsNotRead(t *testing.T) {
	rd, wr, err := os.Pipe()
	assert.NilError(t, err)
	defer rd.Close()
	lg, cleanup := logline.New(wr, slog.LevelInfo, slog.String("process", "p1"))
	for _, ev := range event.Catalogue() {
		logAll(lg, ev, 1000) // 50 times what the pipe holds.
	}
	rd.Close() // The stalled write fails, and the clean-up can end.
	cleanup()
	wr.Close()
}

// A burst of requests comes while the log's reader hangs for a moment. Each line
// is either written or counted by its event, so that whoever looks for a request
// knows whether its lines may be missing.
func TestEachLineIsWrittenOrCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sl := newStalled()
		lg, cleanup := logline.New(sl, slog.LevelInfo, slog.String("process", "p1"))
		for range 10 {
			logAll(lg, event.ExchangeEnded, 400)
			logAll(lg, event.ExchangeFailed, 100)
			time.Sleep(300 * time.Millisecond)
		}
		close(sl.release)
		time.Sleep(3 * time.Second)
		cleanup()
		lines, seen, left := read(t, sl.buf.Bytes())
		assert.Equal(t, seen["exchange-ended"]+left["exchange-ended"], 4000)
		assert.Equal(t, seen["exchange-failed"]+left["exchange-failed"], 1000)
		assert.Assert(t, left["exchange-ended"] > 0)
		assert.Equal(t, lines[0].Took, 0.0015, "times are in seconds")
	})
}

// One event floods the log, as when an upstream flaps with each request. The
// lines of other events still come.
func TestAnEventKeepsToItsCeiling(t *testing.T) {
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
		_, seen, left := read(t, buf.Bytes())
		assert.Equal(t, seen["upstream-avoided"], event.Ceiling("upstream-avoided"))
		assert.Equal(t, left["upstream-avoided"], 1000-event.Ceiling("upstream-avoided"))
		assert.Equal(t, seen["exchange-failed"], 40)
	})
}

// The ring is full of lines about requests that ended well, since the reader is
// slow. Those about requests that ended badly find room.
func TestWhatEndedBadlyIsToldFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sl := newStalled()
		lg, cleanup := logline.New(sl, slog.LevelInfo, slog.String("process", "p1"))
		logAll(lg, event.Started, 1)
		time.Sleep(time.Second) // The writer hangs with the first line.
		logAll(lg, event.ExchangeEnded, 290)
		logAll(lg, event.AttemptBegun, 290)
		logAll(lg, event.ExchangeFailed, 60)
		close(sl.release)
		time.Sleep(2 * time.Second)
		cleanup()
		_, seen, left := read(t, sl.buf.Bytes())
		assert.Assert(t, left["attempt-begun"] > 0, "the ring was not full")
		assert.Equal(t, seen["exchange-failed"], 60)
	})
}

// sizes notes how long each write is.
type sizes []int

func (si *sizes) Write(p []byte) (int, error) {
	*si = append(*si, len(p))
	return len(p), nil
}

// Many requests end in the same moment. A collector that reads 8 kB at a time
// cuts what is written at once beyond that, and an engineer finds requests that
// seem to have no end.
func TestLinesAreWrittenInPieces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var si sizes
		lg, cleanup := logline.New(&si, slog.LevelInfo, slog.String("process", "p1"))
		logAll(lg, event.ExchangeEnded, 250)
		time.Sleep(time.Second)
		cleanup()
		assert.Assert(t, len(si) > 1)
		for _, n := range si {
			assert.Assert(t, n <= 8<<10, "%d bytes", n)
		}
	})
}
