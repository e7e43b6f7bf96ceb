package upstream

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// echo answers with what arrived of a request.
func echo(w http.ResponseWriter, rq *http.Request) {
	body, _ := io.ReadAll(rq.Body)
	fmt.Fprintf(w, "%s %s %s %s %v", rq.Method, rq.RequestURI, rq.Header.Get("Note"), body, rq.Close)
}

func send(t *testing.T, tr *Transport, method, url, body string) (string, error) {
	t.Helper()
	rq, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	assert.NilError(t, err)
	rq.Header.Set("Note", "lamp")
	rs, err := (&http.Client{Transport: tr}).Do(rq)
	if err != nil {
		return "", err
	}
	defer rs.Body.Close()
	got, err := io.ReadAll(rs.Body)
	return string(got), err
}

func TestTransport(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(echo))
	defer srv.Close()
	for _, sc := range []struct {
		testName string
		opts     []Option
		want     string
	}{
		{"kept connections", nil, "POST /claim?n=1 lamp body false"},
		{"a connection for each request", []Option{OneRequestPerConnection()}, "POST /claim?n=1 lamp body true"},
	} {
		t.Run(sc.testName, func(t *testing.T) {
			tr := NewTransport(sc.opts...)
			defer tr.CloseIdleConnections()
			for range 2 {
				got, err := send(t, tr, http.MethodPost, srv.URL+"/claim?n=1", "body")
				assert.NilError(t, err)
				assert.Equal(t, got, sc.want)
			}
			idle := 0
			if po := tr.plain.pools[strings.TrimPrefix(srv.URL, "http://")]; po != nil {
				idle = len(po.idle)
			}
			assert.Equal(t, idle, 1-len(sc.opts))
		})
	}
}

func TestTransportByTLS(t *testing.T) {
	srv := httptest.NewTLSServer(http.HandlerFunc(echo))
	defer srv.Close()
	roots := x509.NewCertPool()
	roots.AddCert(srv.Certificate())
	tr := NewTransport()
	defer tr.CloseIdleConnections()
	tr.secure.dial = func(ctx context.Context, addr string) (net.Conn, error) {
		return dialTLS(ctx, tr.plain.dial, addr, &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12})
	}
	for range 2 {
		got, err := send(t, tr, http.MethodPost, srv.URL+"/claim", strings.Repeat("x", maxInlineBody+1))
		assert.NilError(t, err)
		assert.Equal(t, len(got), len("POST /claim lamp  false")+maxInlineBody+1)
	}
	_, err := send(t, NewTransport(), http.MethodGet, srv.URL, "")
	assert.Assert(t, err != nil && !MaybeSent(err), "a certificate that nobody vouches for was accepted: %v", err)
}

// Guards against a compressed body that is passed on without its encoding.
func TestTransportRejectsAContentEncoding(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, rq *http.Request) {
		w.Header().Set("Content-Encoding", "gzip")
		fmt.Fprint(w, rq.Header.Get("Accept-Encoding"))
	}))
	defer srv.Close()
	_, err := send(t, NewTransport(), http.MethodGet, srv.URL, "")
	assert.ErrorIs(t, err, errContentEncoding)
	assert.Assert(t, MaybeSent(err))
}

func TestTransportOfAnotherScheme(t *testing.T) {
	_, err := send(t, NewTransport(), http.MethodGet, "ftp://127.0.0.1/x", "")
	assert.ErrorContains(t, err, "neither http nor https")
	assert.Assert(t, !MaybeSent(err))
}
