package upstream_test

import (
	"context"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/io/upstream"
	"skylarkstand/test/answers"
)

// answerTimeout ends a request whose answer is awaited further although it is broken.
const answerTimeout = 20 * time.Second

// Guards against a broken answer that is taken for one, and against a wait for more of it.
func TestAnswersOfTheGrammar(t *testing.T) {
	content := answers.Content{Lines: []string{"Id: r1"}, Body: "done", Statuses: []int{200, 201, 404, 500, 503, 599}, Other: []string{"Id: r2"}}
	answers.Play(t, 3000, content, func(addr string, an answers.Answer) {
		cl, cleanup := upstream.New()
		defer cleanup()
		ctx, cancel := context.WithTimeout(t.Context(), answerTimeout)
		defer cancel()
		rs, err := cl.Do(ctx, addr, request("r1", "lamp"))
		status, body := 0, []byte(nil)
		if err == nil {
			status = rs.Status
			body, err = io.ReadAll(rs.Body)
			rs.Body.Close()
		}
		assert.NilError(t, ctx.Err(), "%s: the client waited for more of %q", an.Fault, an.Text)
		if an.Fault != "" {
			assert.Assert(t, err != nil && upstream.MaybeSent(err), "%s: %d and %q were taken from %q", an.Fault, status, body, an.Text)
			return
		}
		assert.NilError(t, err, "%q", an.Text)
		assert.Equal(t, status, an.Status, "%q", an.Text)
		assert.Equal(t, string(body), an.Body, "%q", an.Text)
		assert.Equal(t, rs.EndsWithConnection, an.Unframed)
	})
}
