package service_test

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/io/service"
	"skylarkstand/test/answers"
)

// Guards against a broken answer of a service that is taken for one, and stored.
func TestAnswersOfTheGrammar(t *testing.T) {
	answers.Play(t, 1000, answers.Content{Lines: []string{"Content-Type: text/plain"}, Body: "done", Statuses: []int{200, 201, 404, 500, 503}}, func(addr string, an answers.Answer) {
		ans, err := service.New("http://"+addr).Run(t.Context(), &core.Attempt{ID: "a", Operation: "claim", Body: []byte("lamp")})
		if an.Fault != "" {
			var fl *core.Failure
			assert.Assert(t, errors.As(err, &fl) && fl.Ran == core.RanUnknown, "%s: %v", an.Fault, err)
			return
		}
		assert.NilError(t, err, "%q", an.Text)
		data, err := ans.Next()
		assert.NilError(t, err)
		assert.Equal(t, string(data), an.Body)
		assert.Equal(t, ans.Status(), an.Status)
		assert.Equal(t, ans.ContentType(), "text/plain")
	})
}
