package logline

import (
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"skylarkstand/core/event"
)

const (
	// bufferedLines is the number of lines that can wait for the writer: a quarter of a second of
	// lines at the total limit, 256 kB.
	bufferedLines = 512
	// linesPerSecond limits the lines per second of all events together. A busy entry serves 60
	// requests a second with two or three lines each.
	linesPerSecond = 2000
	// infoShare is the share of the buffer and of the total limit that lines below the level of
	// warnings may use. The rest is reserved for failed requests: they come at the same time as most
	// lines, and they are the ones that operators look for.
	infoShare = 0.75
	// warningShare is that share for all other lines but those of reserved events.
	warningShare = 0.95
	// flushInterval is the maximum delay of a line. Lines within this time share a system call.
	flushInterval = 50 * time.Millisecond
	// maxWriteSize limits the bytes of a single write. Collectors that read 8 kB at a time lost the
	// part of longer writes beyond that: the line about the end of 62 of 2,421 requests was missing.
	maxWriteSize = 8 << 10
	// dropReportInterval is the time between two reports of dropped lines in the log.
	dropReportInterval = time.Second
	// typicalLineSize is the initial capacity of a line's buffer, in bytes.
	typicalLineSize = 512
)

// writer accepts lines from any goroutine and writes them from a single one.
type writer struct {
	out   io.Writer
	lines chan []byte
	stop  chan struct{}
	done  chan struct{}
	// waiting counts the lines that were admitted and not yet written. It never exceeds the capacity
	// of lines, so that sending a line never blocks.
	waiting    atomic.Int64
	free       sync.Pool
	logDropped func(dropped map[string]int)

	mu sync.Mutex
	// second is the start of the current second; total and counts are its admitted lines, in all and
	// by event.
	second  time.Time
	total   int
	counts  map[string]int
	dropped map[string]int
}

func newWriter(out io.Writer) *writer {
	wr := &writer{
		out: out, lines: make(chan []byte, bufferedLines), stop: make(chan struct{}), done: make(chan struct{}),
		counts: map[string]int{}, dropped: map[string]int{},
	}
	wr.free.New = func() any { return make([]byte, 0, typicalLineSize) }
	return wr
}

// admit reserves a place in the buffer for a line of an event. It returns false if the line has to
// be dropped, because the buffer is full or a limit is reached.
func (wr *writer) admit(now time.Time, lv slog.Level, name string, limit int) bool {
	share := warningShare
	switch {
	case event.Reserved(name):
		share = 1
	case lv < slog.LevelWarn:
		share = infoShare
	}
	wr.mu.Lock()
	defer wr.mu.Unlock()
	if now.Sub(wr.second) >= time.Second {
		wr.second, wr.total = now, 0
		clear(wr.counts)
	}
	full := wr.waiting.Load() >= int64(share*bufferedLines) || float64(wr.total) >= share*linesPerSecond
	if full || wr.counts[name] >= limit {
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

// run writes lines until the writer is closed, and batches lines that arrive within flushInterval.
func (wr *writer) run() {
	defer close(wr.done)
	ti := time.NewTicker(dropReportInterval)
	defer ti.Stop()
	var buf []byte
	for {
		select {
		case line := <-wr.lines:
			buf = wr.batch(append(buf[:0], line...), line)
			wr.write(buf)
		case <-ti.C:
			wr.reportDropped()
		case <-wr.stop:
			wr.reportDropped()
			wr.drain(buf[:0])
			return
		}
	}
}

// batch appends the lines that arrive within flushInterval after the first one.
func (wr *writer) batch(buf, first []byte) []byte {
	wr.recycle(first)
	for wait := time.After(flushInterval); ; {
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

// add appends a line to the batch. If both together exceed maxWriteSize, it writes the batch first.
func (wr *writer) add(buf, line []byte) []byte {
	if len(buf)+len(line) > maxWriteSize {
		wr.write(buf)
		buf = buf[:0]
	}
	buf = append(buf, line...)
	wr.recycle(line)
	return buf
}

// write writes a batch. Errors are ignored: a failure to write the log could only be logged.
func (wr *writer) write(buf []byte) { _, _ = wr.out.Write(buf) }

// drain writes the lines that are left when the writer is closed.
func (wr *writer) drain(buf []byte) {
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

// reportDropped logs the counts of the lines that were dropped since the last report.
func (wr *writer) reportDropped() {
	wr.mu.Lock()
	dropped := wr.dropped
	if len(dropped) > 0 {
		wr.dropped = map[string]int{}
	}
	wr.mu.Unlock()
	if len(dropped) > 0 {
		wr.logDropped(dropped)
	}
}

// countDropped counts dropped lines of an event.
func (wr *writer) countDropped(name string, lines int) {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	wr.dropped[name] += lines
}

// recycle returns the buffer of a line that was taken out of the channel.
func (wr *writer) recycle(line []byte) {
	wr.waiting.Add(-1)
	wr.free.Put(line[:0]) //nolint:staticcheck // The slice header is small beside the line it saves.
}

func (wr *writer) close() {
	close(wr.stop)
	<-wr.done
}
