// Package logline writes log lines without ever holding up who logs, and within
// a bound.
//
// A process that waits for whoever reads its output stops serving when that
// one stops reading; one that logs all it is asked to adds to an overload what
// it has left of its processor. Lines go through a bounded ring to one writer.
// What finds the ring full, or the second's bound used up, is dropped and
// counted, and the count is logged.
//
// # Usage
//
//	lw, cleanup := logline.New(os.Stdout)
//	lg := slog.New(slog.NewJSONHandler(lw, nil))
//	defer cleanup()                        // writes what waits
package logline

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// ring is how many lines wait: a tenth of a second's at the bound.
	ring = 256
	// perSecond bounds the lines of a second. A busy entry serves 60 requests a
	// second with two or three lines each.
	perSecond = 2000
	// flushEvery bounds how late a line is written. Lines that come together
	// share a system call.
	flushEvery = 50 * time.Millisecond
	// lineSize is a usual line, for the first allocation of a buffer.
	lineSize = 512
)

// Writer implements io.Writer. Each write is a line.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
	free    sync.Pool

	mu     sync.Mutex
	second time.Time
	count  int
}

// New returns a writer to out, and the clean-up that writes what waits.
func New(out io.Writer) (*Writer, func()) {
	lw := &Writer{out: out, lines: make(chan []byte, ring), done: make(chan struct{})}
	lw.free.New = func() any { return make([]byte, 0, lineSize) }
	go lw.run()
	return lw, lw.close
}

// Write implements io.Writer. It does not block and returns no error.
func (lw *Writer) Write(line []byte) (int, error) {
	if !lw.take(time.Now()) {
		lw.dropped.Add(1)
		return len(line), nil
	}
	bu, _ := lw.free.Get().([]byte)
	bu = append(bu[:0], line...)
	select {
	case lw.lines <- bu:
	default:
		lw.dropped.Add(1)
	}
	return len(line), nil
}

func (lw *Writer) take(now time.Time) bool {
	lw.mu.Lock()
	defer lw.mu.Unlock()
	if now.Sub(lw.second) >= time.Second {
		lw.second, lw.count = now, 0
	}
	lw.count++
	return lw.count <= perSecond
}

// run writes lines, those that come within a short time together.
func (lw *Writer) run() {
	defer close(lw.done)
	var buf []byte
	var told int64
	for line := range lw.lines {
		buf = append(buf[:0], line...)
		lw.put(line)
		open := true
		for wait := time.After(flushEvery); open; {
			select {
			case line, ok := <-lw.lines:
				if !ok {
					open = false
					continue
				}
				buf = append(buf, line...)
				lw.put(line)
			case <-wait:
				open = false
			}
		}
		if n := lw.dropped.Load(); n > told {
			buf = fmt.Appendf(buf, "{\"level\":\"WARN\",\"msg\":\"log-dropped\",\"event\":107,\"lines\":%d}\n", n-told)
			told = n
		}
		_, _ = lw.out.Write(buf)
	}
}

func (lw *Writer) put(line []byte) {
	lw.free.Put(line[:0]) //nolint:staticcheck // The slice header is small beside the line it saves.
}

func (lw *Writer) close() {
	close(lw.lines)
	<-lw.done
}
