// Package answers draws HTTP/1.1 answers out of the protocol's grammar, sound ones and ones with a fault, and serves
// them, for tests of what clients take for an answer. What is drawn is known to be sound or not by its construction, and
// not by any parser.
//
// # Usage
//
//	answers.Play(t, 500, answers.Content{Body: "done"}, func(addr string, an answers.Answer) {
//		// A call of addr returns an.Status and an.Body, or an error if an.Fault is set.
//	})
package answers

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// Content is what an answer is about.
type Content struct {
	// Lines are header lines without their ends, and Body is the body. An answer that is drawn has more lines.
	Lines []string
	Body  string
	// Statuses are those that are drawn; empty for 200.
	Statuses []int
	// Framed is set if the body must have a length or chunks.
	Framed bool
	// Other are header lines of an answer to another request, which may stand in front; empty for none.
	Other []string
}

// Answer is an answer as written on the wire.
type Answer struct {
	Text, Body string
	Status     int
	// Fault is what is wrong with it; empty for a sound answer.
	Fault string
	// HeadIsBroken is set if the fault is in front of the body.
	HeadIsBroken bool
	// Unframed is set if the body has neither a length nor chunks.
	Unframed bool
	// End is what becomes of the connection.
	End End
}

// End is what becomes of a connection after an answer.
type End int

// The ends.
const (
	// Kept: it stays open until the client closes it, so that a client that waits for more waits for long.
	Kept End = iota
	// Closed: it ends in order.
	Closed
	// Reset: it is reset, once the answer has arrived.
	Reset
)

// parts are the parts of an answer, which a fault changes before they are joined.
type parts struct {
	before, version, status, reason string
	lines, framing                  []string
	body                            string
	trailer                         []string
	framed, chunked, bodyIsBroken   bool
	end                             End
}

func pick[T any](rnd *rand.Rand, list ...T) T { return list[rnd.IntN(len(list))] }

// Draw draws an answer. Half of them have a fault.
func Draw(rnd *rand.Rand, co Content) Answer {
	status := 200
	if len(co.Statuses) > 0 {
		status = pick(rnd, co.Statuses...)
	}
	pa := drawSound(rnd, co, status)
	an := Answer{Status: status, Body: co.Body}
	if rnd.IntN(2) == 0 {
		an.Fault = spoil(rnd, pa, true)
	}
	if len(co.Other) > 0 && an.Fault == "" && rnd.IntN(4) == 0 {
		an.Fault = pa.putOther(rnd, co.Other)
	}
	an.Text, an.Unframed, an.End, an.HeadIsBroken = pa.text(), !pa.framed, pa.end, an.Fault != "" && !pa.bodyIsBroken
	if an.Fault == faultCut {
		an.Text = an.Text[:rnd.IntN(len(an.Text))]
	}
	return an
}

// drawSound draws the parts of a sound answer.
func drawSound(rnd *rand.Rand, co Content, status int) *parts {
	pa := &parts{version: "HTTP/1.1", status: fmt.Sprint(status), reason: pick(rnd, " OK", " ", "", " Very \xe9 fine"), body: co.Body, framed: true}
	pa.lines = append(pa.lines, co.Lines...)
	pa.lines = append(pa.lines, pick(rnd, nil, nil, []string{"X-Odd_Name.1~: a"}, []string{"x-empty:"}, []string{"X-Wide:\t \"a\"; b=\xff \t"}, []string{"X-Folded: a", " b: c"},
		[]string{"Keep-Alive: timeout=9"}, []string{"X-Length: 3", "Content-Language: de"})...)
	for range pick(rnd, 0, 0, 0, 1, 2) {
		pa.before += pick(rnd, "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", "HTTP/1.1 102\r\n\r\n")
	}
	switch {
	case rnd.IntN(4) == 0:
		pa.version = "HTTP/1.0"
		fallthrough
	case rnd.IntN(2) == 0:
		pa.framing = []string{pick(rnd, "Content-Length: ", "content-length:", "CONTENT-LENGTH:  ") + fmt.Sprint(len(co.Body))}
	default:
		pa.chunk(rnd)
	}
	if !co.Framed && rnd.IntN(4) == 0 {
		pa.framing, pa.trailer, pa.body, pa.framed, pa.chunked, pa.end = nil, nil, co.Body, false, false, Closed
	}
	return pa
}

// putOther puts an answer to another request in front, and returns what is wrong with it.
func (pa *parts) putOther(rnd *rand.Rand, lines []string) string {
	other, fault := drawSound(rnd, Content{Lines: lines, Body: "other", Framed: true}, 200), ""
	if rnd.IntN(2) == 0 {
		fault = "answer to another request: " + spoil(rnd, other, false)
		pa.end = max(pa.end, other.end) // A fault that shows at the end of the connection.
	}
	pa.before = other.text() + pa.before
	return fault
}

// chunk splits the body into chunks.
func (pa *parts) chunk(rnd *rand.Rand) {
	pa.chunked = true
	pa.framing = []string{pick(rnd, "Transfer-Encoding: chunked", "transfer-encoding:Chunked")}
	var sb strings.Builder
	for rest := pa.body; rest != ""; {
		n := 1 + rnd.IntN(len(rest))
		fmt.Fprintf(&sb, pick(rnd, "%x", "%X", "0%x")+pick(rnd, "", "", ";ext=1")+"\r\n%s\r\n", n, rest[:n])
		rest = rest[n:]
	}
	pa.body = sb.String() + pick(rnd, "0", "00", "0;last") + "\r\n"
	pa.trailer = pick(rnd, nil, nil, []string{"Check: 1"}, []string{"X-Status: 500", "Check:"})
}

// text joins the parts.
func (pa *parts) text() string {
	var sb strings.Builder
	sb.WriteString(pa.before + pa.version + " " + pa.status + pa.reason + "\r\n")
	for _, line := range append(append([]string{}, pa.lines...), pa.framing...) {
		sb.WriteString(line + "\r\n")
	}
	sb.WriteString("\r\n" + pa.body)
	if pa.chunked {
		for _, line := range pa.trailer {
			sb.WriteString(line + "\r\n")
		}
		sb.WriteString("\r\n")
	}
	return sb.String()
}
