package gateway_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/test/answers"
	"skylarkstand/test/cut"
	"skylarkstand/test/fleet"
)

// rawAnswer returns an answer to a request of the platform's way, as written on the wire, with these header lines.
func rawAnswer(rq *http.Request, statusLine, lines, body string) string {
	id := rq.Header.Get("X-Skylarkstand-Attempt-Id")
	return statusLine + "\r\nX-Skylarkstand-Attempt-Id: " + id + "\r\nX-Skylarkstand-Response-Seal: seal-" + id + "\r\n" + lines + "\r\n" + body
}

// events are those of a stream.
var events = []string{"id: 1\ndata: one\n\n", "id: 2\ndata: two\n\n", "id: 3\ndata: three\n\n"}

// eventsAfter returns the events that a request of a stream asks for.
func eventsAfter(rq *http.Request) string {
	after, _ := strconv.Atoi(rq.Header.Get("Last-Event-Id"))
	return strings.Join(events[min(after, len(events)):], "")
}

// patience is the time limit of requests whose answers must not depend on it.
const patience = time.Minute

// newAddressFixture starts a gateway in front of upstreams of two services that listen at the same addresses. It accepts
// bodies of up to 16 MB and gives up no attempt for a slow machine.
func newAddressFixture(t *testing.T, addrs ...string) *fixture {
	t.Helper()
	fx := newStoreFixture(t)
	conf := fx.configuration(2, "key-1")
	conf["limits"].(object)["max_body_bytes"] = 16 << 20
	for _, rt := range conf["routes"].([]object) {
		rt["timeout_ms"], rt["target_latency_ms"] = patience.Milliseconds(), patience.Milliseconds()
	}
	fx.st.Put("op/config", conf)
	for i, addr := range addrs {
		for _, service := range []string{"desk", "lm"} {
			fx.st.Put(fmt.Sprint("servers/i-", service, "-", i), object{
				"service": service, "address": addr, "zone": "muc-a", "version": "v1", "slots": 100, "state": "ready",
				"warmup_left_ms": 0, "sequence": 1, "born": 1,
			})
		}
	}
	gw, err := fx.fl.StartGateway("gateway", fx.store, fleet.Location{Zone: "muc-a", Region: "muc"}, retryBudget{10 * time.Second, 5, 200}.settings())
	assert.NilError(t, err)
	fx.gws = append(fx.gws, gw)
	return fx
}

// Guards against a part of an answer that a caller takes for whole: the upstream answered a long upload at once, without
// framing, and ended the connection while the upload was being written.
func TestEarlyAnswerThatBreaksOffIsNotWhole(t *testing.T) {
	body := func(rq *http.Request) string {
		if rq.Header.Get("X-Skylarkstand-Model") != "" {
			return eventsAfter(rq)
		}
		return "whole answer"
	}
	half := func(rq *http.Request, version string) string {
		return rawAnswer(rq, version+" 200 OK", "", body(rq)[:len(body(rq))/3])
	}
	sound := answers.Serve(t, func(rq *http.Request) answers.Answer {
		lines := fmt.Sprintf("Content-Length: %d\r\n", len(body(rq)))
		return answers.Answer{Text: rawAnswer(rq, "HTTP/1.1 200 OK", lines, body(rq))}
	})
	for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
		for _, end := range cut.EarlyEnds {
			t.Run(fmt.Sprint(version, " ", end), func(t *testing.T) {
				early := cut.ServeEarly(t, end, func(rq *http.Request) string { return half(rq, version) })
				fx, upload := newAddressFixture(t, early, sound), strings.Repeat("x", cut.LongUpload)
				for range 4 {
					re := fx.send(request{path: "/lookup/1", body: upload, deadline: patience})
					assert.Assert(t, re.status == http.StatusOK && re.body == "whole answer", "a lookup got %d, %q", re.status, re.body)
					re = fx.send(request{path: "/draft/1", model: "*", body: upload, deadline: patience})
					assert.Assert(t, re.err != nil || re.status == http.StatusOK && re.body == strings.Join(events, ""), "a stream got %d, %q", re.status, re.body)
				}
				fx = newAddressFixture(t, early)
				for range 4 {
					re := fx.send(request{path: "/claim/1", body: upload, deadline: patience})
					assert.Assert(t, re.status == http.StatusBadGateway, "a claim got %d, %q", re.status, re.body)
				}
			})
		}
	}
}

// Guards against an early refusal that is taken for a broken answer: the upstream states that it has not run the claim,
// while it still reads the upload, and another one runs it.
func TestEarlyRefusalIsHeeded(t *testing.T) {
	refuse := cut.ServeEarly(t, cut.EarlyReadOn, func(rq *http.Request) string {
		lines := "X-Skylarkstand-Not-Executed: 1\r\nConnection: close\r\nContent-Length: 0\r\n"
		return rawAnswer(rq, "HTTP/1.1 503 Busy", lines, "")
	})
	sound := answers.Serve(t, func(rq *http.Request) answers.Answer {
		return answers.Answer{Text: rawAnswer(rq, "HTTP/1.1 200 OK", "Content-Length: 5\r\n", "whole")}
	})
	fx, upload := newAddressFixture(t, refuse, sound), strings.Repeat("x", cut.LongUpload)
	for range 10 {
		re := fx.send(request{path: "/claim/1", body: upload, deadline: patience})
		assert.Assert(t, re.status == http.StatusOK && re.body == "whole", "a claim got %d, %q", re.status, re.body)
	}
	fx = newAddressFixture(t, refuse)
	re := fx.send(request{path: "/claim/1", body: upload, deadline: patience})
	assert.Equal(t, re.status, http.StatusServiceUnavailable)
}
