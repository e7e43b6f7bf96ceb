package store_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/io/store"
	"skylarkstand/test/cut"
)

// Guards against a write that counts as done: the store answered before it had read the write, and ended the connection.
func TestUnframedAnswerBeforeTheEndOfAWriteIsUncertain(t *testing.T) {
	for _, end := range cut.EarlyEnds {
		t.Run(end.String(), func(t *testing.T) {
			st := store.New("http://" + cut.ServeEarly(t, end, func(*http.Request) string { return "HTTP/1.1 200 OK\r\n\r\n" + `{"revision":7}` }))
			for range 5 {
				_, err := st.Swap(t.Context(), "a", 1, make([]byte, cut.LongUpload))
				assert.ErrorIs(t, err, core.ErrUncertain)
			}
		})
	}
}
