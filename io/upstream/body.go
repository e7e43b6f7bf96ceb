package upstream

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"
)

// keepAlive returns how long a connection may stay idle, according to the header of the last
// response.
func keepAlive(hd http.Header) time.Duration {
	idle := idleTimeout
	if secs, ok := timeoutParam(hd.Get("Keep-Alive")); ok {
		idle = min(idle, time.Duration(secs)*time.Second)
	}
	return idle - idleMargin
}

func timeoutParam(val string) (int, bool) {
	const name = "timeout="
	for i := 0; i+len(name) <= len(val); i++ {
		if val[i:i+len(name)] != name {
			continue
		}
		end := i + len(name)
		for end < len(val) && val[end] >= '0' && val[end] <= '9' {
			end++
		}
		secs, err := strconv.Atoi(val[i+len(name) : end])
		return secs, err == nil
	}
	return 0, false
}

// body is the body of a response. Reading it to its end returns the connection to the pool.
type body struct {
	io.ReadCloser
	cl    *Client
	co    *conn
	stop  func() bool
	reuse bool
	idle  time.Duration
	done  bool
}

// Read implements io.Reader.
func (bo *body) Read(p []byte) (int, error) {
	n, err := bo.ReadCloser.Read(p)
	if err != nil {
		bo.end(errors.Is(err, io.EOF))
	}
	return n, err
}

// Close implements io.Closer.
func (bo *body) Close() error {
	bo.end(false)
	return nil
}

// end returns the connection to the pool or closes it. The connection is kept only if the
// response is complete, the request was written completely, and no data follows the response.
func (bo *body) end(complete bool) {
	if bo.done {
		return
	}
	bo.done = true
	// A cancelled context may be about to interrupt the connection.
	if bo.stop() && complete && bo.reuse && bo.idle > 0 && bo.co.reusable() {
		bo.cl.put(bo.co, bo.idle)
		return
	}
	if complete {
		bo.cl.drop(bo.co)
	} else {
		bo.cl.abandon(bo.co)
	}
}
