package store_test

import (
	"errors"
	"net/http"
	"sync/atomic"
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
			var arrived atomic.Bool
			st := store.New("http://" + cut.ServeEarly(t, end, func(*http.Request) string {
				arrived.Store(true)
				return "HTTP/1.1 200 OK\r\n\r\n" + `{"revision":7}`
			}))
			for range 5 {
				arrived.Store(false)
				_, err := st.Swap(t.Context(), "a", 1, make([]byte, cut.LongUpload))
				// The time of a call may pass before a slow machine has sent the write.
				assert.Assert(t, errors.Is(err, core.ErrUncertain) || !arrived.Load() && errors.Is(err, core.ErrUnavailable), "%v", err)
			}
		})
	}
}
