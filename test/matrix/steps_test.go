package matrix_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/test/fleet"
)

// steps bring a request to a step and return a function that lets it continue to its
// end.
var steps = map[string]func(*fixture) func(){
	"accepted":    accepted,
	"queued":      queued,
	"routed":      routed,
	"handed-over": handedOver,
	"claiming":    claiming,
	"running":     running,
	"sent":        sent,
	"first-token": func(fx *fixture) func() { return streamed(fx, 1) },
	"mid-stream":  func(fx *fixture) func() { return streamed(fx, answerWords/3) },
	"ended":       ended,
	"billed":      billed,
}

// noop is returned by steps that need no release and by faults that need no removal.
func noop() {}

// accepted sends half of a request's body and delays the rest.
func accepted(fx *fixture) func() {
	fx.upstreamID = "desk-1"
	rq := fx.newRequest(fx.entry)
	conn, err := net.Dial("tcp", strings.TrimPrefix(fx.entry.URL, "http://"))
	assert.NilError(fx.t, err)
	body := fmt.Sprintf(`{"model":"desk","stream":true,"messages":[{"role":"user","content":"#tag=%s "}]}`, rq.tag)
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer schools-key\r\nX-Request-Id: %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		rq.id, len(body), body[:len(body)/2])
	assert.NilError(fx.t, err)
	return func() {
		defer close(rq.done)
		defer conn.Close()
		_, _ = io.WriteString(conn, body[len(body)/2:])
		rs, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			rq.err = err
			return
		}
		defer rs.Body.Close()
		rq.reply = fleet.ReadReply(rs)
	}
}

// queued fills all slots of the version with long answers before it sends the request.
func queued(fx *fixture) func() {
	fx.poll("all slots are busy", func() bool {
		// Power-of-two-choices balancing does not spread a few requests evenly, so
		// requests are added until no slot is free.
		fx.chat(fx.entry, "#words=150 ", true)
		time.Sleep(100 * time.Millisecond)
		busy := 0
		for _, id := range []string{"desk-1", "desk-2"} {
			for _, ru := range journal[engineRun](fx, id+"-engine") {
				if !ru.Whole && ru.Tag != "" {
					busy++
				}
			}
		}
		return busy >= 4
	})
	fx.upstreamID = "desk-1"
	fx.chat(fx.entry, "", true)
	return noop
}

// routed stalls the links to both agents of the version, so that the request reaches
// neither of them.
func routed(fx *fixture) func() {
	fx.upstreamID = "desk-1"
	for _, id := range []string{"desk-1", "desk-2"} {
		fx.fl.Relay(id).Stall()
	}
	fx.chat(fx.entry, "", true)
	time.Sleep(200 * time.Millisecond)
	return func() {
		for _, id := range []string{"desk-1", "desk-2"} {
			fx.fl.Relay(id).Restore()
		}
	}
}

// handedOver freezes both agents of the version, so that the request waits unread on
// the link.
func handedOver(fx *fixture) func() {
	fx.upstreamID = "desk-1"
	for _, id := range []string{"desk-1", "desk-2"} {
		fx.fl.Process(id).Freeze()
	}
	fx.chat(fx.entry, "", true)
	time.Sleep(200 * time.Millisecond)
	return func() {
		for _, id := range []string{"desk-1", "desk-2"} {
			fx.fl.Process(id).Resume()
		}
	}
}

// claiming slows the store down, so that the write of the claim is in flight.
func claiming(fx *fixture) func() {
	fx.upstreamID = "orders-1"
	fx.setFaults("store", `{"slow":400}`)
	fx.call(fx.entry, "claiming")
	time.Sleep(150 * time.Millisecond)
	return func() { fx.setFaults("store", `{}`) }
}

func running(fx *fixture) func() {
	rq := fx.call(fx.entry, "running")
	fx.awaitStart(rq)
	return noop
}

func sent(fx *fixture) func() {
	rq := fx.chat(fx.entry, "", true)
	fx.awaitStart(rq)
	return noop
}

// streamed waits until the caller has received a number of tokens.
func streamed(fx *fixture, tokens int) func() {
	rq := fx.newRequest(fx.entry)
	reached := make(chan struct{})
	go func() {
		defer close(rq.done)
		rq.reply, rq.err = fleet.StreamChat(fx.entry.URL, "schools-key", "desk", "#tag="+rq.tag+" ", rq.id, func(got int) {
			if got == tokens {
				close(reached)
			}
		})
	}()
	fx.awaitStart(rq)
	select {
	case <-reached:
	case <-rq.done:
		fx.t.Fatalf("the stream ended before token %d: reply %v, error %v", tokens, rq.reply, rq.err)
	}
	return noop
}

func ended(fx *fixture) func() {
	rq := fx.chat(fx.entry, "#words=5 ", true)
	fx.awaitStart(rq)
	<-rq.done
	return noop
}

func billed(fx *fixture) func() {
	rq := fx.chat(fx.entry, "#words=5 ", true)
	fx.awaitStart(rq)
	<-rq.done
	fx.poll("the bill is durable for "+rq.id, func() bool {
		bills, _ := fx.bills()
		return bills[rq.id] > 0
	})
	return noop
}

// setFaults sets the injected faults of a stand-in; body is their JSON.
func (fx *fixture) setFaults(standin, body string) {
	fx.t.Helper()
	assert.NilError(fx.t, fleet.PostFaults(fx.fl.Process(standin).URL+"/faults", body))
}
