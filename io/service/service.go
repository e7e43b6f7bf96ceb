// Package service calls a plain service by HTTP: POST /{operation}.
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
)

// Service is one plain service. It implements [core.Runner].
type Service struct {
	url string
	cli *http.Client
}

const (
	dialLimit = 2 * time.Second
	idleConns = 256
	maxAnswer = 1 << 20
)

// New returns the service at a base URL.
//
// net/http sends an idempotent-looking request again by itself when a kept
// connection breaks, and takes an Idempotency-Key header as leave to do so. The
// key is therefore passed under another name and the body without a way to
// rewind it: a call reaches the service at most once.
func New(base string) *Service {
	tr := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialLimit}).DialContext,
		MaxIdleConnsPerHost: idleConns, IdleConnTimeout: time.Minute,
	}
	return &Service{url: base, cli: &http.Client{Transport: tr}}
}

// KeyHeader carries the caller's idempotency key to the service.
const KeyHeader = "Skylarkstand-Idempotency-Key"

// Run implements [core.Runner].
func (svc *Service) Run(ctx context.Context, at *core.Attempt) (core.Answer, error) {
	body := io.NopCloser(bytes.NewReader(at.Body))
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, svc.url+"/"+url.PathEscape(string(at.Operation)), body)
	if err != nil {
		return nil, core.Refuse(core.CodeInternalError, 0, "the request to the service cannot be built: %v", err)
	}
	rq.ContentLength = int64(len(at.Body))
	rq.GetBody = nil
	rq.Header.Set("Content-Type", "application/json")
	rq.Header.Set("X-Request-Id", string(at.ID))
	if at.IdempotencyKey != "" {
		rq.Header.Set(KeyHeader, at.IdempotencyKey)
	}
	rs, err := svc.cli.Do(rq)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return nil, core.Refuse(core.CodeNoUpstream, time.Second, "the service cannot be reached")
		}
		return nil, core.Lost("the service broke the call off")
	}
	defer rs.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(rs.Body, maxAnswer+1))
	if err != nil {
		return nil, core.Lost("the service broke its answer off")
	}
	if len(raw) > maxAnswer {
		return nil, &core.Failure{Code: core.CodeTooLarge, Ran: core.RanFailed, Message: "the service's answer is too large"}
	}
	return &answer{status: rs.StatusCode, ctype: rs.Header.Get("Content-Type"), body: raw}, nil
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

// ReplayOf implements [core.Answer]: an upstream stores nothing.
func (an *answer) ReplayOf() core.AttemptID { return "" }
