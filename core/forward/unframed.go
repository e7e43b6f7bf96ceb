package forward

import (
	"context"
	"errors"
	"net/http"

	"skylarkstand/core"
)

// errNoEnd is why an unframed answer that ended with its connection is not complete.
var errNoEnd = errors.New("the connection ended, and with it the upstream or an answer without its body")

// bodyHistory is what the answers of a route were so far, without those that were empty and unframed.
type bodyHistory struct{ full, empty bool }

// isWhole reports whether an answer is complete whose body has ended. An unframed one also ends when its upstream
// crashes or is stopped: then no process listens at the address any more, or, if it was stopped before its first byte,
// a route whose answers have bodies gets none.
func (at *attempt) isWhole(empty bool) bool {
	if !at.unframed() {
		at.recordBody(empty)
		return true
	}
	if empty && at.expectsBody() {
		return false
	}
	at.atEnd = at.probeAddress()
	if at.atEnd == core.ConnectionRefused {
		return false
	}
	if !empty {
		at.recordBody(false)
	}
	return true
}

// probeAddress finds out whether a process listens at the upstream's address. The connection is kept for the next
// request: the one of an unframed answer cannot be used again.
func (at *attempt) probeAddress() core.ConnectionState {
	pr, ok := at.jb.fw.client.(core.ConnectionProber)
	if !ok {
		return core.ConnectionUnknown
	}
	ctx, cancel := context.WithTimeout(at.ctx, probeTimeout)
	defer cancel()
	return pr.ProbeConnection(ctx, at.to)
}

// maxBodies bounds the routes whose answers are remembered. Routes come and go with configurations.
const maxBodies = 4096

// recordBody records whether a success had a body.
func (at *attempt) recordBody(empty bool) {
	if at.reply.Status >= http.StatusMultipleChoices || at.reply.Status == http.StatusNoContent || at.jb.ex.Method == http.MethodHead {
		return
	}
	fw := at.jb.fw
	fw.mu.Lock()
	defer fw.mu.Unlock()
	if len(fw.bodies) >= maxBodies {
		clear(fw.bodies)
	}
	hist := fw.bodies[at.jb.rt.ID]
	hist.full, hist.empty = hist.full || !empty, hist.empty || empty
	fw.bodies[at.jb.rt.ID] = hist
}

// expectsBody reports whether a success of the route has a body, as far as is known.
func (at *attempt) expectsBody() bool {
	fw := at.jb.fw
	fw.mu.Lock()
	defer fw.mu.Unlock()
	hist := fw.bodies[at.jb.rt.ID]
	return at.reply.Status < http.StatusMultipleChoices && hist.full && !hist.empty
}
