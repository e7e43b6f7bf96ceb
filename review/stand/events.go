package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// lineLength is the length of the data line of an event.
	lineLength = 1024
	// streamLength is the number of events of a stream.
	streamLength = 8
)

// playEvents breaks streams off in the middle of an event, just before the blank line that ends it.
func playEvents(wo *world, trouble bool) error {
	var broken atomic.Int64
	work := func(ru *runner, w http.ResponseWriter, rq *http.Request) {
		after, _ := strconv.Atoi(rq.Header.Get("Last-Event-Id"))
		w.Header().Set("Content-Type", "text/event-stream")
		ctl := http.NewResponseController(w)
		for n := after + 1; n <= streamLength; n++ {
			ev := event(n, lineLength)
			if trouble && after == 0 && n == 4 {
				_, _ = fmt.Fprint(w, ev[:len(ev)-1])
				_ = ctl.Flush()
				time.Sleep(50 * time.Millisecond)
				broken.Add(1)
				ru.wo.logf("runner %s resets %s in the middle of event %d", ru.id, rq.Header.Get("X-Skylarkstand-Attempt-Id"), n)
				reset(w)
			}
			if _, err := fmt.Fprint(w, ev); err != nil || ctl.Flush() != nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	wo.configure(7, []object{{"name": "hule930", "api_keys": []string{"n2ctnfzs989anu6wsjnb"}, "priority": 1}}, []object{{
		"name": "r-draft", "host": host, "prefix": "/draft/", "route_type": "streaming", "timeout_ms": 20000, "target_latency_ms": 4000,
		"gap_target_ms": 800, "priority": 1, "max_attempts": 3, "public": false, "session_affinity": true, "stream_resume": true,
		"service": "drafter",
	}}, "drafter")
	for i, zone := range []string{"muc-a", "nue-a", "muc-b"} {
		if err := wo.startRunner(&runner{id: fmt.Sprint("i-", i), service: "drafter", version: "1", zone: zone, work: work}); err != nil {
			return err
		}
	}
	if err := wo.startGateways("muc-a", "muc-a", "nue-a", "muc-b"); err != nil {
		return err
	}
	wrong := 0
	for n := range 12 {
		an := wo.send(wo.gws[n%len(wo.gws)], request{
			id: fmt.Sprintf("e%03d", n), path: "/draft/2f", key: "n2ctnfzs989anu6wsjnb", model: "daka510000", deadline: 20 * time.Second,
		})
		if an.err != nil || an.status != http.StatusOK {
			continue // It does not look complete.
		}
		if got := eventIDs(an.body); fmt.Sprint(got) != fmt.Sprint([]int{1, 2, 3, 4, 5, 6, 7, 8}) {
			wrong++
			wo.logf("the stream e%03d looks complete, and its events are %v", n, got)
		}
	}
	wo.logf("%d streams were broken off, %d arrived wrong", broken.Load(), wrong)
	if wrong > 0 {
		wo.logf("ORDER: pieces are missing in %d streams that look complete", wrong)
		return errBroken
	}
	return nil
}

// eventIDs returns the ids of the events of a stream, as a client reads them: an event ends with a blank line, and
// its id is the last one that it names.
func eventIDs(body string) []int {
	var out []int
	for _, ev := range strings.Split(body, "\n\n") {
		id := 0
		for line := range strings.Lines(ev) {
			if rest, ok := strings.CutPrefix(line, "id:"); ok {
				id, _ = strconv.Atoi(strings.TrimSpace(rest))
			}
		}
		if id > 0 {
			out = append(out, id)
		}
	}
	return out
}

// reset resets the connection of an answer.
func reset(w http.ResponseWriter) {
	if nc, _, err := http.NewResponseController(w).Hijack(); err == nil {
		if tc, ok := nc.(*net.TCPConn); ok {
			_ = tc.SetLinger(0)
		}
		_ = nc.Close()
	}
	panic(http.ErrAbortHandler)
}
