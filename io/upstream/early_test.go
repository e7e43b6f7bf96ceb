package upstream_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"skylarkstand/io/upstream"
	"skylarkstand/test/cut"
)

// Guards against a part of an answer that is taken for whole: its upstream answered, without framing, before it had read
// the request, and the write heard of the end of the connection in place of the read.
func TestUnframedAnswerBeforeTheEndOfItsRequestIsNotWhole(t *testing.T) {
	for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
		for _, end := range cut.EarlyEnds {
			t.Run(fmt.Sprint(version, " ", end), func(t *testing.T) {
				addr := cut.ServeEarly(t, end, func(*http.Request) string { return version + " 200 OK\r\nId: r1\r\n\r\ndo" })
				for range 10 {
					cl, cleanup := upstream.New()
					rs, err := cl.Do(t.Context(), addr, request("r1", strings.Repeat("x", cut.LongUpload)))
					var body []byte
					if err == nil {
						body, err = io.ReadAll(rs.Body)
						rs.Body.Close()
					}
					assert.Assert(t, err != nil && upstream.MaybeSent(err), "%q was taken for whole", body)
					cleanup()
				}
			})
		}
	}
}

// Guards against the same at uploads that the buffers of the connection hold in part or whole.
func TestUnframedAnswerThatIsResetIsNotWholeAtAnySize(t *testing.T) {
	for _, end := range []cut.EarlyEnd{cut.EarlyReset, cut.EarlyUnread} {
		for _, size := range []int{64 << 10, 512 << 10, 2 << 20, 4 << 20, 6 << 20} {
			t.Run(fmt.Sprint(end, " ", size), func(t *testing.T) {
				addr := cut.ServeEarly(t, end, func(*http.Request) string { return "HTTP/1.1 200 OK\r\nId: r1\r\n\r\ndo" })
				for range 5 {
					cl, cleanup := upstream.New()
					rs, err := cl.Do(t.Context(), addr, request("r1", strings.Repeat("x", size)))
					if err == nil {
						_, err = io.ReadAll(rs.Body)
						rs.Body.Close()
					}
					assert.Assert(t, err != nil)
					cleanup()
				}
			})
		}
	}
}

// An early answer whose framing shows its end is heeded, and so is an unframed one after the whole request.
func TestSoundAnswersToLongRequests(t *testing.T) {
	long := strings.Repeat("x", cut.LongUpload)
	const (
		length, chunks = "HTTP/1.1 503 Busy\r\nId: r1\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbusy", "HTTP/1.1 503 Busy\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbusy\r\n0\r\n\r\n"
		neither        = " 200 OK\r\nId: r1\r\n\r\nbusy"
	)
	early := func(end cut.EarlyEnd, text string) string {
		return cut.ServeEarly(t, end, func(*http.Request) string { return text })
	}
	for _, sc := range []struct{ testName, addr string }{
		{"early, with a length", early(cut.EarlyEndOnly, length)},
		{"early, with chunks", early(cut.EarlyEndOnly, chunks)},
		{"early, with a length, reading on", early(cut.EarlyReadOn, length)},
		{"early, unframed, reading on", early(cut.EarlyReadOn, "HTTP/1.1"+neither)},
		{"unframed", cut.Serve(t, "HTTP/1.1"+neither, cut.Closed)},
		{"unframed by HTTP/1.0", cut.Serve(t, "HTTP/1.0"+neither, cut.Closed)},
	} {
		t.Run(sc.testName, func(t *testing.T) {
			for range 24 {
				cl, cleanup := upstream.New()
				rs, err := cl.Do(t.Context(), sc.addr, request("r1", long))
				assert.NilError(t, err)
				body, err := io.ReadAll(rs.Body)
				assert.NilError(t, err)
				assert.Equal(t, string(body), "busy")
				cleanup()
			}
		})
	}
}
