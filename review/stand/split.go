package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// orderTime is the duration of the order, as in the site file, and prefillTime the time in which an engine
	// reads a prompt of 26,500 tokens at 37.9 tokens a ms.
	orderTime   = 16 * time.Second
	prefillTime = 700 * time.Millisecond
	// badAnswers is the number of bad answers after which rollback_ms runs.
	badAnswers = 50
	// requestsPerSecond is the rate of the route, as of the site's quote-draft.
	requestsPerSecond = 14
)

// rollOut records what the runners of the new version have done.
type rollOut struct {
	mu sync.Mutex
	// bad counts the bad answers, and fiftieth is when the last of badAnswers was given.
	bad      int
	fiftieth time.Time
	// late counts the requests that were sent later than rollback_ms after that and reached the new version.
	late int
	sent map[string]time.Time
}

func (ro *rollOut) sending(id string) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	ro.sent[id] = time.Now()
}

// ran records a run at the new version.
func (ro *rollOut) ran(id string) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	if at, ok := ro.sent[id]; ok && !ro.fiftieth.IsZero() && at.Sub(ro.fiftieth) > rollbackTime {
		ro.late++
	}
}

// failed records a bad answer.
func (ro *rollOut) failed() {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	ro.bad++
	if ro.bad == badAnswers {
		ro.fiftieth = time.Now()
	}
}

func (ro *rollOut) state() (bad, late int) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	return ro.bad, ro.late
}

// playSplit rolls a bad version out to one of two services that share a route.
func playSplit(wo *world, trouble bool, service string) error {
	ro := &rollOut{sent: map[string]time.Time{}}
	good := func(_ *runner, w http.ResponseWriter, _ *http.Request) { streamEvents(w, 1, 12, 20*time.Millisecond) }
	// Half of the bad version's requests fail.
	bad := func(ru *runner, w http.ResponseWriter, rq *http.Request) {
		ro.ran(rq.Header.Get("X-Skylarkstand-Attempt-Id"))
		if rand.Float64() < 0.5 {
			ro.failed()
			ru.wo.logf("runner %s (%s) fails %s with 500", ru.id, ru.version, rq.Header.Get("X-Skylarkstand-Attempt-Id"))
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		good(ru, w, rq)
	}
	wo.configure(7, []object{{"name": "hule930", "api_keys": []string{"n2ctnfzs989anu6wsjnb"}, "priority": 1}}, []object{{
		"name": "r-draft", "host": host, "prefix": "/draft/", "route_type": "streaming", "timeout_ms": 20000, "target_latency_ms": 4000,
		"gap_target_ms": 800, "priority": 1, "max_attempts": 3, "public": false, "session_affinity": true, "stream_resume": true,
		"traffic_split": []object{{"service": "drafter", "weight": 50}, {"service": "drafter-two", "weight": 50}},
	}}, "drafter", "drafter-two")
	zones := []string{"muc-a", "nue-a", "muc-b"}
	var old []*runner
	for i := range 18 {
		ru := &runner{id: fmt.Sprint("i-one-", i), service: "drafter", version: "1", zone: zones[i%3], work: good, prefill: prefillTime}
		if i%2 == 1 {
			ru.id, ru.service = fmt.Sprint("i-two-", i), "drafter-two"
		}
		if ru.service == service {
			old = append(old, ru)
		}
		if err := wo.startRunner(ru); err != nil {
			return err
		}
	}
	if err := wo.startGateways("muc-a", "muc-a", "nue-a", "muc-b"); err != nil {
		return err
	}
	stop := make(chan struct{})
	defer close(stop)
	go wo.drive(ro, stop)
	time.Sleep(8 * time.Second)
	if !trouble {
		time.Sleep(orderTime + 4*time.Second)
		return nil
	}
	for i := range 9 {
		ru := &runner{id: fmt.Sprint("i-new-", i), service: service, version: "2", zone: zones[i%3], work: bad, prefill: prefillTime}
		if err := wo.startRunner(ru); err != nil {
			return err
		}
	}
	wo.st.Put("op/rollout/"+service, object{"service": service, "target": "2", "duration_s": orderTime.Seconds()})
	wo.logf("operator: the roll-out of version 2 of %s is acknowledged", service)
	return wo.followRollOut(ro, service, old)
}

// followRollOut acts on the status of the roll-out as the platform does, and checks the rule EXPOSURE.
func (wo *world) followRollOut(ro *rollOut, service string, old []*runner) error {
	last := ""
	for until := time.Now().Add(70 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		var st struct {
			State string `json:"state"`
		}
		if raw := wo.st.Get("status/rollout/" + service); raw != nil {
			if err := json.Unmarshal(raw, &st); err != nil {
				return err
			}
		}
		bad, late := ro.state()
		if st.State != last {
			last = st.State
			wo.logf("status of the roll-out: %s, after %d bad answers", st.State, bad)
			if st.State == "completed" {
				for _, ru := range old {
					wo.stopRunner(ru)
				}
			}
			if st.State == "rolled_back" {
				until = time.Now().Add(8 * time.Second)
			}
		}
		if late >= 10 {
			wo.logf("EXPOSURE: the bad version ran %d requests that were sent later than %s after its 50th bad answer (of %d)", late, rollbackTime, bad)
			return errBroken
		}
	}
	return nil
}

// drive sends requests of sessions at an even rate: each session has a few, over different gateways.
func (wo *world) drive(ro *rollOut, stop <-chan struct{}) {
	var seq atomic.Int64
	ti := time.NewTicker(time.Second / requestsPerSecond)
	defer ti.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ti.C:
		}
		n := seq.Add(1)
		req := request{
			id: fmt.Sprintf("d%05d", n), path: "/draft/2f", key: "n2ctnfzs989anu6wsjnb", session: fmt.Sprintf("s%05d", n/3), model: "daka510000",
			deadline: 20 * time.Second,
		}
		ro.sending(req.id)
		go wo.send(wo.gws[rand.IntN(len(wo.gws))], req)
	}
}

// streamEvents writes the events of a stream.
func streamEvents(w http.ResponseWriter, from, to int, pause time.Duration) {
	w.Header().Set("Content-Type", "text/event-stream")
	ctl := http.NewResponseController(w)
	for n := from; n <= to; n++ {
		if _, err := fmt.Fprint(w, event(n, 30)); err != nil || ctl.Flush() != nil {
			return
		}
		time.Sleep(pause)
	}
}

// event returns an event of a stream whose data line has a length.
func event(n, length int) string {
	data := fmt.Sprintf("data: %d ", n)
	return fmt.Sprintf("id: %d\n%s%s\n\n", n, data, strings.Repeat("x", max(length-len(data), 0)))
}
