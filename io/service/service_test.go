package service_test

import (
	"bufio"
	"fmt"
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

// serveRepeated answers each call with the body that it was sent, and sends a copy of a connection's last answer
// before the next one.
func serveRepeated(t *testing.T) string {
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
			go func() {
				defer nc.Close()
				br, last := bufio.NewReader(nc), ""
				for {
					rq, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					body, err := io.ReadAll(rq.Body)
					if err != nil {
						return
					}
					own := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
					_, _ = io.WriteString(nc, last+own)
					last = own
				}
			}()
		}
	}()
	return "http://" + li.Addr().String()
}

// A service sends an answer twice: the copy was taken for the answer to the next call, of another caller.
func TestCopyOfAnAnswerIsNotThatOfTheNextCall(t *testing.T) {
	svc := service.New(serveRepeated(t))
	for _, want := range []string{"first", "second", "third"} {
		ans, err := svc.Run(t.Context(), &core.Attempt{ID: core.AttemptID(want), Operation: "claim", Body: []byte(want)})
		assert.NilError(t, err)
		data, err := ans.Next()
		assert.NilError(t, err)
		assert.Equal(t, string(data), want)
	}
}
