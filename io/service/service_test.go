package service_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/io/service"
)

// serveUnframed answers each request without a length or chunks. With crash set, it stops listening
// before its first answer ends.
func serveUnframed(t *testing.T, text string, crash bool) string {
	t.Helper()
	li, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { li.Close() })
	go func() {
		for {
			nc, err := li.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(nc)); err == nil {
				_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n"+text)
			}
			if crash {
				li.Close()
			}
			nc.Close()
		}
	}()
	return "http://" + li.Addr().String()
}

// A service without framing crashes during its answer. Its part must not pass for the whole, which
// would be stored and replayed.
func TestUnframedAnswerOfAServiceThatCrashes(t *testing.T) {
	for _, crash := range []bool{true, false} {
		ans, err := service.New(serveUnframed(t, "do", crash)).Run(t.Context(), &core.Attempt{ID: "a", Operation: "claim"})
		assert.Equal(t, err != nil, crash, "%v", err)
		if !crash {
			data, err := ans.Next()
			assert.NilError(t, err)
			assert.Equal(t, string(data), "do")
		}
	}
}

// A service answers a call with a redirect: the call, or another one, was sent to an address that no
// configuration names.
func TestRedirectOfAServiceIsNotFollowed(t *testing.T) {
	for _, status := range []int{http.StatusFound, http.StatusSeeOther, http.StatusTemporaryRedirect} {
		calls := 0
		other := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls++ }))
		srv := httptest.NewServer(http.RedirectHandler(other.URL, status))
		ans, err := service.New(srv.URL).Run(t.Context(), &core.Attempt{ID: "a", Operation: "claim", IdempotencyKey: "k"})
		assert.NilError(t, err)
		assert.Equal(t, ans.Status(), status)
		assert.Equal(t, calls, 0)
		srv.Close()
		other.Close()
	}
}
