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

// stream is an answer as server-sent events.
type stream struct {
	eng   *Engine
	rs    *http.Response
	br    *bufio.Reader
	id    []byte
	out   []byte
	usage core.Usage
	// done is set by the end mark, which goes out as a piece of its own, so
	// that the entry can hold it back until the request is settled.
	done, ended bool
}

// readBuffer holds several events; what has arrived together goes on together.
const readBuffer = 4 << 10

func newStream(eng *Engine, rs *http.Response, id core.AttemptID) *stream {
	return &stream{
		eng: eng, rs: rs, br: bufio.NewReaderSize(rs.Body, readBuffer),
		id: []byte(`"id":"` + answerID(id) + `"`),
	}
}

var (
	dataPrefix = []byte("data: ")
	doneMark   = []byte("[DONE]")
	usageMark  = []byte(`"usage":{`)
	lineEnd    = []byte("\n\n")
	doneEvent  = []byte("data: [DONE]\n\n")
)

// Next implements [core.Answer]: it returns the events that have arrived, as
// they are, and at least one.
func (sm *stream) Next() ([]byte, error) {
	if sm.ended {
		return nil, io.EOF
	}
	if sm.done {
		sm.ended = true
		return doneEvent, nil
	}
	sm.out = sm.out[:0]
	for {
		line, err := sm.br.ReadSlice('\n')
		if err != nil {
			// The end of the connection before [DONE] is a cut, however
			// orderly it looks.
			return nil, sm.eng.broken("the engine broke the stream off")
		}
		line = bytes.TrimRight(line, "\r\n")
		if bytes.HasPrefix(line, dataPrefix) {
			sm.take(line)
		}
		if sm.done && len(sm.out) == 0 {
			sm.ended = true
			return doneEvent, nil
		}
		// An event ends with an empty line; waiting for more after that line
		// would hold the token back until the next one comes.
		if sm.done || len(sm.out) > 0 && len(line) == 0 && sm.br.Buffered() == 0 {
			return sm.out, nil
		}
	}
}

// take adds one event to what goes out, unless it is another attempt's.
//
// An engine that resumes or cancels streams may put a late event of an
// earlier request onto this connection. The caller would read a stranger's
// words within its own answer; such an event is dropped and counted.
func (sm *stream) take(line []byte) {
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
	sm.count(data)
	sm.out = append(append(sm.out, line...), lineEnd...)
}

func (sm *stream) count(data []byte) {
	if !bytes.Contains(data, usageMark) {
		sm.usage.Generated++
		return
	}
	var ub usageBody
	if json.Unmarshal(data, &ub) == nil && ub.Usage != nil {
		sm.usage = core.Usage{Prompt: ub.Usage.Prompt, Generated: ub.Usage.Generated}
	}
}

func (sm *stream) Usage() core.Usage   { return sm.usage }
func (sm *stream) Status() int         { return http.StatusOK }
func (sm *stream) ContentType() string { return "text/event-stream" }
func (sm *stream) Close()              { sm.rs.Body.Close() }

// ReplayOf implements [core.Answer]: an upstream stores nothing.
func (sm *stream) ReplayOf() core.AttemptID { return "" }
