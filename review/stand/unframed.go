package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// confirmation is the body of a booking, in two halves that are written one after the other.
	confirmationHalf = 400
	// halfPause is the time between the halves, and eventPause that between two events.
	halfPause  = 400 * time.Millisecond
	eventPause = 100 * time.Millisecond
)

// runnerMain is the runner process of the case unframed. It answers without a length, so that each answer ends
// with its connection, and prints its address.
func runnerMain(id string) error {
	li, err := net.Listen("tcp", "127.0.2.1:0")
	if err != nil {
		return err
	}
	fmt.Println(li.Addr())
	for {
		nc, err := li.Accept()
		if err != nil {
			return err
		}
		go serveUnframed(nc, id)
	}
}

func serveUnframed(nc net.Conn, id string) {
	defer nc.Close()
	rq, err := http.ReadRequest(bufio.NewReader(nc))
	if err != nil {
		return
	}
	head := fmt.Sprintf("X-Skylarkstand-Attempt-Id: %s\r\nX-Skylarkstand-Instance-Id: %s\r\nConnection: close\r\n", rq.Header.Get("X-Skylarkstand-Attempt-Id"), id)
	switch expected := rq.Header.Get("X-Skylarkstand-Expect-Instance"); {
	case rq.URL.Path == "/healthz":
		fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\n%sContent-Length: 0\r\n\r\n", head)
		return
	case expected != "" && expected != id:
		fmt.Fprintf(nc, "HTTP/1.1 421 Misdirected Request\r\n%sX-Skylarkstand-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", head)
		return
	}
	// The whole request is read first, so that the end of the process does not reset the connection.
	if _, err := fmt.Fscanf(rq.Body, "%s", new(string)); err != nil {
		return
	}
	kind := "text/plain"
	if strings.HasPrefix(rq.URL.Path, "/draft/") {
		kind = "text/event-stream"
	}
	fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\n%sContent-Type: %s\r\nX-Skylarkstand-Response-Seal: seal-%s\r\n\r\n", head, kind, id)
	if kind == "text/plain" {
		fmt.Fprint(nc, strings.Repeat("a", confirmationHalf))
		time.Sleep(halfPause)
		fmt.Fprint(nc, strings.Repeat("b", confirmationHalf))
		return
	}
	after, _ := strconv.Atoi(rq.Header.Get("Last-Event-Id"))
	for n := after + 1; n <= streamLength; n++ {
		fmt.Fprint(nc, event(n, 40))
		time.Sleep(eventPause)
	}
}

// startRunnerProcess starts a runner as a process of its own and registers it.
func (wo *world) startRunnerProcess(id, zone string, services ...string) (*exec.Cmd, error) {
	cmd := exec.Command(os.Args[0], "--runner", id)
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	wo.addProcess(cmd)
	addr, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		return nil, err
	}
	for _, sv := range services {
		wo.st.Put("servers/"+id, object{
			"service": sv, "address": strings.TrimSpace(addr), "zone": zone, "version": "1", "slots": 64,
			"state": "ready", "warmup_left_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
		})
	}
	wo.logf("runner %s of %v is registered at %s", id, services, strings.TrimSpace(addr))
	return cmd, nil
}

// playUnframed kills one of six runners of each of two services while they answer.
func playUnframed(wo *world, trouble bool) error {
	wo.configure(7, []object{{"name": "hule930", "api_keys": []string{"n2ctnfzs989anu6wsjnb"}, "priority": 1}}, []object{
		{
			"name": "r-draft", "host": host, "prefix": "/draft/", "route_type": "streaming", "timeout_ms": 20000, "target_latency_ms": 4000,
			"gap_target_ms": 800, "priority": 1, "max_attempts": 3, "public": false, "session_affinity": true, "stream_resume": true, "service": "drafter",
		},
		{
			"name": "r-book", "host": host, "prefix": "/book/", "route_type": "unsafe", "timeout_ms": 6000, "target_latency_ms": 400,
			"priority": 2, "service": "desk", "max_attempts": 1, "public": false,
		},
	}, "drafter", "desk")
	zones := []string{"muc-a", "nue-a", "muc-b"}
	victims := map[string]*exec.Cmd{}
	for i := range 6 {
		for _, sv := range []string{"drafter", "desk"} {
			cmd, err := wo.startRunnerProcess(fmt.Sprintf("i-%s-%d", sv, i), zones[i%3], sv)
			if err != nil {
				return err
			}
			if i == 0 {
				victims[sv] = cmd
			}
		}
	}
	if err := wo.startGateways("muc-a", "muc-a", "nue-a", "muc-b"); err != nil {
		return err
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	wrong, complete := 0, 0
	check := func(id string, an answer, whole bool) {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case an.err != nil || an.status != http.StatusOK:
		case whole:
			complete++
		default:
			wrong++
			wo.logf("the answer to %s looks complete, and it is not: %d bytes, seal %s", id, len(an.body), an.header.Get("X-Skylarkstand-Response-Seal"))
		}
	}
	for n := range 48 {
		gw, id := wo.gws[n%len(wo.gws)], fmt.Sprintf("u%03d", n)
		wg.Go(func() {
			if n%2 == 0 {
				an := wo.send(gw, request{id: id, path: "/draft/2f", key: "n2ctnfzs989anu6wsjnb", model: "daka510000", deadline: 20 * time.Second})
				check(id, an, fmt.Sprint(eventIDs(an.body)) == fmt.Sprint([]int{1, 2, 3, 4, 5, 6, 7, 8}))
				return
			}
			an := wo.send(gw, request{id: id, path: "/book/2f", key: "n2ctnfzs989anu6wsjnb", deadline: 6 * time.Second})
			check(id, an, len(an.body) == 2*confirmationHalf)
		})
	}
	time.Sleep(halfPause / 2)
	if trouble {
		for sv, cmd := range victims {
			_ = cmd.Process.Kill()
			wo.logf("a runner of %s, i-%s-0, is killed", sv, sv)
		}
	}
	wg.Wait()
	wo.logf("%d answers are complete, %d look so and are not", complete, wrong)
	switch {
	case wrong > 0:
		return errBroken
	case complete == 0:
		return fmt.Errorf("no answer is complete")
	}
	return nil
}
