package store_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/io/store"
	"skylarkstand/test/answers"
)

// Guards against a broken answer of the store that is taken for a value, for the end of a key, or for a write that is
// done, or not.
func TestAnswersOfTheGrammar(t *testing.T) {
	content := answers.Content{Body: `{"key":"a","value":"eA==","revision":3}`, Statuses: []int{200, 404, 409, 503}, Framed: true}
	errs := map[int]error{404: core.ErrNotFound, 409: core.ErrConflict, 503: core.ErrUnavailable}
	answers.Play(t, 500, content, func(addr string, an answers.Answer) {
		st := store.New("http://" + addr)
		it, readErr := st.Get(t.Context(), "a")
		writeErr := st.Delete(t.Context(), "a", 3)
		switch want := errs[an.Status]; {
		case an.Fault != "":
			assert.ErrorIs(t, readErr, core.ErrUnavailable, "%s", an.Fault)
			assert.ErrorIs(t, writeErr, core.ErrUncertain, "%s", an.Fault)
		case want != nil:
			assert.ErrorIs(t, readErr, want, "%q", an.Text)
			assert.ErrorIs(t, writeErr, want, "%q", an.Text)
		default:
			assert.NilError(t, readErr, "%q", an.Text)
			assert.NilError(t, writeErr, "%q", an.Text)
			assert.Equal(t, it.Revision, core.Revision(3))
		}
	})
}
