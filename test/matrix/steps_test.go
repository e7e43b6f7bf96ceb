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
	"first-token": func(wo *fixture) func() { return streamed(wo, 1) },
	"mid-stream":  func(wo *fixture) func() { return streamed(wo, answerWords/3) },
	"ended":       ended,
	"billed":      billed,
}

// noop is returned by steps that need no release and by faults that need no healing.
func noop() {}

// accepted sends half of a request's body and delays the rest.
func accepted(wo *fixture) func() {
	wo.agent = "desk-1"
	as := wo.newRequest(wo.entry)
	conn, err := net.Dial("tcp", strings.TrimPrefix(wo.entry.URL, "http://"))
	assert.NilError(wo.t, err)
	body := fmt.Sprintf(`{"model":"desk","stream":true,"messages":[{"role":"user","content":"#tag=%s "}]}`, as.tag)
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer schools-key\r\nX-Request-Id: %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		as.id, len(body), body[:len(body)/2])
	assert.NilError(wo.t, err)
	return func() {
		defer close(as.done)
		defer conn.Close()
		_, _ = io.WriteString(conn, body[len(body)/2:])
		rs, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			as.err = err
			return
		}
		defer rs.Body.Close()
		as.reply = fleet.ReadReply(rs)
	}
}

// queued fills all slots of the version with long answers before it sends the request.
func queued(wo *fixture) func() {
	wo.poll("all slots are busy", func() bool {
		// Power-of-two-choices balancing does not spread a few requests evenly, so
		// requests are added until no slot is free.
		wo.chat(wo.entry, "#words=150 ", true)
		time.Sleep(100 * time.Millisecond)
		busy := 0
		for _, id := range []string{"desk-1", "desk-2"} {
			for _, ru := range journal[engineRun](wo, id+"-engine") {
				if !ru.Whole && ru.Tag != "" {
					busy++
				}
			}
		}
		return busy >= 4
	})
	wo.agent = "desk-1"
	wo.chat(wo.entry, "", true)
	return noop
}

// routed stalls the links to both agents of the version, so that the request reaches
// neither of them.
func routed(wo *fixture) func() {
	wo.agent = "desk-1"
	for _, id := range []string{"desk-1", "desk-2"} {
		wo.fl.Relay(id).Stall()
	}
	wo.chat(wo.entry, "", true)
	time.Sleep(200 * time.Millisecond)
	return func() {
		for _, id := range []string{"desk-1", "desk-2"} {
			wo.fl.Relay(id).Restore()
		}
	}
}

// handedOver freezes both agents of the version, so that the request waits unread on
// the link.
func handedOver(wo *fixture) func() {
	wo.agent = "desk-1"
	for _, id := range []string{"desk-1", "desk-2"} {
		wo.fl.Process(id).Freeze()
	}
	wo.chat(wo.entry, "", true)
	time.Sleep(200 * time.Millisecond)
	return func() {
		for _, id := range []string{"desk-1", "desk-2"} {
			wo.fl.Process(id).Resume()
		}
	}
}

// claiming slows the store down, so that the write of the claim is in flight.
func claiming(wo *fixture) func() {
	wo.agent = "orders-1"
	wo.setFaults("store", `{"slow":400}`)
	wo.call(wo.entry, "claiming")
	time.Sleep(150 * time.Millisecond)
	return func() { wo.setFaults("store", `{}`) }
}

func running(wo *fixture) func() {
	as := wo.call(wo.entry, "running")
	wo.awaitStart(as)
	return noop
}

func sent(wo *fixture) func() {
	as := wo.chat(wo.entry, "", true)
	wo.awaitStart(as)
	return noop
}

// streamed waits until the caller has received a number of tokens.
func streamed(wo *fixture, tokens int) func() {
	as := wo.newRequest(wo.entry)
	reached := make(chan struct{})
	go func() {
		defer close(as.done)
		as.reply, as.err = fleet.StreamChat(wo.entry.URL, "schools-key", "desk", "#tag="+as.tag+" ", as.id, func(got int) {
			if got == tokens {
				close(reached)
			}
		})
	}()
	wo.awaitStart(as)
	select {
	case <-reached:
	case <-as.done:
		wo.t.Fatalf("the stream ended before token %d: reply %v, error %v", tokens, as.reply, as.err)
	}
	return noop
}

func ended(wo *fixture) func() {
	as := wo.chat(wo.entry, "#words=5 ", true)
	wo.awaitStart(as)
	<-as.done
	return noop
}

func billed(wo *fixture) func() {
	as := wo.chat(wo.entry, "#words=5 ", true)
	wo.awaitStart(as)
	<-as.done
	wo.poll("the bill is durable for "+as.id, func() bool {
		bills, _ := wo.bills()
		return bills[as.id] > 0
	})
	return noop
}

// setFaults sets the injected faults of a stand-in; body is their JSON.
func (wo *fixture) setFaults(standin, body string) {
	wo.t.Helper()
	assert.NilError(wo.t, fleet.PostFaults(wo.fl.Process(standin).URL+"/faults", body))
}
