// Package rawupstream is a stand-in for an upstream of the users' platform that writes its answers to
// the connection itself, so that it can send what an HTTP server cannot: an answer twice, without the
// id of its request, or bytes that are no answer. It notices within milliseconds that a connection has
// closed, ends the request that runs there, and keeps a journal of its runs, from which
// test/oncecheck finds work that ran twice.
//
// # Usage
//
//	up := rawupstream.New(rawupstream.Config{ID: "i-1", Slots: 8, Work: 50 * time.Millisecond}, journal)
//	err := up.Serve(listener)
//	runs, err := rawupstream.ReadJournal(journal)
package rawupstream

import (
	"bufio"
	"bytes"
	"cmp"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Config describes an upstream. Shares are from 0 to 1.
type Config struct {
	ID string
	// Slots is the number of requests that run at the same time; others are refused.
	Slots int
	// Work is the mean time that a request takes before its answer begins.
	Work time.Duration
	// Events is the number of events of a stream, and Interval the mean time between two of them.
	Events   int
	Interval time.Duration
	// Seed and the ids of the requests determine all that is drawn.
	Seed   uint64
	Faults Faults
	// FaultsOf replaces Faults if it is set.
	FaultsOf func(rq *http.Request) Faults
}

// Faults are shares of requests.
type Faults struct {
	// Refuse is the share that is refused without being run, as if all slots were taken.
	Refuse float64
	// Repeat is the share before whose answer a copy of the connection's last answer arrives.
	Repeat float64
	// Unnamed is the share before whose answer a refusal without an id arrives, and UnnamedStatus its
	// status; 0 stands for 503.
	Unnamed       float64
	UnnamedStatus int
	// Lose is the share that runs and whose connection is then closed without an answer.
	Lose float64
	// Fail is the share that runs and fails, and FailStatus the status of its answer; 0 stands for 500.
	Fail       float64
	FailStatus int
	// Unsure is the share that is answered with little confidence.
	Unsure float64
	// Any is the share that is answered by any answer that the protocol's grammar allows, after a run or without
	// one; see drawAnswer.
	Any float64
	// Stale is the share before whose answer a copy of an earlier answer to the same request arrives, which may
	// have come over another connection.
	Stale float64
	// Slow is how much longer than usual a request takes before its answer begins.
	Slow time.Duration
}

// Upstream is an upstream. It is safe for concurrent use.
type Upstream struct {
	cfg     Config
	journal *journal

	mu      sync.Mutex
	running int
	// answered are the last answers by request, of all connections.
	answered map[string][]byte
}

// New returns an upstream that writes its runs to a journal.
func New(cfg Config, out io.Writer) *Upstream {
	return &Upstream{cfg: cfg, journal: &journal{out: out, upstream: cfg.ID}, answered: map[string][]byte{}}
}

// Serve accepts connections until the listener is closed.
func (up *Upstream) Serve(li net.Listener) error {
	for {
		nc, err := li.Accept()
		if err != nil {
			return err
		}
		co := &conn{Conn: nc, up: up, requests: make(chan *request), gone: make(chan struct{})}
		go co.read()
		go co.serve()
	}
}

// drawn reports true for a share of its calls.
func (rq *request) drawn(share float64) bool { return rq.rnd.Float64() < share }

// about returns a random time with the given mean; one in ten is four times as long.
func (rq *request) about(mean time.Duration) time.Duration {
	du := time.Duration(float64(mean) * (0.3 + 0.8*rq.rnd.Float64()))
	if rq.rnd.IntN(10) == 0 {
		du *= 4
	}
	return du
}

// acquire takes a slot, or returns false if all are taken.
func (up *Upstream) acquire() bool {
	up.mu.Lock()
	defer up.mu.Unlock()
	if up.running >= up.cfg.Slots {
		return false
	}
	up.running++
	return true
}

func (up *Upstream) release() {
	up.mu.Lock()
	defer up.mu.Unlock()
	up.running--
}

// request is a request whose header has been read. whole is closed once its body has been read too.
type request struct {
	*http.Request
	id     string
	faults Faults
	whole  chan struct{}
	// rnd draws by the request's id, so that the order in which requests arrive changes nothing.
	rnd *rand.Rand
}

// conn is a connection. Its requests run one after the other.
type conn struct {
	net.Conn
	up       *Upstream
	requests chan *request
	// gone is closed once the other side has closed the connection.
	gone chan struct{}
	// last is the last complete answer.
	last []byte
	// id is the id of the request that is being answered.
	id string
}

func (co *conn) read() {
	defer close(co.requests)
	defer close(co.gone)
	br := bufio.NewReader(co.Conn)
	for {
		rq, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		fa := co.up.cfg.Faults
		if co.up.cfg.FaultsOf != nil {
			fa = co.up.cfg.FaultsOf(rq)
		}
		whole := make(chan struct{})
		id := rq.Header.Get(headerRequest)
		co.requests <- &request{rq, id, fa, whole, rand.New(rand.NewPCG(co.up.cfg.Seed, xxhash.Sum64String(id)))}
		if _, err := io.Copy(io.Discard, rq.Body); err != nil {
			return
		}
		close(whole)
	}
}

func (co *conn) serve() {
	defer co.Close()
	for rq := range co.requests {
		if !co.handle(rq) {
			break
		}
	}
	co.Close()
	for range co.requests { // The reader must not wait for a receiver.
	}
}

// Headers of the platform's upstreams.
const (
	headerRequest = "X-Skylarkstand-Attempt-Id"
	headerNotRun  = "X-Skylarkstand-Not-Executed"
)

// handle answers a request, and reports whether the connection is kept.
func (co *conn) handle(rq *request) bool {
	up, fa := co.up, rq.faults
	co.id = rq.id
	if stale := up.lastAnswer(rq.id); stale != nil && rq.drawn(fa.Stale) && !co.send(stale) {
		return false
	}
	if rq.drawn(fa.Unnamed) && !co.send(refusal("", cmp.Or(fa.UnnamedStatus, http.StatusServiceUnavailable))) {
		return false
	}
	if co.last != nil && rq.drawn(fa.Repeat) && !co.send(co.last) {
		return false
	}
	expected := rq.Header.Get("X-Skylarkstand-Expect-Instance")
	misdirected := expected != "" && expected != up.cfg.ID
	if rq.id != "" && rq.drawn(fa.Any) {
		return co.handleAny(rq, misdirected)
	}
	switch {
	case !co.await(rq.whole):
		return false
	case rq.id == "": // A health check or a query.
		return co.answer(refusal("", http.StatusTooManyRequests))
	case misdirected:
		return co.answer(refusal(rq.id, http.StatusMisdirectedRequest))
	case rq.drawn(fa.Refuse) || !up.acquire():
		return co.answer(refusal(rq.id, http.StatusServiceUnavailable))
	}
	defer up.release()
	run := up.journal.begin(rq.id, rq.Header.Get("Last-Event-Id"))
	kept, complete := co.run(rq, run)
	up.journal.end(rq.id, run, complete)
	return kept
}

// run runs a request. It reports whether the connection is kept, and whether the run came to its end.
func (co *conn) run(rq *request, run int) (kept, complete bool) {
	up, fa := co.up, rq.faults
	if !co.work(rq.about(up.cfg.Work) + fa.Slow) {
		return false, false
	}
	switch {
	case rq.drawn(fa.Lose):
		return false, true
	case rq.drawn(fa.Fail):
		return co.answer(answer(rq.id, cmp.Or(fa.FailStatus, http.StatusInternalServerError), "")), true
	case rq.Header.Get("X-Skylarkstand-Model") != "":
		return co.stream(rq)
	default:
		up.journal.answer(rq.id, run, http.StatusOK, up.ownAnswer(rq.id))
		return co.answer(answer(rq.id, http.StatusOK, up.ownAnswer(rq.id))), true
	}
}

// ownAnswer is the body of a success.
func (up *Upstream) ownAnswer(id string) string { return up.cfg.ID + " did " + id }

// lastAnswer returns the last answer to a request, of any connection; nil if there is none.
func (up *Upstream) lastAnswer(id string) []byte {
	up.mu.Lock()
	defer up.mu.Unlock()
	return up.answered[id]
}

// await waits until a channel is closed, and returns false if the connection closes before.
func (co *conn) await(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	case <-co.gone:
		return false
	}
}

// work takes its time, and returns false if the connection closes meanwhile.
func (co *conn) work(du time.Duration) bool {
	select {
	case <-co.gone:
		return false
	case <-time.After(du):
		return true
	}
}

// stream sends the events after Last-Event-Id.
func (co *conn) stream(rq *request) (kept, complete bool) {
	up := co.up
	confidence := 95
	if rq.drawn(rq.faults.Unsure) {
		confidence = 10
	}
	var sent bytes.Buffer
	write := func(text string) bool {
		sent.WriteString(text)
		return co.send([]byte(text))
	}
	if !write(head(rq.id, http.StatusOK) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" +
		"X-Skylarkstand-Confidence: " + strconv.Itoa(confidence) + "\r\n\r\n") {
		return false, false
	}
	after, _ := strconv.Atoi(rq.Header.Get("Last-Event-Id"))
	for n := after + 1; n <= up.cfg.Events; n++ {
		if !co.work(rq.about(up.cfg.Interval)) {
			return false, false
		}
		ev := fmt.Sprintf("id: %d\ndata: word %d\n\n", n, n)
		if !write(fmt.Sprintf("%x\r\n%s\r\n", len(ev), ev)) {
			return false, false
		}
	}
	if !write("0\r\n\r\n") {
		return false, true
	}
	co.last = sent.Bytes()
	return true, true
}

// answer sends an answer that may be repeated later.
func (co *conn) answer(data []byte) bool {
	co.last = data
	if co.id != "" {
		co.up.mu.Lock()
		co.up.answered[co.id] = data
		co.up.mu.Unlock()
	}
	return co.send(data)
}

func (co *conn) send(data []byte) bool {
	_, err := co.Write(data)
	return err == nil
}

func head(id string, status int) string {
	out := fmt.Sprintf("HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id != "" {
		out += headerRequest + ": " + id + "\r\nX-Skylarkstand-Response-Seal: seal-" + id + "\r\n"
	}
	return out
}

func answer(id string, status int, body string) []byte {
	return []byte(head(id, status) + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body)
}

// refusal is the answer to a request that was not run.
func refusal(id string, status int) []byte {
	out := fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: 1\r\nContent-Length: 0\r\n", status, http.StatusText(status), headerNotRun)
	if id != "" {
		out += headerRequest + ": " + id + "\r\n"
	}
	return []byte(out + "\r\n")
}
