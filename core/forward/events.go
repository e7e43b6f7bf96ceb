package forward

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"skylarkstand/core"
)

// events splits a stream into complete events. It ends with io.EOF only if the stream is complete: an
// upstream that breaks off may cut an event in the middle, and an unframed stream ends then as a
// complete one does.
type events struct {
	br   *bufio.Reader
	buf  []byte
	held *heldBuffer
	err  error
	// unframed is set if the end of the connection ends the stream.
	unframed bool
	// begun is set once the stream has had an event.
	begun bool
	// tail is the number of bytes after the last complete event, once the stream has ended.
	tail int
}

// maxEventSize bounds the size of one event with the blank lines before it, in bytes. A host of the
// smallest size has 144 MB for all of its streams.
const maxEventSize = 256 << 10

// eventBufferSize is the read buffer in bytes, enough for a few events of the usual size.
const eventBufferSize = 1024

var (
	errLongEvent   = errors.New("an event is longer than 256 kB")
	errNoBuffer    = errors.New("the parts of answers that this process holds take all the memory for them")
	errInsideEvent = errors.New("the stream ended inside an event")
	errNoEvent     = errors.New("the connection ended before the first event")
)

func newEvents(re *core.Reply, held *heldBuffer) *events {
	held.release()
	return &events{br: bufio.NewReaderSize(re.Body, eventBufferSize), held: held, unframed: re.EndsWithConnection}
}

// isEventStream reports whether a reply of a streaming route is a stream. Upstreams may answer with
// something else, whose end is that of its body.
func isEventStream(re *core.Reply) bool {
	contentType := re.Header.Get("Content-Type")
	return re.Status < http.StatusMultipleChoices && (contentType == "" || strings.HasPrefix(strings.ToLower(contentType), "text/event-stream"))
}

// next returns the next event with the blank line that ends it. Its bytes are valid until the next
// call. After the last event it returns io.EOF, or why the stream is not complete.
func (ev *events) next() ([]byte, error) {
	if ev.buf = ev.buf[:0]; cap(ev.buf) > freeBuffer {
		ev.buf = nil
		ev.held.release()
	}
	if ev.err != nil {
		return nil, ev.err
	}
	hasText, continued := false, false
	for {
		line, err := ev.br.ReadSlice('\n')
		if len(ev.buf)+len(line) > maxEventSize {
			ev.err = errLongEvent
			return nil, ev.err
		}
		if !ev.append(line) {
			ev.err = errNoBuffer
			return nil, ev.err
		}
		// ReadSlice may return the line break of a long line alone.
		blank := !continued && isBlank(line)
		continued = errors.Is(err, bufio.ErrBufferFull)
		hasText = hasText || len(bytes.TrimSpace(line)) > 0
		switch {
		case continued:
			continue
		case errors.Is(err, io.EOF):
			return ev.end()
		case err != nil:
			return nil, err
		}
		if blank && hasText {
			ev.begun = ev.begun || hasField(ev.buf)
			return ev.buf, nil
		}
	}
}

// append appends to the event, and reports false if there is no memory for it.
func (ev *events) append(line []byte) bool {
	if size := len(ev.buf) + len(line); size > cap(ev.buf) {
		size = max(size, min(2*cap(ev.buf), maxEventSize))
		if !ev.held.grow(size) {
			return false
		}
		ev.buf = append(make([]byte, 0, size), ev.buf...)
	}
	ev.buf = append(ev.buf, line...)
	return true
}

// end returns the blank lines after the last event of a complete stream.
func (ev *events) end() ([]byte, error) {
	ev.tail = len(ev.buf)
	switch {
	case len(bytes.TrimSpace(ev.buf)) > 0:
		ev.err = errInsideEvent
	case ev.unframed && !ev.begun:
		ev.err = errNoEvent
	default:
		ev.err = io.EOF
		if len(ev.buf) > 0 {
			return ev.buf, nil
		}
	}
	return nil, ev.err
}

func isBlank(line []byte) bool {
	return len(line) == 1 || len(line) == 2 && line[0] == '\r'
}

// hasField reports whether a part of a stream holds more than comments.
func hasField(part []byte) bool {
	for line := range bytes.Lines(part) {
		if len(bytes.TrimSpace(line)) > 0 && line[0] != ':' {
			return true
		}
	}
	return false
}

// eventID returns the id of an event, or previous when it has none.
func eventID(event []byte, previous string) string {
	for line := range bytes.Lines(event) {
		if rest, ok := bytes.CutPrefix(line, idField); ok {
			return string(bytes.TrimSpace(rest))
		}
	}
	return previous
}

var idField = []byte("id:")

// drainLimit and drainTimeout bound what is read of an unwanted answer, in bytes, and how long, so that its
// connection can be reused.
const (
	drainLimit   = 16 << 10
	drainTimeout = 100 * time.Millisecond
)

func drain(rd io.Reader) { _, _ = io.CopyN(io.Discard, rd, drainLimit) }
