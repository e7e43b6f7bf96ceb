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

// steps bring a request to a moment and return a function that lets it go on
// and end.
var steps = map[string]func(*world) func(){
	"accepted":    accepted,
	"queued":      queued,
	"routed":      routed,
	"handed-over": handedOver,
	"claiming":    claiming,
	"running":     running,
	"sent":        sent,
	"first-token": func(wo *world) func() { return streamed(wo, 1) },
	"mid-stream":  func(wo *world) func() { return streamed(wo, words/3) },
	"ended":       ended,
	"billed":      billed,
}

func goOn() {}

// accepted sends half of a body and waits with the rest.
func accepted(wo *world) func() {
	wo.agent = "desk-1"
	as := wo.newAsked(wo.one)
	conn, err := net.Dial("tcp", strings.TrimPrefix(wo.one.URL, "http://"))
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

// queued fills all slots of the version with long answers first.
func queued(wo *world) func() {
	wo.poll("all slots busy", func() bool {
		// Two choices do not spread a few requests evenly, so more are sent
		// until no slot is left.
		wo.chat(wo.one, "#words=150 ", true)
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
	wo.chat(wo.one, "", true)
	return goOn
}

// routed holds the links to both agents of the version, so that the request is
// on none of them.
func routed(wo *world) func() {
	wo.agent = "desk-1"
	for _, id := range []string{"desk-1", "desk-2"} {
		wo.fl.Relay(id).Hold()
	}
	wo.chat(wo.one, "", true)
	time.Sleep(200 * time.Millisecond)
	return func() {
		for _, id := range []string{"desk-1", "desk-2"} {
			wo.fl.Relay(id).Restore()
		}
	}
}

// handedOver freezes both agents of the version, so that the request stands on
// the link.
func handedOver(wo *world) func() {
	wo.agent = "desk-1"
	for _, id := range []string{"desk-1", "desk-2"} {
		wo.fl.Process(id).Freeze()
	}
	wo.chat(wo.one, "", true)
	time.Sleep(200 * time.Millisecond)
	return func() {
		for _, id := range []string{"desk-1", "desk-2"} {
			wo.fl.Process(id).Resume()
		}
	}
}

// claiming makes the store slow, so that the claim is on its way.
func claiming(wo *world) func() {
	wo.agent = "orders-1"
	wo.order("store", `{"slow":400}`)
	wo.call(wo.one, "claiming")
	time.Sleep(150 * time.Millisecond)
	return func() { wo.order("store", `{}`) }
}

func running(wo *world) func() {
	as := wo.call(wo.one, "running")
	wo.find(as)
	return goOn
}

func sent(wo *world) func() {
	as := wo.chat(wo.one, "", true)
	wo.find(as)
	return goOn
}

// streamed waits until the caller has read a number of tokens.
func streamed(wo *world, tokens int) func() {
	as := wo.newAsked(wo.one)
	reached := make(chan struct{})
	go func() {
		defer close(as.done)
		as.reply, as.err = fleet.ChatWatched(wo.one.URL, "schools-key", "desk", "#tag="+as.tag+" ", as.id, func(got int) {
			if got == tokens {
				close(reached)
			}
		})
	}()
	wo.find(as)
	select {
	case <-reached:
	case <-as.done:
		wo.t.Fatalf("the stream ended before its token %d: %v %v", tokens, as.reply, as.err)
	}
	return goOn
}

func ended(wo *world) func() {
	as := wo.chat(wo.one, "#words=5 ", true)
	wo.find(as)
	<-as.done
	return goOn
}

func billed(wo *world) func() {
	as := wo.chat(wo.one, "#words=5 ", true)
	wo.find(as)
	<-as.done
	wo.poll("the bill of "+as.id, func() bool {
		bills, _ := wo.bills()
		return bills[as.id] > 0
	})
	return goOn
}

func (wo *world) order(standin, faults string) {
	wo.t.Helper()
	assert.NilError(wo.t, fleet.Order(wo.fl.Process(standin).URL+"/faults", faults))
}
