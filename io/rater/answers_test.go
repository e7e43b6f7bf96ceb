package rater_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/io/rater"
	"skylarkstand/test/answers"
)

// Guards against a broken answer that is taken for a rating.
func TestAnswersOfTheGrammar(t *testing.T) {
	answers.Play(t, 500, answers.Content{Body: `{"quality":0.5}`, Statuses: []int{200, 200, 500}, Framed: true}, func(addr string, an answers.Answer) {
		got, err := rater.New("http://"+addr).Rate(t.Context(), core.ModelVersion{}, nil, nil)
		if an.Fault != "" || an.Status != 200 {
			assert.Assert(t, err != nil, "%s", an.Fault)
			return
		}
		assert.NilError(t, err, "%q", an.Text)
		assert.Assert(t, got > 0)
	})
}
