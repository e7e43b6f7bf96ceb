package engine

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/test/cut"
)

// Guards against an order that counts as accepted although the engine answered before it had read the order, and ended
// the connection.
func TestUnframedAnswerBeforeTheEndOfAnOrderIsAnError(t *testing.T) {
	order := []byte(`"` + strings.Repeat("x", cut.LongUpload) + `"`)
	for _, end := range cut.EarlyEnds {
		t.Run(end.String(), func(t *testing.T) {
			eng := New(core.NewDeps(), "http://"+cut.ServeEarly(t, end, func(*http.Request) string { return "HTTP/1.1 200 OK\r\n\r\n" }))
			assert.Assert(t, eng.Order(t.Context(), 1, order) != nil)
		})
	}
}
