// Package service is the HTTP client of a plain service: POST /{operation}.
//
// # Usage
//
//	svc := service.New("http://127.0.0.1:9100")
//	ans, err := svc.Run(ctx, attempt)
package service

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"skylarkstand/core"
	"skylarkstand/io/header"
	"skylarkstand/io/health"
	"skylarkstand/io/upstream"
)

// Service is the client of one plain service. It implements [core.Runner].
type Service struct {
	url string
	cli *http.Client
	// onSignals receives the signals of each answer; nil until it is set.
	onSignals func(sent time.Time, si core.Signals)
}

const (
	dialTimeout = 2 * time.Second
	// maxAnswer is the maximum size of an answer in bytes.
	maxAnswer = 1 << 20
)

// New returns a client for the service at a base URL.
//
// The key is not sent as Idempotency-Key, which clients and proxies take for the permission to send a request again.
//
// Answers of a service have no id. Each call has a connection of its own, on which no late answer to another
// call can arrive.
func New(base string) *Service {
	tr := upstream.NewTransport(upstream.Dialer(net.Dialer{Timeout: dialTimeout}), upstream.OneRequestPerConnection())
	return &Service{url: base, cli: &http.Client{Transport: tr, CheckRedirect: health.NoRedirect}}
}

// IdempotencyKeyHeader is the header that carries the caller's idempotency key to the service.
const IdempotencyKeyHeader = "Skylarkstand-Idempotency-Key"

// OnSignals implements [core.SignalSource].
func (svc *Service) OnSignals(fn func(sent time.Time, si core.Signals)) { svc.onSignals = fn }

// Run implements [core.Runner].
func (svc *Service) Run(ctx context.Context, at *core.Attempt) (core.Answer, error) {
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, svc.url+"/"+url.PathEscape(string(at.Operation)), bytes.NewReader(at.Body))
	if err != nil {
		return nil, core.Refuse(core.CodeInternalError, 0, "the request to the service cannot be built: %v", err)
	}
	rq.Header.Set("Content-Type", "application/json")
	rq.Header.Set("X-Request-Id", string(at.ID))
	if at.IdempotencyKey != "" {
		rq.Header.Set(IdempotencyKeyHeader, at.IdempotencyKey)
	}
	sent := time.Now()
	rs, err := svc.cli.Do(rq)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return nil, core.Refuse(core.CodeNoUpstream, time.Second, "the service cannot be reached")
		}
		return nil, core.OutcomeUnknown("the service broke the call off")
	}
	defer rs.Body.Close()
	if svc.onSignals != nil {
		svc.onSignals(sent, header.Signals(rs))
	}
	raw, err := io.ReadAll(io.LimitReader(rs.Body, maxAnswer+1))
	if err != nil {
		return nil, core.OutcomeUnknown("the service broke its answer off")
	}
	if len(raw) > maxAnswer {
		return nil, &core.Failure{Code: core.CodeTooLarge, Ran: core.RanFailed, Message: "the service's answer is too large"}
	}
	if unframed(rs) && health.Check(svc.cli, svc.url) != nil {
		return nil, core.OutcomeUnknown("the service ended while it answered")
	}
	return &answer{status: rs.StatusCode, ctype: rs.Header.Get("Content-Type"), body: raw}, nil
}

// unframed reports whether a response ends with its connection, also if the service has crashed.
func unframed(rs *http.Response) bool {
	return rs.ContentLength < 0 && len(rs.TransferEncoding) == 0
}

type answer struct {
	status int
	ctype  string
	body   []byte
	read   bool
}

func (an *answer) Next() ([]byte, error) {
	if an.read || len(an.body) == 0 {
		return nil, io.EOF
	}
	an.read = true
	return an.body, nil
}

func (an *answer) Usage() core.Usage   { return core.Usage{} }
func (an *answer) Status() int         { return an.status }
func (an *answer) ContentType() string { return an.ctype }
func (an *answer) Close()              {}

// ReplayOf implements [core.Answer]. It is always empty: an upstream stores no answers.
func (an *answer) ReplayOf() core.AttemptID { return "" }
