package logline

import (
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// ring is how many lines wait for the writer: a quarter of a second's at
	// the bound, 256 kB.
	ring = 512
	// perSecond bounds the lines of a second, whatever the events. A busy entry
	// serves 60 requests a second with two or three lines each.
	perSecond = 2000
	// calmPart is the part of the ring and of the second's bound that lines
	// below a warning may use. What is left is for the requests that end badly:
	// they come in the same moments as the most lines, and are asked about.
	calmPart = 0.75
	// flushEvery bounds how late a line is written. Lines that come together
	// share a system call.
	flushEvery = 50 * time.Millisecond
	// pieceLimit bounds what is written at once. Collectors that read 8 kB at a
	// time were seen to lose what a longer write had beyond that: 62 of 2,421
	// requests had no line about their end.
	pieceLimit = 8 << 10
	// tellEvery is how often lines that were left out are counted in the log.
	tellEvery = time.Second
	// lineSize is a usual line, for the first allocation of a buffer.
	lineSize = 512
)

// writer takes lines from any goroutine and writes them from one.
type writer struct {
	out   io.Writer
	lines chan []byte
	stop  chan struct{}
	done  chan struct{}
	// waiting counts the lines that were admitted and not yet written. It never
	// exceeds the ring, so that sending a line never blocks.
	waiting atomic.Int64
	free    sync.Pool
	tell    func(left map[string]int)

	mu     sync.Mutex
	second time.Time
	total  int
	counts map[string]int
	left   map[string]int
}

func newWriter(out io.Writer) *writer {
	wr := &writer{
		out: out, lines: make(chan []byte, ring), stop: make(chan struct{}), done: make(chan struct{}),
		counts: map[string]int{}, left: map[string]int{},
	}
	wr.free.New = func() any { return make([]byte, 0, lineSize) }
	return wr
}

// admit reserves a place for a line of an event, unless there is none.
func (wr *writer) admit(now time.Time, lv slog.Level, name string, ceiling int) bool {
	part := 1.0
	if lv < slog.LevelWarn {
		part = calmPart
	}
	wr.mu.Lock()
	defer wr.mu.Unlock()
	if now.Sub(wr.second) >= time.Second {
		wr.second, wr.total = now, 0
		clear(wr.counts)
	}
	full := wr.waiting.Load() >= int64(part*ring) || float64(wr.total) >= part*perSecond
	if full || wr.counts[name] >= ceiling {
		return false
	}
	wr.total++
	wr.counts[name]++
	wr.waiting.Add(1)
	return true
}

// Write implements io.Writer for a line that was admitted.
func (wr *writer) Write(line []byte) (int, error) {
	bu, _ := wr.free.Get().([]byte)
	wr.lines <- append(bu[:0], line...)
	return len(line), nil
}

// run writes lines, those that come within a short time together.
func (wr *writer) run() {
	defer close(wr.done)
	ti := time.NewTicker(tellEvery)
	defer ti.Stop()
	var buf []byte
	for {
		select {
		case line := <-wr.lines:
			buf = wr.gather(append(buf[:0], line...), line)
			wr.write(buf)
		case <-ti.C:
			wr.tellLeft()
		case <-wr.stop:
			wr.tellLeft()
			wr.rest(buf[:0])
			return
		}
	}
}

// gather appends what comes within flushEvery of the first line.
func (wr *writer) gather(buf, first []byte) []byte {
	wr.put(first)
	for wait := time.After(flushEvery); ; {
		select {
		case line := <-wr.lines:
			buf = wr.add(buf, line)
		case <-wait:
			return buf
		case <-wr.stop:
			return buf
		}
	}
}

// add appends a line, after what is there was written if both are too long.
func (wr *writer) add(buf, line []byte) []byte {
	if len(buf)+len(line) > pieceLimit {
		wr.write(buf)
		buf = buf[:0]
	}
	buf = append(buf, line...)
	wr.put(line)
	return buf
}

// write writes what was gathered. Nobody could be told that the log cannot be
// written.
func (wr *writer) write(buf []byte) { _, _ = wr.out.Write(buf) }

// rest writes what waits at the end.
func (wr *writer) rest(buf []byte) {
	for {
		select {
		case line := <-wr.lines:
			buf = wr.add(buf, line)
		default:
			wr.write(buf)
			return
		}
	}
}

// tellLeft logs what was left out since the last time.
func (wr *writer) tellLeft() {
	wr.mu.Lock()
	left := wr.left
	if len(left) > 0 {
		wr.left = map[string]int{}
	}
	wr.mu.Unlock()
	if len(left) > 0 {
		wr.tell(left)
	}
}

// leave counts lines of an event that were left out.
func (wr *writer) leave(name string, lines int) {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	wr.left[name] += lines
}

func (wr *writer) put(line []byte) {
	wr.waiting.Add(-1)
	wr.free.Put(line[:0]) //nolint:staticcheck // The slice header is small beside the line it saves.
}

func (wr *writer) close() {
	close(wr.stop)
	<-wr.done
}
