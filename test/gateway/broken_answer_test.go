package gateway_test

import (
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"skylarkstand/test/answers"
)

// brokenAnswer is an answer that breaks the grammar, as written on the wire. {head} stands for the lines that a sound
// answer bears, {length} for the line of its length and {body} for its body.
type brokenAnswer struct{ testName, text string }

// inner is a body that looks like an answer.
const inner = "HTTP/1.1 200 OK\r\n{head}Content-Length: 5\r\n\r\ninner"

// assertNeverReceived sends requests whose first attempt gets a broken answer, and checks that no caller receives it:
// lookups and streams are answered by another upstream, and claims fail at once and run once.
func assertNeverReceived(t *testing.T, broken []brokenAnswer) {
	t.Helper()
	texts := map[string]string{}
	for _, ba := range broken {
		texts[ba.testName] = ba.text
	}
	var mu sync.Mutex
	arrivals := map[string]int{}
	answer := func(rq *http.Request) answers.Answer {
		id, body := rq.Header.Get("X-Skylarkstand-Attempt-Id"), "whole"
		head := "X-Skylarkstand-Attempt-Id: " + id + "\r\nX-Skylarkstand-Response-Seal: seal-" + id + "\r\n"
		if rq.Header.Get("X-Skylarkstand-Model") != "" {
			head, body = head+"Content-Type: text/event-stream\r\nX-Skylarkstand-Confidence: 95\r\n", strings.Join(events, "")
		}
		mu.Lock()
		arrivals[id]++
		first := id != "" && arrivals[id] == 1
		mu.Unlock()
		_, testName, _ := strings.Cut(rq.URL.Path[1:], "/")
		text := texts[testName]
		if !first {
			text = "HTTP/1.1 200 OK\r\n{head}{length}\r\n{body}"
		}
		length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
		return answers.Answer{Text: strings.NewReplacer("{head}", head, "{length}", length, "{body}", body).Replace(text)}
	}
	fx := newAddressFixture(t, answers.Serve(t, answer), answers.Serve(t, answer))
	for _, ba := range broken {
		t.Run(ba.testName, func(t *testing.T) {
			path := url.PathEscape(ba.testName)
			re := fx.send(request{path: "/lookup/" + path, deadline: patience})
			assert.Assert(t, re.status == http.StatusOK && re.body == "whole", "a lookup got %d, %q", re.status, re.body)
			re = fx.send(request{path: "/draft/" + path, model: "*", deadline: patience})
			assert.Assert(t, re.err == nil && re.body == strings.Join(events, ""), "a stream got %d, %q", re.status, re.body)
			re = fx.send(request{path: "/claim/" + path, deadline: patience})
			assert.Assert(t, re.status == http.StatusBadGateway, "a claim got %d, %q", re.status, re.body)
			mu.Lock()
			defer mu.Unlock()
			assert.Equal(t, arrivals[fmt.Sprint("r", fx.seq)], 1)
		})
	}
}

// Guards against an answer whose status is none that a caller gets, or the answer that its body looks like, and against a
// claim that is told of it at its deadline only.
func TestAnswerWithAnInvalidStatusIsNotReceived(t *testing.T) {
	var broken []brokenAnswer
	for _, status := range []string{"000", "099", "+20", "101", "600", "999"} {
		line := "HTTP/1.1 " + status + " Odd\r\n"
		broken = append(broken, brokenAnswer{status, line + "{head}{length}\r\n{body}"}, brokenAnswer{status + " with an inner answer", line + "{head}\r\n" + inner})
	}
	assertNeverReceived(t, broken)
}

// Guards against an answer in whose head the name of a field has a blank or a control byte: its framing was not heeded,
// so that callers got bytes that were not in its body, or a part of it.
func TestAnswerWithAMalformedFieldIsNotReceived(t *testing.T) {
	const status = "HTTP/1.1 200 OK\r\n{head}"
	assertNeverReceived(t, []brokenAnswer{
		{"blank behind Content-Length", status + "Content-Length : 5\r\n\r\nwhole and more"},
		{"blank behind Transfer-Encoding", status + "Transfer-Encoding : chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"},
		{"two lengths, one with a blank", status + "Content-Length : 500\r\nContent-Length: 3\r\n\r\n{body}"},
		{"length and encoding with a blank", status + "Transfer-Encoding : chunked\r\n{length}\r\n{body}"},
		{"blank in a name", status + "X Note: a\r\n{length}\r\n{body}"},
		{"blank behind a name", status + "X-Note : a\r\n{length}\r\n{body}"},
		{"tab behind a name", status + "X-Note\t: a\r\n{length}\r\n{body}"},
		{"control byte in a name", status + "X-N\x01te: a\r\n{length}\r\n{body}"},
		{"control byte in a value", status + "X-Note: a\x01b\r\n{length}\r\n{body}"},
		{"carriage return in a value", status + "X-Note: a\rb\r\n{length}\r\n{body}"},
		{"no name", status + ": a\r\n{length}\r\n{body}"},
		{"no colon", status + "X-Note\r\n{length}\r\n{body}"},
		{"blank in a name of an interim answer", "HTTP/1.1 103 Early Hints\r\nX Note: a\r\n\r\n" + status + "{length}\r\n{body}"},
		{"blank in a name of an answer to another request", "HTTP/1.1 200 OK\r\nX-Skylarkstand-Attempt-Id: other\r\nX Note: a\r\nContent-Length: 0\r\n\r\n" + status + "{length}\r\n{body}"},
	})
}

// Guards against an answer whose end depends on who reads it.
func TestAnswerWithAmbiguousFramingIsNotReceived(t *testing.T) {
	assertNeverReceived(t, []brokenAnswer{
		{"length and chunks", "HTTP/1.1 200 OK\r\n{head}{length}Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"},
		{"chunks by HTTP/1.0", "HTTP/1.0 200 OK\r\n{head}Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"},
		{"body of an interim answer", "HTTP/1.1 103 Early Hints\r\nContent-Length: 5\r\n\r\n" + inner},
		{"another version", "HTTP/2.0 200 OK\r\n{head}{length}\r\n{body}"},
	})
}
