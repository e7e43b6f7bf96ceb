package service_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/io/service"
	"skylarkstand/test/cut"
)

// Guards against a call that is given up since its service, which is busy or paused, is slow to read it.
func TestServiceThatReadsLateIsAwaited(t *testing.T) {
	const pause = 3500 * time.Millisecond // Longer than the limit on unacknowledged bytes between hosts.
	li, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer li.Close()
	go func() {
		nc, err := li.Accept()
		if err != nil {
			return
		}
		defer nc.Close()
		rq, err := http.ReadRequest(bufio.NewReader(nc))
		if err != nil {
			return
		}
		time.Sleep(pause)
		_, _ = io.Copy(io.Discard, rq.Body)
		_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
	}()
	ans, err := service.New("http://"+li.Addr().String()).Run(t.Context(), &core.Attempt{ID: "a", Operation: "claim", Body: make([]byte, cut.LongUpload)})
	assert.NilError(t, err)
	data, err := ans.Next()
	assert.NilError(t, err)
	assert.Equal(t, string(data), "done")
}
