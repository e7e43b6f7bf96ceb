package service_test

import (
	"errors"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/io/service"
	"skylarkstand/test/cut"
)

// Guards against a part of an answer that is taken for whole, and stored: its service answered before it had read the
// call, and ended the connection.
func TestUnframedAnswerBeforeTheEndOfItsCallIsLost(t *testing.T) {
	for _, end := range cut.EarlyEnds {
		t.Run(end.String(), func(t *testing.T) {
			svc := service.New("http://" + cut.ServeEarly(t, end, func(*http.Request) string { return "HTTP/1.1 200 OK\r\n\r\ndo" }))
			for range 10 {
				_, err := svc.Run(t.Context(), &core.Attempt{ID: "a", Operation: "claim", Body: make([]byte, cut.LongUpload)})
				var fl *core.Failure
				assert.Assert(t, errors.As(err, &fl) && fl.Ran == core.RanUnknown, "%v", err)
			}
		})
	}
}
