package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"time"
)

const (
	poisonBody = "a floor plan that crashes engines"
	// downTime is how long a crashed runner is down, and silentTime how long its entry stays in the store: three
	// heartbeats.
	downTime   = 3 * time.Second
	silentTime = 3600 * time.Millisecond
	// requestInterval is the pause between two requests, poisonEvery the number of them of which one is the
	// poisonous one, and maxLate the number of its copies that may still reach runners.
	requestInterval = 200 * time.Millisecond
	poisonEvery     = 10
	maxLate         = 3
)

// poisonRunnerMain is the runner process of the case poison: it crashes some time after it has begun to run the
// poisonous request.
func poisonRunnerMain(id, listen string, crashAfter time.Duration) error {
	li, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	fmt.Println("listens", li.Addr())
	srv := &http.Server{ReadHeaderTimeout: 10 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, rq *http.Request) {
		servePoison(id, crashAfter, w, rq)
	})}
	return srv.Serve(li)
}

func servePoison(id string, crashAfter time.Duration, w http.ResponseWriter, rq *http.Request) {
	hd, request := w.Header(), rq.Header.Get("X-Skylarkstand-Attempt-Id")
	hd.Set("X-Skylarkstand-Instance-Id", id)
	hd.Set("X-Skylarkstand-Attempt-Id", request)
	hd.Set("X-Skylarkstand-Server-Load", "1,0,64")
	switch expected := rq.Header.Get("X-Skylarkstand-Expect-Instance"); {
	case rq.URL.Path == "/healthz":
		return
	case expected != "" && expected != id:
		hd.Set("X-Skylarkstand-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(rq.Body)
	if err != nil {
		return
	}
	fmt.Println("runs", request)
	hd.Set("X-Skylarkstand-Response-Seal", "seal-"+id)
	if string(body) != poisonBody {
		streamEvents(w, 1, 20, 50*time.Millisecond)
		return
	}
	time.AfterFunc(crashAfter, func() { os.Exit(3) })
	if crashAfter < 300*time.Millisecond {
		select {}
	}
	streamEvents(w, 1, 1000, 50*time.Millisecond)
}

// poisonPool supervises the runners, and records when they crash and what they run.
type poisonPool struct {
	wo         *world
	crashAfter time.Duration

	mu      sync.Mutex
	crashes []time.Time
	sent    map[string]time.Time
	// late are the copies of the poisonous request that reached runners though they were sent later than contact_ms
	// after it had crashed the third one.
	late map[string]bool
	over bool
}

func (pp *poisonPool) ran(runner, request string) {
	pp.wo.logf("runner %s runs %s", runner, request)
	pp.mu.Lock()
	defer pp.mu.Unlock()
	at, ok := pp.sent[request]
	if ok && len(pp.crashes) >= 3 && at.Sub(pp.crashes[2]) > contactTime {
		pp.late[request] = true
	}
}

// keep runs a runner, and starts it again some seconds after each crash.
func (pp *poisonPool) keep(name, zone string) {
	listen := "127.0.2.1:0"
	for gen := 0; ; gen++ {
		id := fmt.Sprintf("%s-%d", name, gen)
		cmd := exec.Command(os.Args[0], "--runner", id, "--listen", listen, "--crash-after", pp.crashAfter.String())
		out, err := cmd.StdoutPipe()
		if err != nil || cmd.Start() != nil {
			pp.wo.logf("runner %s does not start", id)
			return
		}
		pp.wo.addProcess(cmd)
		for sc := bufio.NewScanner(out); sc.Scan(); {
			what, arg, _ := strings.Cut(sc.Text(), " ")
			if what == "listens" {
				listen = arg
				pp.wo.st.Put("servers/"+id, object{
					"service": "drafter", "address": listen, "zone": zone, "version": "1", "slots": 64,
					"state": "ready", "warmup_left_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
				})
				pp.wo.logf("runner %s is registered at %s", id, listen)
			} else {
				pp.ran(id, arg)
			}
		}
		_ = cmd.Wait()
		pp.mu.Lock()
		over := pp.over
		if !over {
			pp.crashes = append(pp.crashes, time.Now())
			pp.wo.logf("runner %s has crashed, the crash %d", id, len(pp.crashes))
		}
		pp.mu.Unlock()
		if over {
			return
		}
		time.AfterFunc(silentTime, func() { pp.wo.st.Remove("servers/" + id) })
		time.Sleep(downTime)
	}
}

// playPoison sends a request that crashes its runners again and again.
func playPoison(wo *world, trouble bool) error {
	pp := &poisonPool{wo: wo, crashAfter: wo.crashAfter, sent: map[string]time.Time{}, late: map[string]bool{}}
	wo.configure(7, []object{{"name": "hule930", "api_keys": []string{"n2ctnfzs989anu6wsjnb"}, "priority": 1}}, []object{{
		"name": "r-draft", "host": host, "prefix": "/draft/", "route_type": "streaming", "timeout_ms": 20000, "target_latency_ms": 4000,
		"gap_target_ms": 800, "priority": 1, "max_attempts": 3, "public": false, "session_affinity": true, "stream_resume": true, "service": "drafter",
	}}, "drafter")
	for i, zone := range []string{"muc-a", "nue-a", "muc-b", "muc-a", "nue-a", "muc-b", "muc-a", "nue-a", "muc-b", "muc-a", "nue-a", "muc-b"} {
		go pp.keep(fmt.Sprintf("i-%d", i), zone)
	}
	defer func() {
		pp.mu.Lock()
		defer pp.mu.Unlock()
		pp.over = true
	}()
	if err := wo.startGateways("muc-a", "muc-a", "nue-a", "muc-b"); err != nil {
		return err
	}
	for n := range 250 {
		gw := wo.gws[n%len(wo.gws)]
		req := request{id: fmt.Sprintf("i%04d", n), path: "/draft/2f", key: "n2ctnfzs989anu6wsjnb", model: "daka510000", deadline: 20 * time.Second}
		if trouble && n%poisonEvery == 0 {
			req.id, req.body, req.part = fmt.Sprintf("p%04d", n), poisonBody, "51c5"
			gw = wo.gws[n/poisonEvery%len(wo.gws)]
			pp.mu.Lock()
			pp.sent[req.id] = time.Now()
			pp.mu.Unlock()
		}
		go wo.send(gw, req)
		time.Sleep(requestInterval)
	}
	pp.mu.Lock()
	defer pp.mu.Unlock()
	wo.logf("%d crashes; %d copies of the poisonous request that were sent later than %s after the third one reached runners", len(pp.crashes), len(pp.late), contactTime)
	if len(pp.late) > maxLate {
		wo.logf("BUDGET: more than %d", maxLate)
		return errBroken
	}
	return nil
}
