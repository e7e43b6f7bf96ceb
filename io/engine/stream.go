package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"

	"skylarkstand/core"
	"skylarkstand/core/event"
	"skylarkstand/core/meter"
)

// stream is an answer that is streamed as server-sent events.
type stream struct {
	eng   *Engine
	rs    *http.Response
	br    *bufio.Reader
	id    []byte
	out   []byte
	usage core.Usage
	// done is set by the [DONE] event, which Next returns as a separate chunk, so that the entry
	// can hold it back until the request is settled.
	done, ended bool
}

// maxOutput is the size in bytes from which events are forwarded although more have arrived.
const maxOutput = 64 << 10

// maxSkipped is the number of bytes without an event of this answer after which a stream is broken off.
const maxSkipped = 256 << 10

// readBufferSize fits several events, in bytes: events that arrive together are forwarded together.
const readBufferSize = 4 << 10

func newStream(eng *Engine, rs *http.Response, id core.AttemptID) *stream {
	return &stream{
		eng: eng, rs: rs, br: bufio.NewReaderSize(rs.Body, readBufferSize),
		id: []byte(`"id":"` + answerID(id) + `"`),
	}
}

var (
	dataPrefix = []byte("data: ")
	doneMark   = []byte("[DONE]")
	usageMark  = []byte(`"usage":{`)
	eventEnd   = []byte("\n\n")
	doneEvent  = []byte("data: [DONE]\n\n")
)

// Next implements [core.Answer]. It returns the events that have arrived, unchanged, and at least
// one.
func (sm *stream) Next() ([]byte, error) {
	if sm.ended {
		return nil, io.EOF
	}
	if sm.done {
		sm.ended = true
		return doneEvent, nil
	}
	sm.out = sm.out[:0]
	skipped := 0
	for {
		line, err := sm.br.ReadSlice('\n')
		if err != nil {
			// A connection that ends before [DONE] truncates the answer, even if it is closed
			// cleanly.
			return nil, sm.eng.brokenCallFailure("the engine broke the stream off")
		}
		if skipped += len(line); skipped > maxSkipped {
			if len(sm.out) > 0 {
				return sm.out, nil
			}
			return nil, sm.eng.brokenCallFailure("the engine's stream goes on without events of this answer")
		}
		line = bytes.TrimRight(line, "\r\n")
		if bytes.HasPrefix(line, dataPrefix) {
			sm.appendEvent(line)
		}
		if sm.done && len(sm.out) == 0 {
			sm.ended = true
			return doneEvent, nil
		}
		// An event ends with an empty line; reading on after that line would delay the token until
		// the next one arrives.
		if sm.done || len(sm.out) > 0 && len(line) == 0 && sm.br.Buffered() == 0 || len(sm.out) >= maxOutput {
			return sm.out, nil
		}
	}
}

// appendEvent appends one event to the output unless it belongs to another attempt.
//
// An engine that resumes or cancels streams may write a late event of an earlier request to this
// connection. The caller would receive another caller's text within its own answer, so such an
// event is dropped and counted.
func (sm *stream) appendEvent(line []byte) {
	data := line[len(dataPrefix):]
	if bytes.Equal(data, doneMark) {
		sm.done = true
		return
	}
	if !bytes.Contains(data, sm.id) {
		event.Log(sm.eng.deps.Log, event.ForeignFrame, "peer", "engine")
		meter.ForeignEvents.Inc(sm.eng.deps.Metrics)
		return
	}
	sm.countTokens(data)
	sm.out = append(append(sm.out, line...), eventEnd...)
}

func (sm *stream) countTokens(data []byte) {
	if !bytes.Contains(data, usageMark) {
		sm.usage.Generated++
		return
	}
	var ub usageBody
	if json.Unmarshal(data, &ub) == nil && ub.Usage != nil {
		sm.usage = ub.usage()
	}
}

func (sm *stream) Usage() core.Usage   { return sm.usage }
func (sm *stream) Status() int         { return http.StatusOK }
func (sm *stream) ContentType() string { return "text/event-stream" }
func (sm *stream) Close()              { sm.rs.Body.Close() }

// ReplayOf implements [core.Answer]. It is always empty: an upstream stores no answers.
func (sm *stream) ReplayOf() core.AttemptID { return "" }
