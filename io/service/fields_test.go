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

// Guards against an answer that is taken for the service's own, with bytes that were not in its body or a part of it: the
// name of a field of its head or trailer has a blank.
func TestAnswerOfAServiceWithAMalformedFieldIsLost(t *testing.T) {
	for _, text := range []string{
		"Content-Length : 4\r\n\r\ndone and more",
		"Content-Length : 500\r\nContent-Length: 2\r\n\r\ndone",
		"Transfer-Encoding : chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
		"X Note: a\r\nContent-Length: 4\r\n\r\ndone",
		"Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\nX-Note : a\r\n\r\n",
	} {
		svc := service.New("http://" + answers.Serve(t, func(*http.Request) answers.Answer {
			return answers.Answer{Text: "HTTP/1.1 200 OK\r\n" + text, End: answers.Closed}
		}))
		ans, err := svc.Run(t.Context(), &core.Attempt{ID: "a", Operation: "claim"})
		var fl *core.Failure
		assert.Check(t, errors.As(err, &fl) && fl.Ran == core.RanUnknown, "%q: %v %v", text, ans, err)
	}
}
