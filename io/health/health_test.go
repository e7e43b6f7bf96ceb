package health_test

import (
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"skylarkstand/io/health"
	"skylarkstand/io/upstream"
	"skylarkstand/test/answers"
)

// Guards against an upstream that counts as crashed, and its requests as the cause, although it lives: what it sends is
// no answer.
func TestUpstreamThatSendsWhatIsNoAnswerHasNotCrashed(t *testing.T) {
	cli := &http.Client{Transport: upstream.NewTransport(upstream.OneRequestPerConnection())}
	for _, text := range []string{"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 000 Odd\r\n\r\n", "HTTP/1.1 200 OK\r\nno colon\r\n\r\n", "hello\r\n\r\n"} {
		addr := answers.Serve(t, func(*http.Request) answers.Answer { return answers.Answer{Text: text} })
		assert.NilError(t, health.Check(cli, "http://"+addr), "%q", text)
	}
	for _, end := range []answers.End{answers.Closed, answers.Reset} {
		addr := answers.Serve(t, func(*http.Request) answers.Answer { return answers.Answer{Text: "HTTP/1.1 20", End: end} })
		assert.Assert(t, health.Check(cli, "http://"+addr) != nil)
	}
	li, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	li.Close()
	assert.Assert(t, health.Check(cli, "http://"+li.Addr().String()) != nil)
}
