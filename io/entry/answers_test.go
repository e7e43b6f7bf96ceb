package entry_test

import (
	"errors"
	"io"
	"testing"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/io/service"
	"skylarkstand/test/answers"
)

// Guards against a broken answer of a plain service that an entry gets from its agent as an answer.
func TestAnswersOfTheGrammarOnTheirWayToTheEntry(t *testing.T) {
	var lk *linked
	answers.Play(t, 500, answers.Content{Lines: []string{"Content-Type: text/plain"}, Body: "done", Statuses: []int{200, 201, 404, 500}}, func(addr string, an answers.Answer) {
		if lk == nil {
			lk = connect(t.Context(), t, service.New("http://"+addr))
		}
		ans, err := lk.po.Dispatch(t.Context(), lk.ho.ID, &core.Attempt{ID: "a", Workspace: "schools", Generation: 1, Target: core.ModelVersion{Model: "desk", Version: "v1"}})
		var got []byte
		for err == nil {
			var data []byte
			data, err = ans.Next()
			got = append(got, data...)
		}
		if an.Fault != "" {
			var fl *core.Failure
			assert.Assert(t, errors.As(err, &fl) && fl.Ran == core.RanUnknown, "%s: %v", an.Fault, err)
			return
		}
		assert.ErrorIs(t, err, io.EOF, "%q", an.Text)
		assert.Equal(t, ans.Status(), an.Status)
		assert.Equal(t, string(got), an.Body)
	})
}
