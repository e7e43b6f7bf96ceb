package hosts_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"skylarkstand/io/hosts"
	"skylarkstand/test/answers"
)

// Guards against a broken answer that is taken for the list of hosts.
func TestAnswersOfTheGrammar(t *testing.T) {
	answers.Play(t, 500, answers.Content{Body: `[{}]`, Statuses: []int{200, 200, 500}, Framed: true}, func(addr string, an answers.Answer) {
		list, err := hosts.New("http://" + addr).List(t.Context())
		if an.Fault != "" || an.Status != 200 {
			assert.Assert(t, err != nil, "%s", an.Fault)
			return
		}
		assert.NilError(t, err, "%q", an.Text)
		assert.Equal(t, len(list), 1)
	})
}
