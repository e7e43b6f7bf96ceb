package upstream

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"

	"skylarkstand/io/head"
)

// Transport is an [http.RoundTripper], so that the answers to an http.Client are read, and judged, as those of
// upstreams are. It sends each request once, decodes no content encoding and uses no proxy.
//
// # Usage
//
//	cli := &http.Client{Transport: upstream.NewTransport(upstream.OneRequestPerConnection())}
type Transport struct{ plain, secure *Client }

// NewTransport returns a Transport. Its http.Client closes idle connections by CloseIdleConnections.
func NewTransport(opts ...Option) *Transport {
	tr := new(Transport)
	tr.plain, _ = New(opts...)
	tr.secure, _ = New(opts...)
	dialPlain := tr.secure.dial
	tr.secure.dial = func(ctx context.Context, addr string) (net.Conn, error) {
		return dialTLS(ctx, dialPlain, addr, &tls.Config{MinVersion: tls.VersionTLS12})
	}
	return tr
}

// dialTLS opens a connection and encrypts it; cfg is changed.
func dialTLS(ctx context.Context, dial func(context.Context, string) (net.Conn, error), addr string, cfg *tls.Config) (net.Conn, error) {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, err
	}
	nc, err := dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	cfg.ServerName, cfg.NextProtos = host, []string{"http/1.1"}
	tc := tls.Client(nc, cfg)
	if err := tc.HandshakeContext(ctx); err != nil {
		nc.Close()
		return nil, err
	}
	return tc, nil
}

// CloseIdleConnections closes the connections that carry no request.
func (tr *Transport) CloseIdleConnections() {
	tr.plain.closeIdle()
	tr.secure.closeIdle()
}

// errContentEncoding is the error of a response whose body the caller could not read.
var errContentEncoding = fmt.Errorf("%w: its content encoding was not asked for", head.ErrMalformed)

// RoundTrip implements [http.RoundTripper]. Its errors are of type *Error.
func (tr *Transport) RoundTrip(rq *http.Request) (*http.Response, error) {
	body, err := readBody(rq)
	if err != nil {
		return nil, &Error{Err: err}
	}
	cl, addr, err := tr.target(rq)
	if err != nil {
		return nil, &Error{Err: err}
	}
	hd := rq.Header.Clone()
	if hd == nil {
		hd = http.Header{}
	}
	hd.Set("Accept-Encoding", "identity")
	rs, err := cl.Do(rq.Context(), addr, &Request{Method: rq.Method, Target: rq.URL.RequestURI(), Host: rq.URL.Host, Header: hd, Body: body})
	if err != nil {
		return nil, err
	}
	if coding := rs.Header.Get("Content-Encoding"); coding != "" && coding != "identity" {
		rs.Body.Close()
		return nil, &Error{Sent: true, Err: errContentEncoding}
	}
	out := *rs.parsed
	out.Body, out.Request = rs.Body, rq
	return &out, nil
}

func readBody(rq *http.Request) ([]byte, error) {
	if rq.Body == nil {
		return nil, nil
	}
	defer rq.Body.Close()
	return io.ReadAll(rq.Body)
}

// target returns the client and the address for a request's URL.
func (tr *Transport) target(rq *http.Request) (*Client, string, error) {
	cl, port := tr.plain, "80"
	switch rq.URL.Scheme {
	case "http":
	case "https":
		cl, port = tr.secure, "443"
	default:
		return nil, "", fmt.Errorf("the scheme of %s is neither http nor https", rq.URL.Redacted())
	}
	if given := rq.URL.Port(); given != "" {
		port = given
	}
	return cl, net.JoinHostPort(rq.URL.Hostname(), port), nil
}
