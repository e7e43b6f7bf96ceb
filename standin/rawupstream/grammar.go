package rawupstream

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
)

// drawnAnswer is an answer out of all that HTTP and the platform's protocol allow. Only the three statements that
// an upstream is trusted with are true: that a request was not run (in a refusal with its id and no other), that a
// sealed success is the answer to the request that it bears the id of, and what its framing says of its end. The
// signals of an upstream's load are left out, as they would keep the requests away.
type drawnAnswer struct {
	status int
	header []string
	body   string
	// unframed ends with its connection, and chunked has chunks and these trailers.
	unframed, chunked bool
	trailer           []string
	// own is set for a success that is true: it is the whole answer to a request that was run.
	own bool
}

// refusalStatuses are those of answers that state "not run".
var refusalStatuses = []int{http.StatusBadRequest, http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

func pick[T any](rnd *rand.Rand, list ...T) T { return list[rnd.IntN(len(list))] }

// drawAnswer draws the answer to a request that was run, or was not.
func drawAnswer(rnd *rand.Rand, id, own string, ran, stream bool) drawnAnswer {
	an := drawnAnswer{status: 200 + rnd.IntN(400), body: strings.Repeat("x", rnd.IntN(50))}
	if rnd.IntN(2) == 0 {
		an.status = pick(rnd, append([]int{http.StatusOK, http.StatusInternalServerError}, refusalStatuses...)...)
	}
	success := an.status < http.StatusMultipleChoices
	other := pick(rnd, "other", id+"0", strings.ToUpper(id)+"-", " ")
	ids := pick(rnd, []string{id}, []string{id}, []string{id}, []string{id, id}, nil, []string{other}, []string{id, other}, []string{other, id}, []string{id + ", " + other})
	exact := len(ids) > 0
	for _, el := range ids {
		exact = exact && el == id
		an.header = append(an.header, headerRequest+": "+el)
	}
	statement := pick(rnd, "absent", "absent", "1", "true", "0", "false", "")
	refuses := statement == "1" || statement == "true"
	if ran && exact && refuses && isRefusal(an.status) {
		statement = "absent" // It would not be true.
	}
	if statement != "absent" {
		an.header = append(an.header, headerNotRun+": "+statement)
	}
	switch {
	case !success && rnd.IntN(2) == 0, success && ran && exact && !stream && !refuses && rnd.IntN(4) > 0:
		an.header = append(an.header, "X-Skylarkstand-Response-Seal: seal-"+id)
		if success {
			an.body, an.own = own, true
		}
	case rnd.IntN(4) == 0:
		an.header = append(an.header, "X-Skylarkstand-Response-Seal: seal-"+id, "Content-Encoding: "+pick(rnd, "gzip", "identity", "br"))
	}
	an.header = append(an.header, pick(rnd, nil, nil, nil, []string{"Connection: close"}, []string{"Retry-After: 0.01"}, []string{"Keep-Alive: timeout=1"}, []string{"X-Skylarkstand-Server-Load: 1,0,6"}, []string{"X-Folded: a", " " + headerNotRun + ": 1"})...)
	switch rnd.IntN(6) {
	case 0:
		an.chunked = true
		an.trailer = pick(rnd, nil, []string{headerNotRun + ": 1"}, []string{headerRequest + ": " + id, headerNotRun + ": 1"})
	case 1:
		an.unframed = true
	}
	if an.status == http.StatusNoContent || an.status == http.StatusNotModified {
		an.body, an.chunked, an.unframed = "", false, false
	}
	return an
}

func isRefusal(status int) bool {
	for _, st := range refusalStatuses {
		if st == status {
			return true
		}
	}
	return false
}

// wire returns the bytes of the answer.
func (an drawnAnswer) wire() []byte {
	var sb strings.Builder
	fmt.Fprintf(&sb, "HTTP/1.1 %d any\r\n", an.status)
	for _, line := range an.header {
		sb.WriteString(line + "\r\n")
	}
	switch {
	case an.chunked:
		sb.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		if an.body != "" {
			fmt.Fprintf(&sb, "%x\r\n%s\r\n", len(an.body), an.body)
		}
		sb.WriteString("0\r\n")
		for _, line := range an.trailer {
			sb.WriteString(line + "\r\n")
		}
		sb.WriteString("\r\n")
	case an.unframed:
		sb.WriteString("\r\n" + an.body)
	default:
		fmt.Fprintf(&sb, "Content-Length: %d\r\n\r\n%s", len(an.body), an.body)
	}
	return []byte(sb.String())
}

// interim are responses that stand in front of an answer and are none.
func interim(rnd *rand.Rand, id string) string {
	return pick(rnd, "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\n"+headerRequest+": "+id+"\r\n"+headerNotRun+": 1\r\n\r\n")
}

// handleAny answers a request with a drawn answer, after it was run or without that, and reports whether the
// connection is kept. misdirected requests are not run.
func (co *conn) handleAny(rq *request, misdirected bool) bool {
	up := co.up
	runs := !misdirected && rq.drawn(0.6) && up.acquire()
	var run int
	if runs {
		defer up.release()
		run = up.journal.begin(rq.id, rq.Header.Get("Last-Event-Id"))
	}
	an := drawAnswer(rq.rnd, rq.id, up.ownAnswer(rq.id), runs, rq.Header.Get("X-Skylarkstand-Model") != "")
	front, early := "", rq.rnd.IntN(4) == 0
	if rq.rnd.IntN(5) == 0 {
		front = interim(rq.rnd, rq.id)
	}
	if !runs {
		return (early || co.await(rq.whole)) && co.answerAny(front, an)
	}
	if an.own {
		up.journal.answer(rq.id, run, an.status, an.body)
	}
	// An early answer comes before the request is read and while it runs.
	if early && !co.answerAny(front, an) {
		up.journal.end(rq.id, run, false)
		return false
	}
	complete := co.await(rq.whole) && co.work(rq.about(up.cfg.Work))
	up.journal.end(rq.id, run, complete)
	return complete && (early || co.answerAny(front, an))
}

func (co *conn) answerAny(front string, an drawnAnswer) bool {
	return co.send([]byte(front)) && co.answer(an.wire()) && !an.unframed
}
