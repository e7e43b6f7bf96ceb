package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"skylarkstand/core"
)

// client sends attempts over HTTP.
type client struct{ http *http.Client }

// maxConns is the number of idle connections that the client keeps, in total and per host.
const maxConns = 4096

func newClient() *client {
	return &client{&http.Client{Transport: &http.Transport{MaxIdleConns: maxConns, MaxIdleConnsPerHost: maxConns}}}
}

// call is one request with the values that all its attempts share, and the latest pin.
type call struct {
	kind    *Request
	entry   string
	id      string
	session string
	pin     string
	body    []byte
}

func newCall(rq *Request, entry, id string) *call {
	ca := &call{kind: rq, entry: entry, id: id, body: []byte(`{}`)}
	if rq.Model == "" {
		return ca
	}
	words := strings.Repeat("light ", max(rq.PromptWords, 1))
	raw, err := json.Marshal(chat{rq.Model, rq.Stream, []message{{"user", strings.TrimSpace(words)}}})
	if err == nil {
		ca.body = raw
	}
	return ca
}

type chat struct {
	Model    string    `json:"model"`
	Stream   bool      `json:"stream"`
	Messages []message `json:"messages"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (ca *call) url() string {
	if ca.kind.Model != "" {
		return ca.entry + "/v1/chat/completions"
	}
	return ca.entry + "/v1/services/" + string(ca.kind.Service) + "/" + string(ca.kind.Operation)
}

// send sends a call once. The context ends at the call's deadline; remaining is the time until
// then, which the request carries in a header.
func (cl *client) send(ctx context.Context, ca *call, remaining time.Duration) Attempt {
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, ca.url(), bytes.NewReader(ca.body))
	if err != nil {
		return Attempt{Outcome: Unsent}
	}
	rq.GetBody = nil // The transport would otherwise retry silently and hide a fault.
	hd := rq.Header
	hd.Set("Authorization", "Bearer "+ca.kind.Key)
	hd.Set("Content-Type", "application/json")
	hd.Set("X-Request-Id", ca.id)
	hd.Set("Skylarkstand-Deadline", remaining.Round(time.Millisecond).String())
	if ca.kind.Service != "" {
		hd.Set("Idempotency-Key", ca.id)
	}
	if ca.session != "" {
		hd.Set("Skylarkstand-Session", ca.session)
	}
	if ca.pin != "" {
		hd.Set("Skylarkstand-Pin", ca.pin)
	}
	began := time.Now()
	rs, err := cl.http.Do(rq)
	if err != nil {
		return Attempt{Outcome: transportOutcome(err)}
	}
	defer rs.Body.Close()
	rd := bufio.NewReader(rs.Body)
	_, _ = rd.Peek(1)
	at := Attempt{FirstByte: time.Since(began), Version: rs.Header.Get("Skylarkstand-Version"), Pin: rs.Header.Get("Skylarkstand-Pin")}
	if secs, err := strconv.Atoi(rs.Header.Get("Retry-After")); err == nil {
		at.RetryAfter = time.Duration(secs) * time.Second
	}
	if strings.HasPrefix(rs.Header.Get("Content-Type"), "text/event-stream") {
		at.readEvents(rd)
	} else {
		at.readBody(rd, rs.StatusCode)
	}
	return at
}

// transportOutcome distinguishes a request that was never sent from one whose response was cut
// off.
func transportOutcome(err error) Outcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return Unsent
	}
	return Truncated
}

// failure is the error body of the API.
type failure struct {
	Error *struct {
		Code core.Code `json:"code"`
		Ran  core.Ran  `json:"ran"`
	} `json:"error"`
}

func (at *Attempt) readBody(rd io.Reader, status int) {
	raw, err := io.ReadAll(rd)
	switch {
	case err != nil:
		at.Outcome = Truncated
	case status == http.StatusOK:
		at.Outcome = Complete
	default:
		at.parseFailure(raw)
	}
}

// readEvents reads a stream. The response is complete only if the stream ends with [DONE].
func (at *Attempt) readEvents(rd io.Reader) {
	at.Outcome = Truncated
	failing := false
	sc := bufio.NewScanner(rd)
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		switch {
		case strings.HasPrefix(sc.Text(), "event: error"):
			failing = true
		case ok && failing:
			at.parseFailure([]byte(data))
		case ok && data == "[DONE]":
			at.Outcome = Complete
		}
	}
}

// parseFailure sets the outcome from an error body. A body that is not an API error counts as
// truncated.
func (at *Attempt) parseFailure(raw []byte) {
	var fl failure
	if json.Unmarshal(raw, &fl) != nil || fl.Error == nil {
		at.Outcome = Truncated
		return
	}
	at.Code = fl.Error.Code
	switch fl.Error.Ran {
	case core.NotRun:
		at.Outcome = NotRun
	case core.RanFailed:
		at.Outcome = Ran
	default:
		at.Outcome = Unknown
	}
}
