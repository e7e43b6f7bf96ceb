package engine

import (
	"errors"
	"io"
	"testing"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/test/answers"
)

// Guards against a broken answer of an engine that is taken for one, and billed.
func TestAnswersOfTheGrammar(t *testing.T) {
	whole := `{"id":"chatcmpl-a1","choices":[],"usage":{"prompt_tokens":3,"completion_tokens":1}}`
	stream := sse("a1", "one") + sse("a1", "two") + "data: [DONE]\n\n"
	for _, sc := range []struct {
		testName, body string
		stream         bool
	}{{"whole", whole, false}, {"stream", stream, true}} {
		t.Run(sc.testName, func(t *testing.T) {
			answers.Play(t, 500, answers.Content{Body: sc.body}, func(addr string, an answers.Answer) {
				if sc.stream && an.Fault != "" && !an.HeadIsBroken {
					return // The stream ends with its last event, and what follows is not read.
				}
				ans, err := New(core.NewDeps(), "http://"+addr).Run(t.Context(), &core.Attempt{ID: "a1", Stream: sc.stream, Body: []byte("{}")})
				var got []byte
				for err == nil {
					var data []byte
					data, err = ans.Next()
					got = append(got, data...)
				}
				if an.Fault != "" {
					var fl *core.Failure
					assert.Assert(t, errors.As(err, &fl) && fl.Ran != core.NotRun, "%s: %q %v", an.Fault, got, err)
					assert.Assert(t, !an.HeadIsBroken || fl.Code != core.CodeCrashed, "%s: the engine lives", an.Fault)
					return
				}
				assert.ErrorIs(t, err, io.EOF, "%q", an.Text)
				assert.Equal(t, string(got), an.Body)
			})
		})
	}
}
