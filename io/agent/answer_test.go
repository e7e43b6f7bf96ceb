package agent

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/io/frame"
)

// encode returns frames as an agent sends them.
func encode(t *testing.T, frames ...*frame.Frame) []byte {
	t.Helper()
	var buf bytes.Buffer
	wr := frame.NewWriter(&buf)
	for _, fr := range frames {
		assert.NilError(t, wr.Write(fr))
	}
	return buf.Bytes()
}

// receive returns the answer to an attempt of which the agent has sent some bytes before its end.
func receive(t *testing.T, sent []byte) *answer {
	t.Helper()
	return &answer{ln: &link{deps: core.NewDeps()}, rd: frame.NewReader(bytes.NewReader(sent)), id: "a", ctx: t.Context()}
}

// Guards against an answer that its caller takes for whole, of an agent that stops while it passes it on, at any byte.
func TestAnswerOfAnAgentThatStopsIsNotWhole(t *testing.T) {
	sent := encode(t,
		&frame.Frame{Body: &frame.Frame_Chunk{Chunk: &frame.Chunk{Attempt: "a", Status: 200, ContentType: "text/plain", Data: []byte("do")}}},
		&frame.Frame{Body: &frame.Frame_Chunk{Chunk: &frame.Chunk{Attempt: "a", Data: []byte("ne")}}},
		&frame.Frame{Body: &frame.Frame_End{End: &frame.End{Attempt: "a", GeneratedTokens: 3}}})
	for cut := range sent {
		an := receive(t, sent[:cut])
		err := an.awaitFirst()
		for err == nil {
			_, err = an.Next()
		}
		var fl *core.Failure
		assert.Assert(t, errors.As(err, &fl) && fl.Ran == core.RanUnknown, "cut after %d bytes: %v", cut, err)
		assert.Assert(t, !errors.Is(err, io.EOF))
	}
}

// Guards against a success that no upstream gave, from an agent that says nothing of the status, or something odd.
func TestAnswerWithoutAStatusIsUnknown(t *testing.T) {
	chunk := func(status int32) *frame.Frame {
		return &frame.Frame{Body: &frame.Frame_Chunk{Chunk: &frame.Chunk{Attempt: "a", Status: status}}}
	}
	for _, sc := range []struct {
		testName string
		first    *frame.Frame
		unknown  bool
	}{
		{"the end", &frame.Frame{Body: &frame.Frame_End{End: &frame.End{Attempt: "a"}}}, true},
		{"no status", chunk(0), true},
		{"a status below all", chunk(99), true},
		{"an interim status", chunk(100), true},
		{"the highest interim status", chunk(199), true},
		{"a status above all", chunk(600), true},
		{"a negative status", chunk(-200), true},
		{"a large status", chunk(1000), true},
		{"a failure of the upstream", chunk(500), false},
	} {
		t.Run(sc.testName, func(t *testing.T) {
			an := receive(t, encode(t, sc.first))
			err := an.awaitFirst()
			var fl *core.Failure
			assert.Equal(t, errors.As(err, &fl), sc.unknown)
			if sc.unknown {
				assert.Equal(t, fl.Ran, core.RanUnknown)
			}
		})
	}
}
