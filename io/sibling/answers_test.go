package sibling_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/io/sibling"
	"skylarkstand/io/upstream"
	"skylarkstand/test/answers"
)

// Guards against a broken answer of a sibling that is taken for its copy.
func TestAnswersOfTheGrammar(t *testing.T) {
	body := `{"revision":9,"age-ms":20,"newer":true,"whole":true,"items":[{"key":"servers/a","value":"eA==","revision":6}]}`
	answers.Play(t, 500, answers.Content{Body: body, Framed: true}, func(addr string, an answers.Answer) {
		cl, cleanup := upstream.New()
		defer cleanup()
		up, err := sibling.New(cl, nil, nil).FetchFrom(t.Context(), addr, 4)
		if an.Fault != "" {
			assert.Assert(t, err != nil, "%s", an.Fault)
			return
		}
		assert.NilError(t, err, "%q", an.Text)
		assert.Equal(t, up.Revision, core.Revision(9))
	})
}
