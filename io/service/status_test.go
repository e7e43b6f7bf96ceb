package service_test

import (
	"errors"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/io/service"
	"skylarkstand/test/answers"
)

// Guards against an answer whose status is none, or the answer that its body looks like, that is taken for the service's
// own, and stored.
func TestAnswerOfAServiceWithAnInvalidStatusIsLost(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
	for _, status := range []string{"000", "099", "+20", "101", "600", "999"} {
		for _, text := range []string{" Odd\r\nContent-Length: 4\r\n\r\ndone", " Odd\r\n\r\n" + sound} {
			svc := service.New("http://" + answers.Serve(t, func(*http.Request) answers.Answer { return answers.Answer{Text: "HTTP/1.1 " + status + text} }))
			_, err := svc.Run(t.Context(), &core.Attempt{ID: "a", Operation: "claim"})
			var fl *core.Failure
			assert.Assert(t, errors.As(err, &fl) && fl.Ran == core.RanUnknown, "%s: %v", status, err)
		}
	}
}
