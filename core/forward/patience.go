package forward

import (
	"time"

	"skylarkstand/core"
	"skylarkstand/core/route"
)

const (
	// patienceAim is the part of a route's aim that an attempt may use before
	// another upstream is asked. Less than half leaves the second attempt the
	// time to be good still.
	patienceAim = 0.45
	// patienceStream is that part for streams. Their first event takes seconds
	// when the engine reads long prompts, and what was read is lost when they are
	// given up; an engine without power is found by its connections.
	patienceStream = 0.9
	// patienceUsual bounds it from below by the usual time to an answer: under
	// load all upstreams are slow, and giving up on them would only add work.
	patienceUsual = 4
	// patienceRead bounds it from below by the time that the upstream needs to
	// read this prompt and those before it. The longest prompts take six times
	// the usual, at any upstream.
	patienceRead = 5
	// patienceBusy is how many times as long an upstream is given that answers
	// others meanwhile.
	patienceBusy = 4
	// patienceLeft is the part of the time left beyond which there is no use
	// in giving an attempt up.
	patienceLeft = 0.7
	// stallGaps is how many of a route's longest good pauses a stream may be
	// silent for before it goes on elsewhere, and stallLeast the least.
	stallGaps  = 2.5
	stallLeast = 2 * time.Second
	// leastLeft is the time left below which no attempt is begun: a round trip
	// and the shortest work.
	leastLeft = 15 * time.Millisecond
)

// patience returns how long an attempt may take to its header before another
// upstream is asked; 0 is to the end. Usual is the route's usual time to a
// header, 0 when it is not known, and read the expected time for the prompts at
// the upstream.
//
// Some upstreams take a request and never answer it, with their health check
// good, and some lose power with the request in hand. The caller's connection
// would wait for its deadline. Work that may not run twice has to wait.
func patience(rt *route.Route, usual, read, left time.Duration) time.Duration {
	if !rt.Repeat.Repeatable() || rt.Aim <= 0 {
		return 0
	}
	part := patienceAim
	if rt.Stream {
		part = patienceStream
	}
	wait := max(time.Duration(part*float64(rt.Aim)), patienceUsual*usual, patienceRead*read)
	if wait > time.Duration(patienceLeft*float64(left)) {
		return 0
	}
	return wait
}

// stall returns how long a stream may be silent once it has begun; 0 is for
// ever.
func stall(rt *route.Route) time.Duration {
	if rt.Repeat != core.Resumable || rt.Gap <= 0 {
		return 0
	}
	return max(time.Duration(stallGaps*float64(rt.Gap)), stallLeast)
}
