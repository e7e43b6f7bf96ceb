// Package link is the protocol between two processes of the system: a yamux
// session over TCP with one control stream and a stream for each attempt.
//
// The control stream is symmetric in what concerns the configuration: each
// side tells the generation that it has in force, and the side that is behind
// asks for the body. A configuration so reaches every process that any newer
// one is linked with, also while the store is away.
//
// # Usage
//
//	ses, err := yamux.Client(conn, link.Config())
//	st, err := ses.OpenStream()
//	co := link.NewControl(deps, inf, st, link.Handlers{State: …})
//	err = co.Serve(ctx)
package link

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/hashicorp/yamux"
	"github.com/rotisserie/eris"
)

const (
	// keepAlive is how often an idle link is probed. A peer that froze or
	// whose host went without closing its connections is noticed after
	// keepAlive plus writeLimit, and its upstream gets no more work.
	keepAlive  = 2 * time.Second
	writeLimit = 3 * time.Second
	// backlog bounds the streams that a peer opened and we did not accept
	// yet; a burst of new attempts must not wait for the accept loop.
	backlog = 4096
	// window bounds what one stream may have in flight unread, in bytes: a
	// caller that reads slowly holds that much memory at most.
	window = 1 << 20
	// dialLimit bounds one try to connect; the pauses between two grow up to
	// maxRedial, so that a peer that came back gets work within seconds.
	dialLimit   = 2 * time.Second
	firstRedial = 50 * time.Millisecond
	maxRedial   = 3 * time.Second
)

// Config returns the session settings for both sides.
func Config() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.AcceptBacklog = backlog
	cfg.KeepAliveInterval = keepAlive
	cfg.ConnectionWriteTimeout = writeLimit
	cfg.MaxStreamWindowSize = window
	cfg.LogOutput = io.Discard
	return cfg
}

// Dial opens a session to a peer with its control stream.
func Dial(ctx context.Context, addr string) (*yamux.Session, *yamux.Stream, error) {
	dl := net.Dialer{Timeout: dialLimit}
	conn, err := dl.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, nil, eris.Wrap(err, "link")
	}
	ses, err := yamux.Client(conn, Config())
	if err != nil {
		conn.Close()
		return nil, nil, eris.Wrap(err, "link")
	}
	st, err := ses.OpenStream()
	if err != nil {
		ses.Close()
		return nil, nil, eris.Wrap(err, "link")
	}
	return ses, st, nil
}

// Accept takes a session from an accepted connection, with its control
// stream. The session ends with the context.
func Accept(ctx context.Context, conn net.Conn) (*yamux.Session, *yamux.Stream, func(), error) {
	ses, err := yamux.Server(conn, Config())
	if err != nil {
		conn.Close()
		return nil, nil, nil, eris.Wrap(err, "link")
	}
	stop := context.AfterFunc(ctx, func() { ses.Close() })
	cleanup := func() {
		stop()
		ses.Close()
	}
	st, err := ses.AcceptStream()
	if err != nil {
		cleanup()
		return nil, nil, nil, eris.Wrap(err, "link")
	}
	return ses, st, cleanup, nil
}

// Redial calls connect for as long as the context lives, with a growing pause
// after connections that did not last.
func Redial(ctx context.Context, connect func(context.Context)) {
	bo := backoff.NewExponentialBackOff()
	bo.InitialInterval, bo.MaxInterval = firstRedial, maxRedial
	for ctx.Err() == nil {
		began := time.Now()
		connect(ctx)
		if time.Since(began) > maxRedial {
			bo.Reset()
		}
		select {
		case <-time.After(bo.NextBackOff()):
		case <-ctx.Done():
		}
	}
}
