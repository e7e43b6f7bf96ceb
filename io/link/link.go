// Package link implements the protocol between two processes of the system: a yamux session over
// TCP with one control stream and one stream for each attempt.
//
// The control stream is symmetric with regard to the configuration: each side announces the
// generation that it has in force, and the side with the older one requests the newer. A
// configuration thus reaches every process linked with one that has it, even while the store is
// unavailable.
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
	// keepAlive is the interval at which an idle link is probed. A peer that hangs, or whose host
	// fails without closing its connections, is detected within keepAlive plus writeTimeout, and
	// its upstream gets no more work.
	keepAlive    = 2 * time.Second
	writeTimeout = 3 * time.Second
	// acceptBacklog bounds the streams that a peer has opened and this side has not accepted yet; a
	// burst of new attempts must not wait for the accept loop.
	acceptBacklog = 4096
	// maxStreamWindow bounds the unread data of one stream, in bytes: a slow caller occupies at
	// most that much memory.
	maxStreamWindow = 1 << 20
	// dialTimeout bounds one connection attempt; the pauses between attempts grow up to
	// maxRedialPause, so that a restarted peer gets work within seconds.
	dialTimeout    = 2 * time.Second
	minRedialPause = 50 * time.Millisecond
	maxRedialPause = 3 * time.Second
)

// Config returns the session settings for both sides.
func Config() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.AcceptBacklog = acceptBacklog
	cfg.KeepAliveInterval = keepAlive
	cfg.ConnectionWriteTimeout = writeTimeout
	cfg.MaxStreamWindowSize = maxStreamWindow
	cfg.LogOutput = io.Discard
	return cfg
}

// Dial connects to a peer and opens a session with its control stream.
func Dial(ctx context.Context, addr string) (*yamux.Session, *yamux.Stream, error) {
	dl := net.Dialer{Timeout: dialTimeout}
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

// Accept opens the server side of a session on an accepted connection and accepts its control
// stream. The session ends with the context or when the returned function is called.
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

// Redial calls connect repeatedly until the context ends, with a growing pause after connections
// that lasted for maxRedialPause or less.
func Redial(ctx context.Context, connect func(context.Context)) {
	bo := backoff.NewExponentialBackOff()
	bo.InitialInterval, bo.MaxInterval = minRedialPause, maxRedialPause
	for ctx.Err() == nil {
		started := time.Now()
		connect(ctx)
		if time.Since(started) > maxRedialPause {
			bo.Reset()
		}
		select {
		case <-time.After(bo.NextBackOff()):
		case <-ctx.Done():
		}
	}
}
