// Package engine is the client of a model engine: HTTP with server-sent events in the format of the
// OpenAI-compatible chat completions API.
//
// The attempt's id is sent as X-Request-Id, and every event must contain it in its id. This detects
// engines that mix up answers.
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

	"skylarkstand/core"
	"skylarkstand/io/header"
	"skylarkstand/io/health"
	"skylarkstand/io/upstream"
)

// Engine is the client of one model engine. It implements [core.Runner].
type Engine struct {
	deps core.Deps
	url  string
	cli  *http.Client
	// onSignals receives the signals of each answer; nil until it is set.
	onSignals func(sent time.Time, si core.Signals)
}

const (
	dialTimeout = 2 * time.Second
	// maxAnswer is the maximum size in bytes of an answer that is not streamed.
	maxAnswer = 16 << 20
)

// New returns a client for the engine at a base URL.
//
// Each call has a connection of its own: a refusal has no id, and a late one on a kept connection would be taken
// for the answer to the next call, which would go on at the engine.
func New(deps core.Deps, base string) *Engine {
	tr := upstream.NewTransport(upstream.Dialer(net.Dialer{Timeout: dialTimeout}), upstream.OneRequestPerConnection())
	return &Engine{deps: deps, url: base, cli: &http.Client{Transport: tr, CheckRedirect: health.NoRedirect}}
}

// OnSignals implements [core.SignalSource].
func (eng *Engine) OnSignals(fn func(sent time.Time, si core.Signals)) { eng.onSignals = fn }

// Run implements [core.Runner].
func (eng *Engine) Run(ctx context.Context, at *core.Attempt) (core.Answer, error) {
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, eng.url+"/v1/chat/completions", bytes.NewReader(at.Body))
	if err != nil {
		return nil, core.Refuse(core.CodeInternalError, 0, "the request to the engine cannot be built: %v", err)
	}
	rq.Header.Set("Content-Type", "application/json")
	rq.Header.Set("X-Request-Id", string(at.ID))
	sent := time.Now()
	rs, err := eng.cli.Do(rq)
	if err != nil {
		return nil, eng.callFailure(ctx, err)
	}
	if eng.onSignals != nil {
		eng.onSignals(sent, header.Signals(rs))
	}
	if rs.StatusCode != http.StatusOK {
		defer rs.Body.Close()
		msg, _ := io.ReadAll(io.LimitReader(rs.Body, 512))
		return nil, &core.Failure{Code: core.CodeUpstream, Ran: core.RanFailed, RetryAfter: max(header.Signals(rs).RetryAfter, time.Second),
			Message: "the engine answered " + rs.Status + ": " + string(bytes.TrimSpace(msg))}
	}
	if at.Stream {
		return newStream(eng, rs, at.ID), nil
	}
	return eng.readWhole(rs, at.ID)
}

// callFailure distinguishes a call that never reached the engine from one that may have.
func (eng *Engine) callFailure(ctx context.Context, err error) *core.Failure {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return core.Refuse(core.CodeNoUpstream, time.Second, "the engine cannot be reached")
	}
	if ctx.Err() != nil {
		return &core.Failure{Code: core.CodeCallerGone, Ran: core.RanUnknown, Message: "the caller gave up or its deadline passed"}
	}
	return eng.brokenCallFailure("the engine broke the call off")
}

// Probe returns nil if the engine responds to HTTP at all. A crash that is taken for a broken call lets
// the request that caused it crash one more upstream.
func (eng *Engine) Probe() error { return health.Check(eng.cli, eng.url) }

// brokenCallFailure distinguishes a crash of the engine from a single call that the engine aborted.
// The requests in flight at a crash become suspects for its cause.
func (eng *Engine) brokenCallFailure(message string) *core.Failure {
	if eng.Probe() == nil {
		return core.OutcomeUnknown("%s", message)
	}
	return &core.Failure{Code: core.CodeCrashed, Ran: core.RanFailed, RetryAfter: time.Second, Message: "the engine went down with this request in flight"}
}

// wholeAnswer is an answer that is not streamed.
type wholeAnswer struct {
	body  []byte
	ctype string
	usage core.Usage
	read  bool
}

type usageBody struct {
	ID    string `json:"id"`
	Usage *struct {
		Prompt    int64 `json:"prompt_tokens"`
		Generated int64 `json:"completion_tokens"`
	} `json:"usage"`
}

func (ub *usageBody) usage() core.Usage {
	return core.Usage{Prompt: core.TokensWithin(ub.Usage.Prompt), Generated: core.TokensWithin(ub.Usage.Generated)}
}

func (eng *Engine) readWhole(rs *http.Response, id core.AttemptID) (core.Answer, error) {
	defer rs.Body.Close()
	body, err := io.ReadAll(io.LimitReader(rs.Body, maxAnswer+1))
	if err != nil {
		return nil, eng.brokenCallFailure("the engine broke the answer off")
	}
	if len(body) > maxAnswer {
		return nil, &core.Failure{Code: core.CodeTooLarge, Ran: core.RanFailed, Message: "the engine's answer is too large"}
	}
	var ub usageBody
	if !json.Valid(body) {
		return nil, eng.brokenCallFailure("the engine broke the answer off")
	}
	if err := json.Unmarshal(body, &ub); err != nil || ub.ID != answerID(id) {
		return nil, &core.Failure{Code: core.CodeUpstream, Ran: core.RanFailed, RetryAfter: time.Second,
			Message: "the engine gave another request's answer"}
	}
	wh := &wholeAnswer{body: body, ctype: rs.Header.Get("Content-Type")}
	if ub.Usage != nil {
		wh.usage = ub.usage()
	}
	return wh, nil
}

func answerID(id core.AttemptID) string { return "chatcmpl-" + string(id) }

func (wh *wholeAnswer) Next() ([]byte, error) {
	if wh.read {
		return nil, io.EOF
	}
	wh.read = true
	return wh.body, nil
}

func (wh *wholeAnswer) Usage() core.Usage   { return wh.usage }
func (wh *wholeAnswer) Status() int         { return http.StatusOK }
func (wh *wholeAnswer) ContentType() string { return wh.ctype }
func (wh *wholeAnswer) Close()              {}

// ReplayOf implements [core.Answer]. It is always empty: an upstream stores no answers.
func (wh *wholeAnswer) ReplayOf() core.AttemptID { return "" }
