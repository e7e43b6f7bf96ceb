package forward

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"
)

// events splits a stream into complete events. An incomplete event at the end is withheld: an
// upstream that breaks off may cut an event in the middle.
type events struct {
	br  *bufio.Reader
	buf []byte
	err error
	// tail is the number of bytes after the last complete event, once the stream has ended.
	tail int
}

// maxEventSize bounds the size of one event, in bytes.
const maxEventSize = 1 << 20

// eventBufferSize is the read buffer in bytes, enough for a few events of the usual size.
const eventBufferSize = 1024

var errLongEvent = errors.New("an event is longer than 1 MB")

func newEvents(rd io.Reader) *events { return &events{br: bufio.NewReaderSize(rd, eventBufferSize)} }

// next returns the next event with the blank line that ends it. Its bytes are valid until the
// next call. Bytes at the end of the stream without a blank line are returned as one more event.
// After the last event it returns io.EOF.
func (ev *events) next() ([]byte, error) {
	ev.buf = ev.buf[:0]
	if ev.err != nil {
		return nil, ev.err
	}
	for {
		line, err := ev.br.ReadSlice('\n')
		ev.buf = append(ev.buf, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(ev.buf) > maxEventSize {
				return nil, errLongEvent
			}
			continue
		case errors.Is(err, io.EOF) && len(ev.buf) > 0:
			ev.err, ev.tail = err, len(ev.buf)
			return ev.buf, nil
		case err != nil:
			return nil, err
		}
		if isBlank(line) && len(bytes.TrimSpace(ev.buf)) > 0 {
			return ev.buf, nil
		}
	}
}

func isBlank(line []byte) bool {
	return len(line) == 1 || len(line) == 2 && line[0] == '\r'
}

// eventID returns the id of an event, or previous when it has none.
func eventID(event []byte, previous string) string {
	for line := range strings.Lines(string(event)) {
		if rest, ok := strings.CutPrefix(line, "id:"); ok {
			return strings.TrimSpace(rest)
		}
	}
	return previous
}

// drainLimit bounds the bytes that are read of an unwanted answer so that its connection can be
// reused.
const drainLimit = 16 << 10

func drain(rd io.Reader) { _, _ = io.CopyN(io.Discard, rd, drainLimit) }
