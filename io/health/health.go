// Package health asks whether an upstream on this host still responds to HTTP.
//
// A successful connect is not enough: while a process terminates, the kernel closes its connections
// one by one, and the listener may be the last.
//
// # Usage
//
//	if err := health.Check(cli, "http://127.0.0.1:9000"); err != nil { … it has crashed … }
package health

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"skylarkstand/io/head"
)

// timeout bounds one check. It is short because the upstream runs on this host.
const timeout = 500 * time.Millisecond

// NoRedirect makes a client return a redirect as the response. Followed, it would send the request, or another
// one, to an address that no configuration names.
func NoRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Check returns nil if the upstream at a base URL responds at all, with whatever status: one that is in trouble and
// sends what is no response has not crashed.
func Check(cli *http.Client, base string) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/health", http.NoBody)
	if err != nil {
		return eris.Wrap(err, "the health check cannot be built")
	}
	rs, err := cli.Do(rq)
	if errors.Is(err, head.ErrMalformed) {
		return nil
	}
	if err != nil {
		return eris.Wrap(err, "the upstream does not respond")
	}
	return rs.Body.Close()
}
