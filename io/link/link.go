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
	"io"
	"time"

	"github.com/hashicorp/yamux"
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
