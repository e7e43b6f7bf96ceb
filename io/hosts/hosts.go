// Package hosts reads the platform's list of live and leaving hosts by HTTP.
//
// # Usage
//
//	list, err := hosts.New("http://127.0.0.1:9300").List(ctx)
package hosts

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"skylarkstand/core"
	"skylarkstand/io/limited"
	"skylarkstand/io/upstream"
)

// List is the client of the platform's host list. It implements [core.Hosts].
type List struct {
	url string
	cli *http.Client
}

const callTimeout = 2 * time.Second

// New returns a client for the host list at a base URL.
func New(base string) *List {
	return &List{url: base, cli: &http.Client{Timeout: callTimeout, Transport: upstream.NewTransport(upstream.Dialer(net.Dialer{Timeout: callTimeout}))}}
}

// List implements [core.Hosts].
func (li *List) List(ctx context.Context) ([]core.Host, error) {
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, li.url+"/v1/hosts", http.NoBody)
	if err != nil {
		return nil, eris.Wrap(err, "read the host list")
	}
	rs, err := li.cli.Do(rq)
	if err != nil {
		return nil, eris.Wrap(err, "read the host list")
	}
	defer rs.Body.Close()
	if rs.StatusCode != http.StatusOK {
		return nil, eris.Errorf("read the host list: the server responded with status %s", rs.Status)
	}
	var list []core.Host
	if err := limited.DecodeJSON(rs.Body, &list); err != nil {
		return nil, eris.Wrap(err, "read the host list")
	}
	return list, nil
}
