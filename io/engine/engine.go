// Package engine speaks to a model engine: HTTP with server-sent events in
// the shape of the OpenAI-compatible chat completions API.
//
// The attempt's id goes out as X-Request-Id, and every event must carry it in
// its id. An engine that mixes answers up is noticed by that.
//
// # Usage
//
//	eng := engine.New(deps, "http://127.0.0.1:9000")
//	ans, err := eng.Run(ctx, attempt)
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"skylarkstand/core"
)

// Engine is one model engine. It implements [core.Runner].
type Engine struct {
	deps core.Deps
	url  string
	cli  *http.Client
}

const (
	dialLimit = 2 * time.Second
	idleConns = 256
	// maxAnswer bounds an answer that is not streamed, in bytes.
	maxAnswer = 16 << 20
)

// New returns the engine at a base URL.
func New(deps core.Deps, base string) *Engine {
	tr := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialLimit}).DialContext,
		MaxIdleConnsPerHost: idleConns, MaxIdleConns: idleConns, IdleConnTimeout: time.Minute,
	}
	return &Engine{deps: deps, url: base, cli: &http.Client{Transport: tr}}
}

// Run implements [core.Runner].
func (eng *Engine) Run(ctx context.Context, at *core.Attempt) (core.Answer, error) {
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, eng.url+"/v1/chat/completions", bytes.NewReader(at.Body))
	if err != nil {
		return nil, core.Refuse(core.CodeInternalError, 0, "the request to the engine cannot be built: %v", err)
	}
	rq.Header.Set("Content-Type", "application/json")
	rq.Header.Set("X-Request-Id", string(at.ID))
	rs, err := eng.cli.Do(rq)
	if err != nil {
		return nil, eng.doFailure(ctx, err)
	}
	if rs.StatusCode != http.StatusOK {
		defer rs.Body.Close()
		msg, _ := io.ReadAll(io.LimitReader(rs.Body, 512))
		return nil, &core.Failure{Code: core.CodeUpstream, Ran: core.RanFailed, RetryAfter: time.Second,
			Message: "the engine answered " + rs.Status + ": " + string(bytes.TrimSpace(msg))}
	}
	if at.Stream {
		return newStream(eng, rs, at.ID), nil
	}
	return eng.readWhole(rs, at.ID)
}

// doFailure tells a call that never reached the engine from one that may have.
func (eng *Engine) doFailure(ctx context.Context, err error) *core.Failure {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return core.Refuse(core.CodeNoUpstream, time.Second, "the engine cannot be reached")
	}
	if ctx.Err() != nil {
		return &core.Failure{Code: core.CodeCallerGone, Ran: core.RanUnknown, Message: "the caller gave up or its deadline passed"}
	}
	return eng.broken("the engine broke the call off")
}

// probeLimit bounds a try to reach the engine. It is on this host.
const probeLimit = 500 * time.Millisecond

// Probe reports whether the engine answers HTTP at all.
//
// That it accepts a connection is not enough: while a process goes down, the
// kernel closes its connections one by one, and the listener may be the last.
// A crash was then taken for a broken call, and the request that caused it
// cost one upstream more.
func (eng *Engine) Probe() error {
	ctx, cancel := context.WithTimeout(context.Background(), probeLimit)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, eng.url+"/health", http.NoBody)
	if err != nil {
		return eris.Wrap(err, "engine")
	}
	rs, err := eng.cli.Do(rq)
	if err != nil {
		return eris.Wrap(err, "engine")
	}
	return rs.Body.Close()
}

// broken tells a crash of the engine from a call that it broke off alone. The
// requests in flight at a crash are suspected to be its cause.
func (eng *Engine) broken(message string) *core.Failure {
	if eng.Probe() == nil {
		return core.Lost("%s", message)
	}
	return &core.Failure{Code: core.CodeCrashed, Ran: core.RanFailed, RetryAfter: time.Second, Message: "the engine went down with this request in flight"}
}

// whole is an answer that is not streamed.
type whole struct {
	body  []byte
	ctype string
	usage core.Usage
	read  bool
}

type usageBody struct {
	ID    string `json:"id"`
	Usage *struct {
		Prompt    core.Tokens `json:"prompt_tokens"`
		Generated core.Tokens `json:"completion_tokens"`
	} `json:"usage"`
}

func (eng *Engine) readWhole(rs *http.Response, id core.AttemptID) (core.Answer, error) {
	defer rs.Body.Close()
	body, err := io.ReadAll(io.LimitReader(rs.Body, maxAnswer+1))
	if err != nil {
		return nil, eng.broken("the engine broke the answer off")
	}
	if len(body) > maxAnswer {
		return nil, &core.Failure{Code: core.CodeTooLarge, Ran: core.RanFailed, Message: "the engine's answer is too large"}
	}
	var ub usageBody
	if err := json.Unmarshal(body, &ub); err != nil || ub.ID != answerID(id) {
		return nil, &core.Failure{Code: core.CodeUpstream, Ran: core.RanFailed, RetryAfter: time.Second,
			Message: "the engine gave another request's answer"}
	}
	wh := &whole{body: body, ctype: rs.Header.Get("Content-Type")}
	if ub.Usage != nil {
		wh.usage = core.Usage{Prompt: ub.Usage.Prompt, Generated: ub.Usage.Generated}
	}
	return wh, nil
}

func answerID(id core.AttemptID) string { return "chatcmpl-" + string(id) }

func (wh *whole) Next() ([]byte, error) {
	if wh.read {
		return nil, io.EOF
	}
	wh.read = true
	return wh.body, nil
}

func (wh *whole) Usage() core.Usage   { return wh.usage }
func (wh *whole) Status() int         { return http.StatusOK }
func (wh *whole) ContentType() string { return wh.ctype }
func (wh *whole) Close()              {}

// ReplayOf implements [core.Answer]: an upstream stores nothing.
func (wh *whole) ReplayOf() core.AttemptID { return "" }
