// Package upstream is a stand-in for an upstream of the users' platform, a model
// engine or a plain service. It validates requests as the platform's upstreams
// do, and fails on demand.
//
// # Usage
//
//	up := upstream.New("i-1", "desk", "v1")
//	srv := httptest.NewServer(up)
//	st.Put("servers/i-1", up.HostEntry(addr, "muc-a", "ready"))
//	up.SetMode(upstream.CutOff)
package upstream

import (
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Mode is how the upstream responds to requests.
type Mode int

// The modes.
const (
	// Answer: the request is run and answered normally.
	Answer Mode = iota
	// Overloaded: the request is refused without being run.
	Overloaded
	// Fail: the request is run and answered with an error.
	Fail
	// CutOff: the request is run, and its stream is cut off; see [Upstream.SetCut].
	CutOff
	// Slow: the request is run, with a delay before the answer.
	Slow
)

// slowDelay is the delay before a slow answer, and before each event of a slow stream.
const slowDelay = 300 * time.Millisecond

// Run records a request that was run.
type Run struct {
	ID, Path, Method, Body, Workspace, Model, LastEventID string
	DeadlineMs                                            int
	Header                                                http.Header
}

// Upstream is an upstream. It implements http.Handler and is safe for concurrent use.
type Upstream struct {
	id, service, version string

	mu   sync.Mutex
	mode Mode
	runs []Run
	// rateLimit is the value of the rate limit header; empty for none.
	rateLimit string
	// retryAfter is the value of the Retry-After header of refusals; empty for none.
	retryAfter string
	// draining is whether all responses report that the upstream is draining.
	draining bool
	// unframed is whether streams have neither a length nor chunks and end with their connection.
	unframed bool
	cut      Cut
	restarts int
	arrivals []Arrival
}

// Arrival is a request that reached the upstream.
type Arrival struct {
	ID string
	At time.Time
}

// Cut is how streams are cut off.
type Cut struct {
	// After is the number of bytes of the stream's events that are sent.
	After int
	// Reset resets the connection instead of closing it.
	Reset bool
	// Once makes the upstream answer normally again after the first cut.
	Once bool
	// Before is called before the connection ends; nil for nothing.
	Before func()
}

// defaultCut is in the middle of the third event.
var defaultCut = Cut{After: len(Event(1)) + len(Event(2)) + 8}

// New returns an upstream of a service and version.
func New(id, service, version string) *Upstream {
	return &Upstream{id: id, service: service, version: version, cut: defaultCut}
}

// SetUnframed makes all further streams end with their connection, without a length or chunks.
func (up *Upstream) SetUnframed() {
	up.mu.Lock()
	defer up.mu.Unlock()
	up.unframed = true
}

// SetCut makes the upstream cut off all further streams, or one.
func (up *Upstream) SetCut(cu Cut) {
	up.mu.Lock()
	defer up.mu.Unlock()
	up.mode, up.cut = CutOff, cu
}

// HostEntry returns the upstream's entry in the host list, with its address.
func (up *Upstream) HostEntry(addr, zone, state string) map[string]any {
	return map[string]any{
		"service": up.service, "address": addr, "zone": zone, "version": up.version, "slots": 6, "state": state,
		"warmup_left_ms": 0, "sequence": 1, "born": up.born(),
	}
}

// ID returns the upstream's id.
func (up *Upstream) ID() string { return up.id }

// SetMode sets how the upstream responds to all further requests.
func (up *Upstream) SetMode(mo Mode) {
	up.mu.Lock()
	defer up.mu.Unlock()
	up.mode = mo
}

// SetRateLimit makes all further responses contain a rate limit, in requests a second of all gateways
// together. The upstream does not enforce it.
func (up *Upstream) SetRateLimit(rate float64) {
	up.setRateLimit(strconv.FormatFloat(rate, 'f', -1, 64))
}

// LiftRateLimit ends the rate limit.
func (up *Upstream) LiftRateLimit() { up.setRateLimit("") }

func (up *Upstream) setRateLimit(val string) {
	up.mu.Lock()
	defer up.mu.Unlock()
	up.rateLimit = val
}

// SetRetryAfter sets the Retry-After of all further refusals, in seconds; 0 for none.
func (up *Upstream) SetRetryAfter(seconds float64) {
	up.mu.Lock()
	defer up.mu.Unlock()
	up.retryAfter = ""
	if seconds > 0 {
		up.retryAfter = strconv.FormatFloat(seconds, 'f', -1, 64)
	}
}

// StartDraining makes all further responses report that the upstream is draining. Its entry in the
// host list does not change.
func (up *Upstream) StartDraining() {
	up.mu.Lock()
	defer up.mu.Unlock()
	up.draining = true
}

// Restart resets the upstream's signals and makes it a new incarnation. The caller must write its
// entry in the host list again.
func (up *Upstream) Restart() {
	up.mu.Lock()
	defer up.mu.Unlock()
	up.rateLimit, up.retryAfter, up.draining = "", "", false
	up.restarts++
}

// born returns the start of this incarnation, in milliseconds since 1970.
func (up *Upstream) born() int {
	up.mu.Lock()
	defer up.mu.Unlock()
	return 1 + up.restarts
}

// Arrivals returns the times at which requests arrived, in order, including those that were refused.
func (up *Upstream) Arrivals() []time.Time {
	up.mu.Lock()
	defer up.mu.Unlock()
	out := make([]time.Time, len(up.arrivals))
	for i, ar := range up.arrivals {
		out[i] = ar.At
	}
	return out
}

// RequestArrivals returns the requests that arrived, in order, including those that were refused.
func (up *Upstream) RequestArrivals() []Arrival {
	up.mu.Lock()
	defer up.mu.Unlock()
	return append([]Arrival(nil), up.arrivals...)
}

// Runs returns the requests that were run, in order.
func (up *Upstream) Runs() []Run {
	up.mu.Lock()
	defer up.mu.Unlock()
	return append([]Run(nil), up.runs...)
}

// ServeHTTP implements http.Handler.
func (up *Upstream) ServeHTTP(w http.ResponseWriter, rq *http.Request) {
	body, err := io.ReadAll(rq.Body)
	if err != nil {
		return
	}
	hd := w.Header()
	hd.Set("X-Skylarkstand-Attempt-Id", rq.Header.Get("X-Skylarkstand-Attempt-Id"))
	if rq.Header.Get("X-Skylarkstand-Expect-Instance") != up.id {
		hd.Set("X-Skylarkstand-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	up.mu.Lock()
	mode := up.mode
	up.arrivals = append(up.arrivals, Arrival{rq.Header.Get("X-Skylarkstand-Attempt-Id"), time.Now()})
	if up.rateLimit != "" {
		hd.Set("Server-Limit", up.rateLimit)
	}
	if up.draining {
		hd.Set("Server-Leaving", "1")
	}
	if mode == Overloaded && up.retryAfter != "" {
		hd.Set("Retry-After", up.retryAfter)
	}
	if mode != Overloaded {
		up.runs = append(up.runs, newRun(rq, body))
	}
	up.mu.Unlock()
	switch mode {
	case Overloaded:
		hd.Set("X-Skylarkstand-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Fail:
		hd.Set("X-Skylarkstand-Response-Seal", "seal-"+up.id)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	hd.Set("X-Skylarkstand-Response-Seal", "seal-"+up.id)
	hd.Set("X-Skylarkstand-Server-Load", "1,0,6")
	if rq.Header.Get("X-Skylarkstand-Model") != "" {
		hd.Set("X-Skylarkstand-Confidence", "90")
		up.stream(w, rq, mode)
		return
	}
	if mode == Slow {
		time.Sleep(slowDelay)
	}
	_, _ = fmt.Fprintf(w, "%s did %s", up.id, body)
}

func newRun(rq *http.Request, body []byte) Run {
	hd := rq.Header
	ms, _ := strconv.Atoi(hd.Get("X-Skylarkstand-Deadline-Ms"))
	return Run{
		ID: hd.Get("X-Skylarkstand-Attempt-Id"), Path: rq.RequestURI, Method: rq.Method, Body: string(body),
		Workspace: hd.Get("X-Skylarkstand-Tenant"), Model: hd.Get("X-Skylarkstand-Model"), LastEventID: hd.Get("Last-Event-Id"),
		DeadlineMs: ms, Header: hd.Clone(),
	}
}

// streamEvents is the number of events in a stream.
const streamEvents = 6

// Event returns event n of a stream, as written on the wire.
func Event(n int) string { return fmt.Sprintf("id: %d\ndata: word %d\n\n", n, n) }

func (up *Upstream) stream(w http.ResponseWriter, rq *http.Request, mode Mode) {
	up.mu.Lock()
	unframed, cut := up.unframed, up.cut
	if mode == CutOff && cut.Once {
		up.mode = Answer
	}
	up.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	if unframed {
		w.Header().Set("Transfer-Encoding", "identity") // net/http then sends no framing.
	}
	after, _ := strconv.Atoi(rq.Header.Get("Last-Event-Id"))
	ctl := http.NewResponseController(w)
	left := math.MaxInt
	if mode == CutOff {
		left = cut.After
	}
	_ = ctl.Flush()
	for n := after + 1; n <= streamEvents; n++ {
		if mode == Slow {
			time.Sleep(slowDelay)
		}
		ev := Event(n)
		_, _ = io.WriteString(w, ev[:min(left, len(ev))])
		_ = ctl.Flush()
		if left -= len(ev); left < 0 {
			if cut.Before != nil {
				cut.Before()
			}
			breakOff(w, cut.Reset)
		}
	}
}

// breakOff ends the connection before the end of the response.
func breakOff(w http.ResponseWriter, reset bool) {
	if nc, _, err := http.NewResponseController(w).Hijack(); err == nil {
		if tc, ok := nc.(*net.TCPConn); ok && reset {
			_ = tc.SetLinger(0)
		}
		_ = nc.Close()
	}
	panic(http.ErrAbortHandler)
}
